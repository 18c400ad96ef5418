"""What a member is told of itself, its peers and its timing."""

import dataclasses
import datetime

from sedgepin import _model as model

_KIB = 1024


@dataclasses.dataclass(slots=True, frozen=True)
class RaftSettings:
    """Settings of one member.

    ``control_vms`` are the VMs that found the cluster and that may join it
    by themselves, this one among them.  ``clock_rate_margin`` is how far the
    rate of any VM's clock may be from true time; the lease is shorter than
    the election timeout by that much on both ends.

    ``may_bootstrap`` is false on a VM that joins an existing cluster.  With
    ``open_membership`` any control VM may join, and a voter that stays silent
    gives its place to a learner that has caught up.

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
        """Return for how long after asking a quorum's answer is good.

        A voter that answered votes for nobody else within the shortest
        election timeout by its own clock, which may run fast while the
        leader's runs slow.
        """
        slow = 1 - self.clock_rate_margin
        fast = 1 + self.clock_rate_margin
        return self.election_timeout_min * slow / fast
