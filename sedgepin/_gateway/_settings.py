"""The settings of a gateway."""

import dataclasses
import datetime

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _work as work


@dataclasses.dataclass(slots=True, frozen=True)
class RetrySettings:
    """The retry budget of one service, shared by all entry VMs.

    In any ``window`` the entry VMs together may send ``reserve`` retries plus
    ``ratio`` times the number of requests.
    """

    ratio: float
    reserve: float
    window: datetime.timedelta


@dataclasses.dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Addresses, peers and limits of one entry VM.

    Endpoints renew their registration every ``heartbeat_interval``.
    ``grace_period`` is the time between SIGTERM and SIGKILL.
    ``forward_address`` is where other entry VMs reach this one to have
    requests forwarded; without one, it forwards none.  ``held_bytes`` bounds
    what is held for callers and endpoints, all together, and ``work_limits``
    what their connections may cost.
    """

    vm_id: model.VmId
    data_centre: model.DataCentreId
    listen: str
    ready_listen: str
    controls: tuple[model.VmId, ...]
    retries: RetrySettings
    heartbeat_interval: datetime.timedelta
    grace_period: datetime.timedelta
    metrics_listen: str | None = None
    peer_listen: str | None = None
    held_bytes: int = 64 * 1024 * 1024
    forward_address: str = ""
    work_limits: work.WorkLimits = work.WorkLimits()

    @property
    def heartbeat_timeout(self) -> datetime.timedelta:
        """Return how long an endpoint without heartbeats gets new work."""
        return catalog.heartbeat_timeout(self.heartbeat_interval)
