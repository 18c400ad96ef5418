"""Leadership transfer to another voter."""

import datetime

from sedgepin._consensus import _core
from sedgepin._consensus import _messages
from sedgepin._consensus import _reconfiguration
from sedgepin import _model as model
from sedgepin import _storage as storage


class LeadershipTransfer:
    """A leadership transfer, from the request until the target's election.

    The leader rejects new proposals, brings the target up to date, releases
    its lease for the rest of the term and only then sends ``TimeoutNow``.
    Voters can therefore vote for the target at once, without waiting for the
    lease to expire.  If the target does not catch up in time, the transfer
    is aborted and the leader continues.
    """

    __slots__ = ("_core", "_deadline", "has_released_lease", "target")

    def __init__(self, core: _core.Core) -> None:
        self._core = core
        self.target: storage.MemberId | None = None
        self.has_released_lease = False
        self._deadline: datetime.datetime | None = None

    def start(
        self,
        vm_id: model.VmId | None,
        progress: _reconfiguration.ProgressMap,
        now: datetime.datetime,
    ) -> None:
        """Start a transfer to ``vm_id``, or to the most up-to-date voter.

        Does nothing if a transfer is in progress or no eligible voter has
        replied within the election timeout.
        """
        if self.target is not None:
            return
        core = self._core
        contact_timeout = core.cfg.election_timeout_min
        eligible = [
            voter
            for voter in core.configuration.voters
            if voter != core.member_id
            and vm_id in (None, voter.vm_id)
            and now - progress[voter].acked_send_at < contact_timeout
        ]
        if not eligible:
            return
        self.target = max(
            eligible, key=lambda voter: progress[voter].match_index
        )
        self._deadline = now + core.cfg.election_timeout_max

    def start_election_if_caught_up(
        self, progress: _reconfiguration.ProgressMap, now: datetime.datetime
    ) -> None:
        """Send ``TimeoutNow`` once the target has all entries."""
        core = self._core
        if self.target is None or self.has_released_lease:
            return
        if core.role is not _core.Role.LEADER:
            return
        if self.target not in progress:
            self.target = None
            return
        if progress[self.target].match_index < core.log.last_index:
            return
        self.has_released_lease = True
        self._deadline = now + core.cfg.election_timeout_max
        header = core.header(self.target)
        core.send(self.target.vm_id, _messages.TimeoutNow(header))

    def start_election_at_once(
        self, progress: _reconfiguration.ProgressMap, now: datetime.datetime
    ) -> None:
        """Send ``TimeoutNow`` to the most up-to-date voter, as it is.

        The leader cannot bring it up to date and must step down.
        """
        core = self._core
        self.start(None, progress, now)
        if self.target is None or self.has_released_lease:
            return
        self.has_released_lease = True
        header = core.header(self.target)
        core.send(self.target.vm_id, _messages.TimeoutNow(header))

    def must_step_down(self, now: datetime.datetime) -> bool:
        """Return whether the leader must step down.

        True once the transfer has timed out after the lease was released:
        ``TimeoutNow`` may still reach the target, so the leader cannot take
        the lease back.  A transfer that timed out earlier is aborted.
        """
        if self._deadline is None or now < self._deadline:
            return False
        self._deadline = None
        if self.has_released_lease:
            return True
        self.target = None
        return False
