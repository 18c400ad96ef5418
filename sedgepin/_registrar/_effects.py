"""Effects that the reducer returns and the daemon executes."""

import dataclasses
import typing

from sedgepin import _consensus as consensus
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import errors
from sedgepin import events


@dataclasses.dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to a peer, without a guarantee of delivery."""

    recipient: model.VmId
    message: protocol.PeerMessage


@dataclasses.dataclass(slots=True, frozen=True)
class Acknowledge:
    """Respond to a call that it succeeded."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class RespondWithConfiguration:
    """Respond to a read with the published document."""

    exchange_id: int
    document: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class RespondWithFailure:
    """Respond to a call with a failure."""

    exchange_id: int
    failure: errors.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class InspectEngine:
    """Request an engine's report.

    ``is_check`` is set if that is to find out whether it has failed, and
    ``is_repeated`` if it counts as failed already, by its silence.
    """

    endpoint_id: model.EndpointId
    incarnation: int
    address: str
    is_check: bool = False
    is_repeated: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class OrderLayers:
    """Order an engine to hold layers.

    The engine accepts the order only if it has accepted ``order_count`` orders
    before, so an order that was delayed on its way has no effect.
    """

    endpoint_id: model.EndpointId
    incarnation: int
    address: str
    layers: model.LayerRange
    fencing_token: int
    order_count: int


@dataclasses.dataclass(slots=True, frozen=True)
class DialPeer:
    """Connect to a peer, and reconnect whenever the connection is lost."""

    vm_id: model.VmId


@dataclasses.dataclass(slots=True, frozen=True)
class WriteLog:
    """Write a log line."""

    line: events.LogLine


RegistrarEffect: typing.TypeAlias = (
    consensus.Persist
    | consensus.PersistSnapshot
    | SendMessage
    | Acknowledge
    | RespondWithConfiguration
    | RespondWithFailure
    | InspectEngine
    | OrderLayers
    | DialPeer
    | WriteLog
)
