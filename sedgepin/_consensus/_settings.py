"""Settings of a Raft member: identity, peers, timing and limits."""

import dataclasses
import datetime

from sedgepin import _model as model

_KIB = 1024


@dataclasses.dataclass(slots=True, frozen=True)
class RaftSettings:
    """Settings of one member.

    ``control_vms`` are the VMs, including this one, that bootstrap the
    cluster and that may join it without an operator.
    ``clock_rate_margin`` bounds how far the rate of any VM's clock deviates
    from true time; it shortens the lease on the leader's and on the voter's
    side.

    ``may_bootstrap`` is false on a VM that joins an existing cluster.  With
    ``open_membership`` any control VM may join, and a learner that has caught
    up replaces a voter that has not replied for ``voter_timeout``.  A learner
    on a VM that already has a voter is removed after ``learner_timeout``
    without a reply.  The last ``trailing_entries`` before a snapshot stay in
    the log for lagging members.

    >>> cfg = RaftSettings(model.VmId("a"), (model.VmId("a"),))
    >>> cfg.lease < cfg.election_timeout_min
    True
    """

    vm_id: model.VmId
    control_vms: tuple[model.VmId, ...]
    heartbeat_interval: datetime.timedelta = datetime.timedelta(
        milliseconds=50
    )
    election_timeout_min: datetime.timedelta = datetime.timedelta(
        milliseconds=300
    )
    election_timeout_max: datetime.timedelta = datetime.timedelta(
        milliseconds=450
    )
    join_interval: datetime.timedelta = datetime.timedelta(milliseconds=200)
    learner_timeout: datetime.timedelta = datetime.timedelta(seconds=10)
    clock_rate_margin: float = 0.05
    voter_limit: int = 5
    may_bootstrap: bool = True
    open_membership: bool = False
    voter_timeout: datetime.timedelta = datetime.timedelta(seconds=2)
    batch_limit_bytes: int = 256 * _KIB
    in_flight_limit_entries: int = 4096
    uncommitted_limit_entries: int = 4096
    uncommitted_limit_bytes: int = 4096 * _KIB
    snapshot_chunk_bytes: int = 64 * _KIB
    snapshot_after_entries: int = 4096
    snapshot_after_bytes: int = 8192 * _KIB
    trailing_entries: int = 256

    @property
    def lease(self) -> datetime.timedelta:
        """Return the lease duration.

        It counts from when the leader sent the message that a quorum
        acknowledged.

        A voter that has replied to a leader votes for no other candidate
        within the minimum election timeout by its own clock.  That clock may
        run fast while the leader's runs slow.
        """
        slow = 1 - self.clock_rate_margin
        fast = 1 + self.clock_rate_margin
        return self.election_timeout_min * slow / fast
