"""Everything that can happen to a registrar."""

import dataclasses
import typing

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _settings


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """A tick passed."""


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationSubmitted:
    """An operator published a valid configuration."""

    exchange_id: int
    version: int
    document: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationRead:
    """An operator wants to read the configuration in force."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointRegistered:
    """An endpoint said what it is."""

    exchange_id: int
    registration: catalog.Registration


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointLeft:
    """An endpoint said farewell."""

    exchange_id: int
    endpoint_id: model.EndpointId


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """What an engine says of itself when it is asked.

    ``order_count`` is how many orders it has accepted since its start.
    """

    incarnation: int | None
    layers: model.LayerRange | None
    is_busy: bool
    order_count: int
    slowdown: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class EngineInspected:
    """An endpoint was asked for its report.

    ``has_answered`` is true for any answer: plain services know no report.
    """

    endpoint_id: model.EndpointId
    incarnation: int
    report: EngineReport | None
    has_answered: bool


@dataclasses.dataclass(slots=True, frozen=True)
class LayerOrderAnswered:
    """An engine answered an order; without ``is_accepted`` it refused."""

    endpoint_id: model.EndpointId
    incarnation: int
    is_accepted: bool
    is_fenced: bool


@dataclasses.dataclass(slots=True, frozen=True)
class SettingsReloaded:
    """The settings file has changed and was read."""

    cfg: _settings.RegistrarSettings


@dataclasses.dataclass(slots=True, frozen=True)
class DrainRequested:
    """The VM is told to leave."""


RegistrarEvent: typing.TypeAlias = (
    TimerFired
    | ConfigurationSubmitted
    | ConfigurationRead
    | EndpointRegistered
    | EndpointLeft
    | EngineInspected
    | LayerOrderAnswered
    | SettingsReloaded
    | DrainRequested
    | protocol.PeerEvent
)
