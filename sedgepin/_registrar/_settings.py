"""Settings of the registrar daemon."""

import dataclasses
import datetime

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _pace as pace
from sedgepin import _work as work


@dataclasses.dataclass(slots=True, frozen=True)
class RegistrarSettings:
    """Addresses, peers and data folder of a control VM.

    ``seeds`` are the initial control VMs; others are discovered when they
    connect.  ``is_new_system`` may be true only when all VMs start for the
    first time, because the seeds then bootstrap a new Raft group.  Endpoints
    renew their registration every ``heartbeat_interval``.  ``held_bytes``
    bounds what is held for operators, endpoints and peers, all together, and
    ``work_limits`` what their connections may cost.  The
    process is ended ``grace_period`` after SIGTERM.  A new first
    engine or endpoint of a plain service gets no more than
    ``smallest_pace_limit`` unanswered requests of all entry VMs while others
    have room; with 0, endpoints have no such limit.
    """

    vm_id: model.VmId
    data_centre: model.DataCentreId
    listen: str
    data_folder: str
    seeds: tuple[model.VmId, ...]
    is_new_system: bool
    heartbeat_interval: datetime.timedelta
    metrics_listen: str | None = None
    peer_listen: str | None = None
    held_bytes: int = 64 * 1024 * 1024
    grace_period: datetime.timedelta = datetime.timedelta(seconds=8)
    smallest_pace_limit: int = pace.SMALLEST_LIMIT
    work_limits: work.WorkLimits = work.WorkLimits()

    @property
    def heartbeat_timeout(self) -> datetime.timedelta:
        """Time without a heartbeat after which an endpoint is lost."""
        return catalog.heartbeat_timeout(self.heartbeat_interval)
