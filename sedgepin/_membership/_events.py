"""Events that a gossip node handles, and effects that it returns."""

import dataclasses
import datetime

from sedgepin._membership import _failures as failures
from sedgepin._membership import _frames as frames
from sedgepin._membership import _topology as topology
from sedgepin import _model as model


@dataclasses.dataclass(slots=True, frozen=True)
class AnnouncementReceived:
    """An endpoint sent an announcement to this entry VM."""

    announcement: model.Announcement


@dataclasses.dataclass(slots=True, frozen=True)
class GossipReceived:
    """A frame was received from another entry VM."""

    sender: model.VmId
    frame: frames.GossipFrame


@dataclasses.dataclass(slots=True, frozen=True)
class PeerUp:
    """A connection to another entry VM was established."""

    vm_id: model.VmId


@dataclasses.dataclass(slots=True, frozen=True)
class PeerDown:
    """The last connection to another entry VM was closed."""

    vm_id: model.VmId


@dataclasses.dataclass(slots=True, frozen=True)
class EntriesChanged:
    """The entry VMs of the scope changed; ``entries`` includes this one.

    Rumours are also sent to ``other_scopes``, over a few bridges.
    """

    entries: tuple[model.VmId, ...]
    other_scopes: tuple[topology.Scope, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointFailed:
    """This entry VM could not reach an endpoint."""

    endpoint_id: model.EndpointId


@dataclasses.dataclass(slots=True, frozen=True)
class RumourStarted:
    """Spread a fingerprint to every entry VM, valid until an instant."""

    fingerprint: str
    until: datetime.datetime


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """The instant of the latest ``WakeAt`` has passed."""


Event = (
    AnnouncementReceived
    | GossipReceived
    | PeerUp
    | PeerDown
    | EntriesChanged
    | EndpointFailed
    | RumourStarted
    | TimerFired
)


@dataclasses.dataclass(slots=True, frozen=True)
class SendGossip:
    """Send a frame to another entry VM, without retransmission."""

    recipient: model.VmId
    frame: frames.GossipFrame


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyToAnnouncement:
    """Answer the announcement of an endpoint.

    The endpoint returns ``echo`` with its next announcement, which it sends
    after ``next_announcement_delay``.
    """

    echo: str
    next_announcement_delay: datetime.timedelta


@dataclasses.dataclass(slots=True, frozen=True)
class RefuseAnnouncement:
    """Refuse the announcement in the answer to the endpoint."""

    failure: failures.DirectoryFull | failures.NumberTooLarge


@dataclasses.dataclass(slots=True, frozen=True)
class ApplyAnnouncement:
    """Pass a newer announcement to the consumers of load and cache state.

    ``age`` is an upper bound on the time since the endpoint sent it; ``None``
    if unknown.
    """

    announcement: model.Announcement
    age: datetime.timedelta | None


@dataclasses.dataclass(slots=True, frozen=True)
class ApplyRumour:
    """Apply a rumour received from another entry VM."""

    fingerprint: str
    until: datetime.datetime


@dataclasses.dataclass(slots=True, frozen=True)
class ReportEndpointJoined:
    """Log that a new incarnation of an endpoint joined."""

    endpoint_id: model.EndpointId
    incarnation: model.Incarnation


@dataclasses.dataclass(slots=True, frozen=True)
class ReportEndpointLeaving:
    """Log that an endpoint is leaving."""

    endpoint_id: model.EndpointId
    incarnation: model.Incarnation


@dataclasses.dataclass(slots=True, frozen=True)
class ReportEndpointLost:
    """Log that an endpoint was removed because it stopped announcing."""

    endpoint_id: model.EndpointId
    incarnation: model.Incarnation


@dataclasses.dataclass(slots=True, frozen=True)
class WakeAt:
    """Set the timer to an instant, replacing the previous one."""

    instant: datetime.datetime


Effect = (
    SendGossip
    | ReplyToAnnouncement
    | RefuseAnnouncement
    | ApplyAnnouncement
    | ApplyRumour
    | ReportEndpointJoined
    | ReportEndpointLeaving
    | ReportEndpointLost
    | WakeAt
)
