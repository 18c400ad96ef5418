"""State that an entry VM keeps per peer, and conversion to and from frames."""

import dataclasses
import datetime

import msgspec

from sedgepin._membership import _clocks as clocks
from sedgepin._membership import _encoding as encoding
from sedgepin._membership import _frames as frames
from sedgepin import _model as model

CENTISECOND = datetime.timedelta(milliseconds=10)
_MILLISECONDS_PER_CENTISECOND = 10


@dataclasses.dataclass(slots=True, frozen=True)
class Description:
    """The static part of an announcement, and the handle that represents it.

    Frames carry sequences as differences to ``first_sequence``, which are
    shorter.
    """

    handle: int
    first_sequence: int
    announcement: model.Announcement


class Descriptions:
    """The descriptions of endpoints by this entry VM, and their handles.

    Each endpoint has one description.  When it changes, it gets a new handle;
    handles increase and are never reused.
    """

    __slots__ = ("_by_endpoint", "_by_handle", "_next_handle")

    def __init__(self) -> None:
        self._by_endpoint: dict[model.EndpointId, Description] = {}
        self._by_handle: dict[int, Description] = {}
        self._next_handle = 0

    def get_or_create(self, announcement: model.Announcement) -> Description:
        """Return the description of an announcement; create it if changed."""
        static_part = encoding.static_part(announcement)
        current = self._by_endpoint.get(announcement.endpoint_id)
        if current is not None and current.announcement == static_part:
            return current
        if current is not None:
            del self._by_handle[current.handle]
        description = Description(
            self._next_handle, announcement.sequence, static_part
        )
        self._next_handle += 1
        self._by_endpoint[announcement.endpoint_id] = description
        self._by_handle[description.handle] = description
        return description

    def find(self, handle: int) -> Description | None:
        """Return the description of a handle; ``None`` if it is outdated."""
        return self._by_handle.get(handle)

    def intern(self, introduction: frames.Introduction) -> Description:
        """Return the description that a peer introduced.

        An announcement equal to the own description is shared with it, to
        save memory.
        """
        announcement = introduction.announcement
        own = self._by_endpoint.get(announcement.endpoint_id)
        if own is not None and own.announcement == announcement:
            announcement = own.announcement
        return Description(
            introduction.handle, introduction.first_sequence, announcement
        )

    def prune_outdated(self, handles: set[int]) -> None:
        """Remove outdated handles from a set of this VM's handles.

        The set is pruned only if it is larger than the set of current
        handles, which bounds its size.
        """
        if len(handles) > len(self._by_handle):
            handles.intersection_update(self._by_handle)

    def remove_endpoint(self, endpoint_id: model.EndpointId) -> None:
        """Remove the description of an endpoint, if any."""
        description = self._by_endpoint.pop(endpoint_id, None)
        if description is not None:
            del self._by_handle[description.handle]


