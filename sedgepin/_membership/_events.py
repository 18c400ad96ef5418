"""What happens to a gossip node, and what it asks to be done."""

import dataclasses
import datetime

from sedgepin._membership import _failures as failures
from sedgepin._membership import _frames as frames
from sedgepin._membership import _topology as topology
from sedgepin import _model as model


@dataclasses.dataclass(slots=True, frozen=True)
class AnnouncementReceived:
    """An endpoint announced itself to this entry."""

    announcement: model.Announcement


@dataclasses.dataclass(slots=True, frozen=True)
class GossipReceived:
    """A frame of another entry came in."""

    sender: model.VmId
    frame: frames.GossipFrame


@dataclasses.dataclass(slots=True, frozen=True)
class PeerUp:
    """A connection with another entry stands."""

    vm_id: model.VmId


@dataclasses.dataclass(slots=True, frozen=True)
class PeerDown:
    """No connection with another entry stands any more."""

    vm_id: model.VmId


@dataclasses.dataclass(slots=True, frozen=True)
class EntriesChanged:
    """The entries of the scope, this one included, are these from now on.

    Rumours go to the other scopes as well, over a few bridges.
    """

    entries: tuple[model.VmId, ...]
    other_scopes: tuple[topology.Scope, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointFailed:
    """This entry could not reach an endpoint."""

    endpoint_id: model.EndpointId


@dataclasses.dataclass(slots=True, frozen=True)
class RumourStarted:
    """A fingerprint is to be known to every entry until an instant."""

    fingerprint: str
    until: datetime.datetime


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """The instant last asked for by ``WakeAt`` has come."""


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
    """Send a frame to another entry; it may be lost."""

    recipient: model.VmId
    frame: frames.GossipFrame


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyToAnnouncement:
    """Answer the endpoint: what to return, and when to announce again."""

    echo: str
    next_announcement_delay: datetime.timedelta


@dataclasses.dataclass(slots=True, frozen=True)
class RefuseAnnouncement:
    """Answer the endpoint that it is not taken in."""

    failure: failures.DirectoryFull | failures.NumberTooLarge


@dataclasses.dataclass(slots=True, frozen=True)
class ApplyAnnouncement:
    """Hand a newer announcement to whoever follows load and caches.

    ``age`` bounds the time since the endpoint sent it; ``None`` is unknown.
    """

    announcement: model.Announcement
    age: datetime.timedelta | None


@dataclasses.dataclass(slots=True, frozen=True)
class ApplyRumour:
    """Hand on a fingerprint that another entry told of."""

    fingerprint: str
    until: datetime.datetime


@dataclasses.dataclass(slots=True, frozen=True)
class ReportEndpointJoined:
    """Log that a new incarnation of an endpoint is known."""

    endpoint_id: model.EndpointId
    incarnation: model.Incarnation


@dataclasses.dataclass(slots=True, frozen=True)
class ReportEndpointLeaving:
    """Log that an endpoint is leaving."""

    endpoint_id: model.EndpointId
    incarnation: model.Incarnation


@dataclasses.dataclass(slots=True, frozen=True)
class ReportEndpointLost:
    """Log that an endpoint was silent for so long that it is forgotten."""

    endpoint_id: model.EndpointId
    incarnation: model.Incarnation


@dataclasses.dataclass(slots=True, frozen=True)
class WakeAt:
    """Fire the timer at an instant; it replaces the one asked for before."""

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
