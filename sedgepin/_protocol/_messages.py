"""Messages between processes of the system.

Two versions run side by side during an upgrade.  For this reason fields are
only ever added, always with a default, and unknown fields are ignored.
"""

import typing

import msgspec

from sedgepin import _admission as admission
from sedgepin import _catalog as catalog
from sedgepin import _consensus as consensus
from sedgepin import _crash_causes as crash_causes
from sedgepin import _membership as membership
from sedgepin import _model as model


class Hello(msgspec.Struct, frozen=True, tag=True):
    """The first message on every stream: identifies the sender.

    An entry VM that forwards requests of others gives the address at which it
    does so, and a key that it expects of them.
    """

    id: model.VmId
    role: str
    data_centre: model.DataCentreId
    incarnation: model.Incarnation
    forward_address: str = ""
    forward_key: str = ""


class HeartbeatsCarried(msgspec.Struct, frozen=True, tag=True):
    """Heartbeats of entry VMs, relayed to the Raft leader."""

    batch: membership.HeartbeatBatch


class DeclaredLost(msgspec.Struct, frozen=True, tag=True):
    """Reports that the receiver's incarnation was declared lost.

    The receiver can rejoin only with a new incarnation.
    """

    incarnation: model.Incarnation


class CommandAsked(msgspec.Struct, frozen=True, tag=True):
    """Asks a control VM to append a command to the replicated log."""

    ask_id: int
    command: bytes


class CommandRefusal(msgspec.Struct, frozen=True):
    """Why a command was not committed.

    ``may_be_committed`` is true when the command was appended and whether it
    was committed is unknown.
    """

    code: str
    leader_id: model.VmId | None = None
    may_be_committed: bool = False


class CommandAnswered(msgspec.Struct, frozen=True, tag=True):
    """The result of a command: its reply or a refusal."""

    ask_id: int
    reply: bytes | None = None
    refusal: CommandRefusal | None = None


class FleetWanted(msgspec.Struct, frozen=True, tag=True):
    """Asks for the fleet if it is newer than release note ``have``."""

    have: int


class FleetPublished(msgspec.Struct, frozen=True, tag=True):
    """The fleet as of release note ``number``.

    ``confirmed`` is true when a leader that holds its lease sent it.
    Otherwise it is the newest fleet that the sender has, and a newer one may
    exist.  ``fleet`` is empty when the receiver has this note already.
    """

    number: int
    confirmed: bool
    fleet: bytes = b""


class EndpointsSeen(msgspec.Struct, frozen=True, tag=True):
    """Announcements that the sender received from endpoints."""

    announcements: tuple[model.Announcement, ...]


class ConfigurationWanted(msgspec.Struct, frozen=True, tag=True):
    """Asks for the configuration if it is newer than version ``have``.

    A VM without one (-1) may hold a version that is not confirmed yet.
    """

    have: int
    held: int = -1


class ConfigurationPublished(msgspec.Struct, frozen=True, tag=True):
    """A version of the configuration.

    ``confirmed`` is true when a leader that holds its lease sent it.
    ``configuration`` is empty when the receiver has this version already.
    """

    version: int
    confirmed: bool
    configuration: bytes = b""


class RegistrationsSeen(msgspec.Struct, frozen=True, tag=True):
    """Registrations and heartbeats that the sender received from endpoints.

    ``changed`` holds the new and changed registrations, or all of them after
    a peer has connected, except those in ``lost``, whose endpoints count as
    failed.  ``heard`` lists endpoints that only renewed an unchanged
    registration.
    """

    changed: tuple[catalog.Registration, ...] = ()
    heard: tuple[model.EndpointId, ...] = ()
    lost: tuple[catalog.Registration, ...] = ()


class ControlsKnown(msgspec.Struct, frozen=True, tag=True):
    """The control VMs that the sender knows and the number of entry VMs.

    ``data_centres`` names the data centre of each control VM, in the same
    order; it is empty for one that the sender has not met.
    """

    controls: tuple[model.VmId, ...]
    entry_count: int
    data_centres: tuple[model.DataCentreId, ...] = ()


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """The requests on an endpoint and the cache tokens they will need."""

    endpoint_id: model.EndpointId
    running: int
    tokens: int


