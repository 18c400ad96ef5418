"""What a registrar is told at its start."""

import dataclasses
import datetime

from sedgepin import _catalog as catalog
from sedgepin import _model as model


@dataclasses.dataclass(slots=True, frozen=True)
class RegistrarSettings:
    """Addresses and peers of one control VM.

    ``seeds`` are the control VMs to begin with; others make themselves
    known.  ``is_new_system`` is true only when all VMs start for the first
    time.  Endpoints register every ``heartbeat_interval``.
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

    @property
    def heartbeat_timeout(self) -> datetime.timedelta:
        """Return how long an endpoint may go unheard before it is lost."""
        return catalog.heartbeat_timeout(self.heartbeat_interval)
