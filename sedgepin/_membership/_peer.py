"""What an entry keeps about each entry that it talks with."""

import dataclasses
import datetime

import msgspec

from sedgepin._membership import _clocks as clocks
from sedgepin._membership import _encoding as encoding
from sedgepin._membership import _frames as frames
from sedgepin import _model as model

CENTISECOND = datetime.timedelta(milliseconds=10)
_CENTISECOND_MILLISECONDS = 10


@dataclasses.dataclass(slots=True, frozen=True)
class Description:
    """The unchanging part of an announcement, and the handle it goes by.

    Sequences are told as steps from the first one, which are short.
    """

    handle: int
    first_sequence: int
    announcement: model.Announcement


class Descriptions:
    """The handles that this entry has given, one for each description."""

    __slots__ = ("_by_endpoint", "_by_handle", "_next_handle")

    def __init__(self) -> None:
        self._by_endpoint: dict[model.EndpointId, Description] = {}
        self._by_handle: dict[int, Description] = {}
        self._next_handle = 0

    def describe(self, announcement: model.Announcement) -> Description:
        """Return the description of an announcement, new where it changed."""
        unchanging = encoding.without_changing_parts(announcement)
        known = self._by_endpoint.get(announcement.endpoint_id)
        if known is not None and known.announcement == unchanging:
            return known
        if known is not None:
            del self._by_handle[known.handle]
        described = Description(
            self._next_handle, announcement.sequence, unchanging
        )
        self._next_handle += 1
        self._by_endpoint[announcement.endpoint_id] = described
        self._by_handle[described.handle] = described
        return described

    def find(self, handle: int) -> Description | None:
        """Return the description of a handle that is still in use."""
        return self._by_handle.get(handle)

    def share(self, introduction: frames.Introduction) -> Description:
        """Return what a peer introduced, sharing what is already held."""
        announcement = introduction.announcement
        known = self._by_endpoint.get(announcement.endpoint_id)
        if known is not None and known.announcement == announcement:
            announcement = known.announcement
        return Description(
            introduction.handle, introduction.first_sequence, announcement
        )

    def keep_used(self, handles: set[int]) -> None:
        """Remove the handles that are not in use any more."""
        if len(handles) > len(self._by_handle):
            handles.intersection_update(self._by_handle)

    def forget(self, endpoint_id: model.EndpointId) -> None:
        """Drop the description of an endpoint; its handle is not reused."""
        known = self._by_endpoint.pop(endpoint_id, None)
        if known is not None:
            del self._by_handle[known.handle]


class Peer:
    """One other entry: its clock, its handles and what is due to it."""

    __slots__ = (
        "_handles",
        "answers",
        "clock",
        "introduced",
        "inventory_at",
        "is_lost",
        "is_up",
        "theirs",
        "to_introduce",
        "wanted",
    )

    def __init__(self) -> None:
        self.is_up = False
        self.is_lost = False
        self.clock: clocks.PeerClock | None = None
        self.introduced: set[int] = set()
        self.theirs: dict[int, Description] = {}
        self._handles: dict[model.EndpointId, int] = {}
        self.to_introduce: set[int] = set()
        self.wanted: set[int] = set()
        self.answers: set[model.EndpointId] = set()
        self.inventory_at: datetime.datetime | None = None

    def visit(self, incarnation: model.Incarnation) -> clocks.PeerClock | None:
        """Return the clock of a life of the peer; ``None`` for a past one.

        A new life starts anew.
        """
        if self.clock is None or self.clock.incarnation < incarnation:
            self._reset(incarnation)
        if self.clock is None or self.clock.incarnation > incarnation:
            return None
        return self.clock

    def learn(self, described: Description) -> None:
        """Hold what the peer introduced, one description an endpoint.

        The peer's handles rise, so that the higher one is the newer.
        """
        endpoint_id = described.announcement.endpoint_id
        before = self._handles.get(endpoint_id, -1)
        if described.handle < before:
            return
        self.theirs.pop(before, None)
        self.theirs[described.handle] = described
        self._handles[endpoint_id] = described.handle
        self.wanted.discard(described.handle)

    def forget(self, endpoint_id: model.EndpointId) -> None:
        """Drop what the peer introduced of an endpoint."""
        handle = self._handles.pop(endpoint_id, None)
        if handle is not None:
            del self.theirs[handle]

    def introduce(self, described: Description) -> frames.Introduction:
        """Return the introduction of a handle, and note that it was sent."""
        self.introduced.add(described.handle)
        return frames.Introduction(
            described.handle, described.first_sequence, described.announcement
        )

    def _reset(self, incarnation: model.Incarnation) -> None:
        self.clock = clocks.PeerClock(incarnation)
        self.theirs.clear()
        self._handles.clear()
        self.introduced.clear()
        self.to_introduce.clear()
        self.wanted.clear()
        self.answers.clear()


def to_refresh(
    described: Description,
    announcement: model.Announcement,
    known: datetime.timedelta | None,
) -> frames.Refresh:
    """Return what changed in an announcement of the known age."""
    centiseconds = frames.UNKNOWN
    if known is not None:
        centiseconds = -(-known // CENTISECOND)
    report = announcement.load
    measured_before = report.measured_before_milliseconds
    return frames.Refresh(
        described.handle,
        announcement.sequence - described.first_sequence,
        centiseconds,
        min(
            measured_before // _CENTISECOND_MILLISECONDS,
            frames.LARGEST_CENTISECONDS,
        ),
        encoding.to_step(report.running_requests),
        encoding.to_step(report.queued_requests),
        encoding.to_step(report.queued_tokens),
        announcement.cache_events,
    )


def to_announcement(
    described: Description, refresh: frames.Refresh
) -> model.Announcement:
    """Return the announcement that a refresh stands for."""
    return msgspec.structs.replace(
        described.announcement,
        sequence=described.first_sequence + refresh.sequence_step,
        load=model.LoadReport(
            encoding.from_step(refresh.running_step),
            encoding.from_step(refresh.queued_step),
            encoding.from_step(refresh.queued_tokens_step),
            refresh.load_age_centiseconds * _CENTISECOND_MILLISECONDS,
        ),
        cache_events=refresh.cache_events,
    )


def relayed_age(
    refresh: frames.Refresh,
    sent_not_before: datetime.datetime | None,
    now: datetime.datetime,
) -> datetime.timedelta | None:
    """Bound the age of a refresh by the own clock.

    It is the age at the sender, as long as the sender's clock can make it,
    and the time since the frame was sent at the earliest.
    """
    if sent_not_before is None:
        return None
    if refresh.age_centiseconds < 0:
        return None
    age_at_sender = (
        refresh.age_centiseconds * CENTISECOND * clocks.MAX_RELATIVE_RATE
    )
    return now - sent_not_before + age_at_sender
