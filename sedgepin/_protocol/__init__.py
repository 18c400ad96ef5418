"""The peer protocol: messages between processes, framing and transport."""

from sedgepin._protocol._framing import decode_messages
from sedgepin._protocol._framing import encode_messages
from sedgepin._protocol._framing import FRAME_LIMIT_BYTES
from sedgepin._protocol._framing import FrameRefused
from sedgepin._protocol._messages import CommandAnswered
from sedgepin._protocol._messages import CommandAsked
from sedgepin._protocol._messages import CommandRefusal
from sedgepin._protocol._messages import ConfigurationPublished
from sedgepin._protocol._messages import ConfigurationWanted
from sedgepin._protocol._messages import ControlsKnown
from sedgepin._protocol._messages import CrashesReported
from sedgepin._protocol._messages import CrashWitnessed
from sedgepin._protocol._messages import DeclaredLost
from sedgepin._protocol._messages import EndpointDeregistered
from sedgepin._protocol._messages import EndpointFailed
from sedgepin._protocol._messages import EndpointLeaving
from sedgepin._protocol._messages import EndpointLimited
from sedgepin._protocol._messages import EndpointLoad
from sedgepin._protocol._messages import EndpointLost
from sedgepin._protocol._messages import EndpointPaced
from sedgepin._protocol._messages import EndpointProgress
from sedgepin._protocol._messages import EndpointsSeen
from sedgepin._protocol._messages import FleetPublished
from sedgepin._protocol._messages import FleetWanted
from sedgepin._protocol._messages import Forwarder
from sedgepin._protocol._messages import ForwardersAsked
from sedgepin._protocol._messages import ForwardersOffered
from sedgepin._protocol._messages import GossipCarried
from sedgepin._protocol._messages import HeartbeatsCarried
from sedgepin._protocol._messages import Hello
from sedgepin._protocol._messages import LoadReported
from sedgepin._protocol._messages import LoadShared
from sedgepin._protocol._messages import LoadSummed
from sedgepin._protocol._messages import PaceLimit
from sedgepin._protocol._messages import PeerMessage
from sedgepin._protocol._messages import PermitAnswered
from sedgepin._protocol._messages import PermitAsked
from sedgepin._protocol._messages import PermitReturned
from sedgepin._protocol._messages import RaftCarried
from sedgepin._protocol._messages import ReadIndexAnswered
from sedgepin._protocol._messages import ReadIndexAsked
from sedgepin._protocol._messages import RegistrationsSeen
from sedgepin._protocol._messages import RetryCount
from sedgepin._protocol._messages import SuspectRumour
from sedgepin._protocol._tls import client_context
from sedgepin._protocol._tls import server_context
from sedgepin._protocol._transport import IdentityNotProved
from sedgepin._protocol._transport import PeerConnected
from sedgepin._protocol._transport import PeerDisconnected
from sedgepin._protocol._transport import PeerEvent
from sedgepin._protocol._transport import PeerMessageReceived
from sedgepin._protocol._transport import PeerRefused
from sedgepin._protocol._transport import StreamTransport
from sedgepin._protocol._transport import Transport

__all__ = [
    "CommandAnswered",
    "CommandAsked",
    "CommandRefusal",
    "ConfigurationPublished",
    "ConfigurationWanted",
    "ControlsKnown",
    "CrashWitnessed",
    "CrashesReported",
    "DeclaredLost",
    "EndpointDeregistered",
    "EndpointFailed",
    "EndpointLeaving",
    "EndpointLimited",
    "EndpointLoad",
    "EndpointLost",
    "EndpointPaced",
    "EndpointProgress",
    "EndpointsSeen",
    "FRAME_LIMIT_BYTES",
    "FleetPublished",
    "FleetWanted",
    "Forwarder",
    "ForwardersAsked",
    "ForwardersOffered",
    "FrameRefused",
    "GossipCarried",
    "HeartbeatsCarried",
    "Hello",
    "IdentityNotProved",
    "LoadReported",
    "LoadShared",
    "LoadSummed",
    "PaceLimit",
    "PeerConnected",
    "PeerDisconnected",
    "PeerEvent",
    "PeerMessage",
    "PeerMessageReceived",
    "PeerRefused",
    "PermitAnswered",
    "PermitAsked",
    "PermitReturned",
    "RaftCarried",
    "ReadIndexAnswered",
    "ReadIndexAsked",
    "RegistrationsSeen",
    "RetryCount",
    "StreamTransport",
    "SuspectRumour",
    "Transport",
    "client_context",
    "decode_messages",
    "encode_messages",
    "server_context",
]