class RetryCount(msgspec.Struct, frozen=True, array_like=True):
    """First attempts and retries to a service within the budget's window."""

    service: model.ServiceName
    firsts: int
    repeats: int


class EndpointProgress(msgspec.Struct, frozen=True, array_like=True):
    """What an endpoint did with the requests of the sender's entry VMs.

    ``unanswered`` requests were sent to it, as the first of their pipelines
    or as a plain service, and have not begun to be answered.  The other counts
    are of what happened since the sender's last message: answers that began
    ``in_time`` or ``late``, and requests that it ``refused``.  ``slots`` are
    those that it stated in an answer; 0 if that is not new.
    """

    endpoint_id: model.EndpointId
    incarnation: int
    unanswered: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    slots: int = 0


class PaceLimit(msgspec.Struct, frozen=True, array_like=True):
    """The most requests that an endpoint may have unanswered, of all VMs.

    ``unanswered`` is how many it had by the last reports.
    """

    endpoint_id: model.EndpointId
    incarnation: int
    limit: int
    unanswered: int = 0


class LoadReported(msgspec.Struct, frozen=True, tag=True):
    """The load that the sending entry VM puts on endpoints and services.

    ``is_stopping`` tells that it takes no new streams before it stops, or will
    take none by the time at which callers act on this.  ``progress`` names the
    endpoints that have a limit, have refused or have stated slots.
    """

    loads: tuple[EndpointLoad, ...]
    retries: tuple[RetryCount, ...] = ()
    is_stopping: bool = False
    progress: tuple[EndpointProgress, ...] = ()


class LoadSummed(msgspec.Struct, frozen=True, tag=True):
    """The aggregated load of all entry VMs, from their last reports.

    ``entry_count`` is the number of these entry VMs; 0 if the sender does not
    state it.  ``stopping_count`` of them stop, and take no new streams.
    ``knows_leader`` is false if the sender has known no leader for
    a while, so that what it holds may be outdated.
    ``configuration_version`` is the version that the sender holds; -1 if it
    does not state it.  ``limits`` names all endpoints that have a limit;
    ``None`` if the sender has none to state, so that no limit applies.
    """

    loads: tuple[EndpointLoad, ...]
    retries: tuple[RetryCount, ...] = ()
    entry_count: int = 0
    knows_leader: bool = True
    configuration_version: int = -1
    stopping_count: int = 0
    limits: tuple[PaceLimit, ...] | None = None


class LoadShared(msgspec.Struct, frozen=True, tag=True):
    """The summed load of the entry VMs that report to the sender.

    Control VMs exchange these sums, so that each can tell its entry VMs the
    load of the whole fleet.  ``stopping_count`` of their entry VMs stop, and
    take no new streams.  ``progress`` is ``None`` if the sender does not sum
    it.  ``limits`` are those that the sender applies; ``None`` if it has run
    too briefly to know which endpoints need one.
    """

    loads: tuple[EndpointLoad, ...]
    retries: tuple[RetryCount, ...] = ()
    entry_count: int = 0
    stopping_count: int = 0
    progress: tuple[EndpointProgress, ...] | None = None
    limits: tuple[PaceLimit, ...] | None = None


class EndpointFailed(msgspec.Struct, frozen=True, tag=True):
    """Reports that an endpoint no longer answers the sending entry VM."""

    endpoint_id: model.EndpointId
    incarnation: int


class EndpointLost(msgspec.Struct, frozen=True, tag=True):
    """Reports that an endpoint answers neither an entry VM nor the leader.

    ``has_ended`` is set if a connection to it was refused, which proves that
    its process has ended; otherwise it may only be cut off, and ``is_silent``
    is set.  Earlier versions do not set ``has_ended``, and clear ``is_silent``
    also if a connection was reset.
    """

    endpoint_id: model.EndpointId
    incarnation: int
    is_silent: bool = False
    has_ended: bool = False


class EndpointLeaving(msgspec.Struct, frozen=True, tag=True):
    """Reports that an endpoint said in an answer that it is leaving."""

    endpoint_id: model.EndpointId
    incarnation: int


class EndpointDeregistered(msgspec.Struct, frozen=True, tag=True):
    """Reports that an endpoint deregistered at a VM that did not know it."""

    endpoint_id: model.EndpointId