class Peer:
    """The state kept for one other entry VM.

    - ``clock``: bounds on the peer's clock; ``None`` before its first frame.
    - ``introduced_handles``: own handles that were introduced to the peer.
    - ``descriptions``: the peer's descriptions by the peer's handles.
    - ``handles_to_introduce``: own handles that the peer requested.
    - ``unknown_handles``: the peer's handles to request in the next frame.
    - ``requested_endpoints``: endpoints whose refresh the peer requested.
    - ``next_inventory_at``: the earliest time to send the next inventory,
      which lists tombstones and rumours.
    - ``is_disconnected``: whether a connection was lost and not restored; a
      peer that was never connected is neither connected nor disconnected.
    """

    __slots__ = (
        "_handles",
        "clock",
        "descriptions",
        "handles_to_introduce",
        "introduced_handles",
        "is_connected",
        "is_disconnected",
        "next_inventory_at",
        "requested_endpoints",
        "unknown_handles",
    )

    def __init__(self) -> None:
        self.is_connected = False
        self.is_disconnected = False
        self.clock: clocks.PeerClock | None = None
        self.introduced_handles: set[int] = set()
        self.descriptions: dict[int, Description] = {}
        self._handles: dict[model.EndpointId, int] = {}
        self.handles_to_introduce: set[int] = set()
        self.unknown_handles: set[int] = set()
        self.requested_endpoints: set[model.EndpointId] = set()
        self.next_inventory_at: datetime.datetime | None = None

    def clock_of(
        self, incarnation: model.Incarnation
    ) -> clocks.PeerClock | None:
        """Return the clock of an incarnation of the peer.

        A new incarnation resets the state.  ``None`` for an earlier one.
        """
        if self.clock is None or self.clock.incarnation < incarnation:
            self._reset(incarnation)
        if self.clock is None or self.clock.incarnation > incarnation:
            return None
        return self.clock

    def add_description(self, description: Description) -> None:
        """Store a description that the peer introduced.

        It replaces an earlier one of the same endpoint.  The peer's handles
        increase, so the higher handle is the newer.
        """
        endpoint_id = description.announcement.endpoint_id
        previous_handle = self._handles.get(endpoint_id, -1)
        if description.handle < previous_handle:
            return
        self.descriptions.pop(previous_handle, None)
        self.descriptions[description.handle] = description
        self._handles[endpoint_id] = description.handle
        self.unknown_handles.discard(description.handle)

    def remove_endpoint(self, endpoint_id: model.EndpointId) -> None:
        """Remove the description that the peer introduced for an endpoint."""
        handle = self._handles.pop(endpoint_id, None)
        if handle is not None:
            del self.descriptions[handle]

    def introduce(self, description: Description) -> frames.Introduction:
        """Return an introduction, and record it as sent to the peer."""
        self.introduced_handles.add(description.handle)
        return frames.Introduction(
            description.handle,
            description.first_sequence,
            description.announcement,
        )

    def _reset(self, incarnation: model.Incarnation) -> None:
        self.clock = clocks.PeerClock(incarnation)
        self.descriptions.clear()
        self._handles.clear()
        self.introduced_handles.clear()
        self.handles_to_introduce.clear()
        self.unknown_handles.clear()
        self.requested_endpoints.clear()


def to_refresh(
    description: Description,
    announcement: model.Announcement,
    max_age: datetime.timedelta | None,
) -> frames.Refresh:
    """Encode the changing part of an announcement.

    ``max_age`` is the bound on its age; ``None`` if unknown.
    """
    centiseconds = frames.UNKNOWN
    if max_age is not None:
        centiseconds = -(-max_age // CENTISECOND)
    report = announcement.load
    measured_before = report.measured_before_milliseconds
    return frames.Refresh(
        description.handle,
        announcement.sequence - description.first_sequence,
        centiseconds,
        min(
            measured_before // _MILLISECONDS_PER_CENTISECOND,
            frames.LARGEST_CENTISECONDS,
        ),
        encoding.to_step(report.running_requests),
        encoding.to_step(report.queued_requests),
        encoding.to_step(report.queued_tokens),
        announcement.cache_events,
    )


def to_announcement(
    description: Description, refresh: frames.Refresh
) -> model.Announcement:
    """Decode a refresh into an announcement."""
    return msgspec.structs.replace(
        description.announcement,
        sequence=description.first_sequence + refresh.sequence_step,
        load=model.LoadReport(
            encoding.from_step(refresh.running_step),
            encoding.from_step(refresh.queued_step),
            encoding.from_step(refresh.queued_tokens_step),
            refresh.load_age_centiseconds * _MILLISECONDS_PER_CENTISECOND,
        ),
        cache_events=refresh.cache_events,
    )


def max_relayed_age(
    refresh: frames.Refresh,
    earliest_sent_at: datetime.datetime | None,
    now: datetime.datetime,
) -> datetime.timedelta | None:
    """Return an upper bound on the age of a refresh by the own clock.

    It is the sum of the longest time that the age at the sender can stand
    for, given the sender's clock rate, and the longest time since the frame
    was sent.  ``None`` if either is unknown.
    """
    if earliest_sent_at is None:
        return None
    if refresh.age_centiseconds < 0:
        return None
    age_at_sender = (
        refresh.age_centiseconds * CENTISECOND * clocks.MAX_RELATIVE_RATE
    )
    return now - earliest_sent_at + age_at_sender
