"""Events that the reducer handles."""

import dataclasses
import typing

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _settings


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """The periodic tick of the daemon."""


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationSubmitted:
    """An operator publishes a validated configuration."""

    exchange_id: int
    version: int
    document: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationRead:
    """An operator reads the configuration in force."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointRegistered:
    """An endpoint registers, or renews its registration."""

    exchange_id: int
    registration: catalog.Registration


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointLeft:
    """An endpoint deregisters."""

    exchange_id: int
    endpoint_id: model.EndpointId


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """Report that an engine returns on request.

    ``is_busy`` is set while the engine carries out an order.
    ``order_count`` is the number of orders accepted since its start.
    ``slowdown`` is the factor by which it takes longer than usual.
    """

    incarnation: int | None
    layers: model.LayerRange | None
    is_busy: bool
    order_count: int
    slowdown: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class EngineInspected:
    """A report request to an endpoint was answered, or has failed.

    ``has_answered`` is true for any response, since plain services are alive
    but provide no report, and for a connection that was closed or reset, since
    an engine may have as many as it accepts.  ``is_silent`` is true unless the
    connection was refused, which proves that the endpoint has ended.
    ``is_check`` and ``is_repeated`` are those of the request.
    """

    endpoint_id: model.EndpointId
    incarnation: int
    report: EngineReport | None
    has_answered: bool
    is_silent: bool = False
    is_check: bool = False
    is_repeated: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class NoticeReceived:
    """An endpoint has told its state in the head of an answer to a call."""

    endpoint_id: model.EndpointId
    incarnation: int
    notice: catalog.EndpointNotice


@dataclasses.dataclass(slots=True, frozen=True)
class LayerOrderAnswered:
    """An engine accepted or refused an order, or did not respond.

    ``is_fenced`` is set if it refused because of a stale fencing token.
    """

    endpoint_id: model.EndpointId
    incarnation: int
    is_accepted: bool
    is_fenced: bool


@dataclasses.dataclass(slots=True, frozen=True)
class SettingsReloaded:
    """The settings file was changed and reloaded."""

    cfg: _settings.RegistrarSettings


@dataclasses.dataclass(slots=True, frozen=True)
class DrainRequested:
    """The VM is shutting down."""


@dataclasses.dataclass(slots=True, frozen=True)
class DiskFilled:
    """The disk refused a write, which waits with the effects after it."""

    failure: str


@dataclasses.dataclass(slots=True, frozen=True)
class DiskFreed:
    """All effects that waited for space have been carried out."""


RegistrarEvent: typing.TypeAlias = (
    TimerFired
    | ConfigurationSubmitted
    | ConfigurationRead
    | EndpointRegistered
    | EndpointLeft
    | EngineInspected
    | NoticeReceived
    | LayerOrderAnswered
    | SettingsReloaded
    | DiskFilled
    | DiskFreed
    | DrainRequested
    | protocol.PeerEvent
)
