"""Everything that a registrar can be told to do."""

import dataclasses
import typing

from sedgepin import _consensus as consensus
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import errors
from sedgepin import events


@dataclasses.dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to a peer; it may be lost."""

    recipient: model.VmId
    message: protocol.PeerMessage


@dataclasses.dataclass(slots=True, frozen=True)
class Acknowledge:
    """Tell who asked that it is done."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class ShowConfiguration:
    """Answer a read with the document in force."""

    exchange_id: int
    document: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """Tell who asked why it is not done."""

    exchange_id: int
    failure: errors.Failure


@dataclasses.dataclass(slots=True, frozen=True)
class InspectEngine:
    """Ask an engine for its report."""

    endpoint_id: model.EndpointId
    incarnation: int
    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class OrderLayers:
    """Order an engine to hold layers.

    ``order_count`` is what the engine must have accepted so far for the
    order to hold, so that one that is held up on its way is void.
    """

    endpoint_id: model.EndpointId
    incarnation: int
    address: str
    layers: model.LayerRange
    fencing_token: int
    order_count: int


@dataclasses.dataclass(slots=True, frozen=True)
class DialPeer:
    """Keep a stream to a peer from now on."""

    vm_id: model.VmId


@dataclasses.dataclass(slots=True, frozen=True)
class WriteLog:
    """Log one event."""

    line: events.LogLine


RegistrarEffect: typing.TypeAlias = (
    consensus.Persist
    | consensus.PersistSnapshot
    | SendMessage
    | Acknowledge
    | ShowConfiguration
    | Refuse
    | InspectEngine
    | OrderLayers
    | DialPeer
    | WriteLog
)