class EndpointLimited(msgspec.Struct, frozen=True, tag=True):
    """Reports how many requests a second an endpoint takes from all VMs.

    ``requests_per_second`` is ``None`` if it names no limit any more.
    """

    endpoint_id: model.EndpointId
    incarnation: int
    requests_per_second: float | None = None


class PermitAsked(msgspec.Struct, frozen=True, tag=True):
    """Asks for a permit to send one request to an endpoint with a limit.

    The request may wait for it for ``max_wait_milliseconds``; ``priority`` is
    its rank, 0 the first.  ``entry`` is the entry VM that asks, if a control
    VM passes its question on to the leader.
    """

    endpoint_id: model.EndpointId
    incarnation: int
    ask_id: int
    requests_per_second: float
    max_wait_milliseconds: int = 0
    priority: int = 0
    entry: model.VmId = model.VmId("")


class PermitAnswered(msgspec.Struct, frozen=True, tag=True):
    """Grants a permit, or tells after what time one may be free.

    ``entry`` is the entry VM that asked, if a control VM passes this on.
    """

    endpoint_id: model.EndpointId
    incarnation: int
    ask_id: int
    is_granted: bool
    wait_milliseconds: int = 0
    entry: model.VmId = model.VmId("")


class PermitReturned(msgspec.Struct, frozen=True, tag=True):
    """Gives back a permit that was granted and is not used."""

    endpoint_id: model.EndpointId
    incarnation: int


class EndpointPaced(msgspec.Struct, frozen=True, tag=True):
    """The slowdown factor that an engine reports, 1.0 at its usual speed."""

    endpoint_id: model.EndpointId
    incarnation: int
    slowness: float


class CrashWitnessed(msgspec.Struct, frozen=True, tag=True):
    """Reports that an endpoint crashed while it ran a request.

    Sent by earlier versions only; ``CrashesReported`` has replaced it.
    """

    fingerprint: str
    endpoint_id: model.EndpointId
    incarnation: int


class CrashesReported(msgspec.Struct, frozen=True, tag=True):
    """Evidence on what lost endpoints have in common.

    A VM that has just connected is sent all that the sender knows.
    """

    evidence: tuple[crash_causes.Evidence, ...]


class Forwarder(msgspec.Struct, frozen=True):
    """An entry VM that carries requests of others to endpoints."""

    vm_id: model.VmId
    address: str
    key: str


class ForwardersAsked(msgspec.Struct, frozen=True, tag=True):
    """Asks for forwarders, by a VM that fails to connect.

    ``is_cut_off`` tells whether the sender has no path to any endpoint
    itself, as far as it knows; ``None`` if it does not say.
    """

    is_cut_off: bool | None = None


class ForwardersOffered(msgspec.Struct, frozen=True, tag=True):
    """Some entry VMs that may have paths to the endpoints."""

    forwarders: tuple[Forwarder, ...]


class ReadIndexAsked(msgspec.Struct, frozen=True, tag=True):
    """Asks for the index up to which the log is committed."""

    ask_id: int


class ReadIndexAnswered(msgspec.Struct, frozen=True, tag=True):
    """The commit index, or none if the sender does not hold its lease."""

    ask_id: int
    index: int | None


class SuspectRumour(msgspec.Struct, frozen=True, tag=True):
    """What the sender knows of a request suspected of crashing endpoints."""

    rumour: admission.Rumour


class RaftCarried(msgspec.Struct, frozen=True, tag=True):
    """A Raft message between control VMs."""

    message: consensus.RaftMessage


class GossipCarried(msgspec.Struct, frozen=True, tag=True):
    """A gossip frame between the entry VMs' endpoint directories."""

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
    | CrashesReported
    | CrashWitnessed
    | LoadReported
    | EndpointDeregistered
    | EndpointFailed
    | EndpointLeaving
    | EndpointLimited
    | EndpointLost
    | EndpointPaced
    | ForwardersAsked
    | ForwardersOffered
    | LoadShared
    | LoadSummed
    | PermitAnswered
    | PermitAsked
    | PermitReturned
    | ReadIndexAsked
    | ReadIndexAnswered
)
