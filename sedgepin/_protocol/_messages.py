"""Messages between processes of the system.

Fields are only ever added, with defaults, and unknown ones are ignored, so
that two versions can run side by side during an upgrade.
"""

import typing

import msgspec

from sedgepin import _admission as admission
from sedgepin import _catalog as catalog
from sedgepin import _consensus as consensus
from sedgepin import _membership as membership
from sedgepin import _model as model


class Hello(msgspec.Struct, frozen=True, tag=True):
    """The first message on every stream: who speaks."""

    id: model.VmId
    role: str
    data_centre: model.DataCentreId
    incarnation: model.Incarnation


class HeartbeatsCarried(msgspec.Struct, frozen=True, tag=True):
    """Heartbeats of entry VMs, for the leader of the log."""

    batch: membership.HeartbeatBatch


class DeclaredLost(msgspec.Struct, frozen=True, tag=True):
    """The receiver counts as lost in this incarnation; it needs another."""

    incarnation: model.Incarnation


class CommandAsked(msgspec.Struct, frozen=True, tag=True):
    """Please put a command into the replicated log."""

    ask_id: int
    command: bytes


class CommandRefusal(msgspec.Struct, frozen=True):
    """Why a command was not put into the log.

    ``may_be_committed`` is true when the command was taken and its fate is
    not known.
    """

    code: str
    leader_id: model.VmId | None = None
    may_be_committed: bool = False


class CommandAnswered(msgspec.Struct, frozen=True, tag=True):
    """What came of a command: the reply, or a refusal."""

    ask_id: int
    reply: bytes | None = None
    refusal: CommandRefusal | None = None


class FleetWanted(msgspec.Struct, frozen=True, tag=True):
    """Please send the fleet if it is newer than note ``have``."""

    have: int


class FleetPublished(msgspec.Struct, frozen=True, tag=True):
    """The fleet as of a note.

    ``confirmed`` is true when a leader that holds its lease sent it, false
    when it is the newest that the sender has.  ``fleet`` is empty when the
    receiver holds this note already.
    """

    number: int
    confirmed: bool
    fleet: bytes = b""


class EndpointsSeen(msgspec.Struct, frozen=True, tag=True):
    """Endpoints that announced themselves to the sender."""

    announcements: tuple[model.Announcement, ...]


class ConfigurationWanted(msgspec.Struct, frozen=True, tag=True):
    """Please send the configuration if it is newer than version ``have``."""

    have: int


class ConfigurationPublished(msgspec.Struct, frozen=True, tag=True):
    """The configuration in force, as of a version.

    ``confirmed`` is true when a leader that holds its lease sent it.
    ``configuration`` is empty when the receiver holds this version already.
    """

    version: int
    confirmed: bool
    configuration: bytes = b""


class RegistrationsSeen(msgspec.Struct, frozen=True, tag=True):
    """Endpoints that registered with the sender.

    ``changed`` holds what is new, or all to a peer that has just connected;
    ``heard`` those that were only heard again.
    """

    changed: tuple[catalog.Registration, ...] = ()
    heard: tuple[model.EndpointId, ...] = ()


class ControlsKnown(msgspec.Struct, frozen=True, tag=True):
    """The control VMs that the sender knows, and how many entries."""

    controls: tuple[model.VmId, ...]
    entry_count: int


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """The requests on an endpoint, and the tokens that they will hold."""

    endpoint_id: model.EndpointId
    running: int
    tokens: int


class RetryCount(msgspec.Struct, frozen=True, array_like=True):
    """First sends and repeats to a service within the budget's window."""

    service: model.ServiceName
    firsts: int
    repeats: int


class LoadReported(msgspec.Struct, frozen=True, tag=True):
    """The load that the sender put on endpoints and services."""

    loads: tuple[EndpointLoad, ...]
    retries: tuple[RetryCount, ...] = ()


class LoadSummed(msgspec.Struct, frozen=True, tag=True):
    """What all entry VMs put on endpoints and services, as last reported."""

    loads: tuple[EndpointLoad, ...]
    retries: tuple[RetryCount, ...] = ()


class EndpointFailed(msgspec.Struct, frozen=True, tag=True):
    """An endpoint does not answer the sender any more."""

    endpoint_id: model.EndpointId
    incarnation: int


class EndpointLost(msgspec.Struct, frozen=True, tag=True):
    """An endpoint answers neither an entry VM nor the leader."""

    endpoint_id: model.EndpointId
    incarnation: int


class EndpointPaced(msgspec.Struct, frozen=True, tag=True):
    """How many times longer than usual an engine takes, as it reports."""

    endpoint_id: model.EndpointId
    incarnation: int
    slowness: float


class CrashWitnessed(msgspec.Struct, frozen=True, tag=True):
    """An endpoint died with a request aboard."""

    fingerprint: str
    endpoint_id: model.EndpointId
    incarnation: int


class ReadIndexAsked(msgspec.Struct, frozen=True, tag=True):
    """Please tell up to which index the log is committed."""

    ask_id: int


class ReadIndexAnswered(msgspec.Struct, frozen=True, tag=True):
    """Up to where the log is committed, if the sender holds its lease."""

    ask_id: int
    index: int | None


class SuspectRumour(msgspec.Struct, frozen=True, tag=True):
    """What the sender knows of a request that was aboard dying endpoints."""

    rumour: admission.Rumour


class RaftCarried(msgspec.Struct, frozen=True, tag=True):
    """A message between the control VMs' logs."""

    message: consensus.RaftMessage


class GossipCarried(msgspec.Struct, frozen=True, tag=True):
    """A frame between the entry VMs' endpoint directories."""

    frame: membership.GossipFrame


PeerMessage: typing.TypeAlias = (
    Hello
    | SuspectRumour
    | RaftCarried
    | GossipCarried
    | HeartbeatsCarried
    | DeclaredLost
    | CommandAsked
    | CommandAnswered
    | FleetWanted
    | FleetPublished
    | EndpointsSeen
    | ConfigurationWanted
    | ConfigurationPublished
    | RegistrationsSeen
    | ControlsKnown
    | CrashWitnessed
    | LoadReported
    | EndpointFailed
    | EndpointLost
    | EndpointPaced
    | LoadSummed
    | ReadIndexAsked
    | ReadIndexAnswered
)
