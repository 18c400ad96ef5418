"""Handing the leadership over to another voter."""

import datetime

from sedgepin._consensus import _core
from sedgepin._consensus import _messages
from sedgepin._consensus import _reconfiguration
from sedgepin import _model as model
from sedgepin import _storage as storage


class LeadershipTransfer:
    """A transfer of leadership, from the request to the successor's vote.

    The leader takes no more proposals, brings the target up to date, gives
    up its lease for the rest of the term and only then tells the target to
    stand for election: the voters need not wait for a lease that is gone.
    A target that does not get up to date in time is given up, and the
    leader goes on.
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
        """Choose the target: ``vm_id``, or the voter furthest on."""
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
        """Tell the target to stand for election once it is up to date."""
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

    def must_step_down(self, now: datetime.datetime) -> bool:
        """Tell whether the leader must step down.

        Without a lease it cannot lead on; the message to the target may
        still arrive.
        """
        if self._deadline is None or now < self._deadline:
            return False
        self._deadline = None
        if self.has_released_lease:
            return True
        self.target = None
        return False
