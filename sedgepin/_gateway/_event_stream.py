"""Splits server-sent event streams (WHATWG HTML, section 9.2)."""

import dataclasses
import re

_EVENT_ID = re.compile(rb"^id: ?([0-9]{1,18})\r?$", re.MULTILINE)
# A field of an event, or a comment.
_FIELD = re.compile(rb"^(?:(?:data|event|id|retry)(?::|\r?$)|:)", re.MULTILINE)
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_LONGEST_EVENT_END = 4
# What the object of a piece takes beside its bytes.
_PIECE_OVERHEAD_BYTES = 64


@dataclasses.dataclass(slots=True, frozen=True)
class StreamEvent:
    """The unmodified bytes of one event, and its id if it has one."""

    data: bytes
    event_id: int | None

    @property
    def has_content(self) -> bool:
        """Return whether the event is more than blank lines."""
        return not self.data.isspace()

    @property
    def is_valid(self) -> bool:
        """Return whether the bytes are blank or have a field of an event."""
        return (
            self.event_id is not None
            or not self.has_content
            or _FIELD.search(self.data) is not None
        )

    @property
    def is_comment(self) -> bool:
        """Return whether each line is a comment, or blank."""
        return all(
            not line.strip() or line.startswith(b":")
            for line in self.data.splitlines()
        )


class EventSplitter:
    """Splits a byte stream into events and buffers incomplete ones.

    >>> splitter = EventSplitter()
    >>> [event.event_id for event in splitter.feed(b"id: 1\\ndata: a\\n\\nid")]
    [1]
    >>> splitter.has_incomplete_event
    True
    """

    __slots__ = ("_pieces", "_size_bytes", "_tail")

    def __init__(self) -> None:
        # The incomplete event; one buffer would be moved as it grows.
        self._pieces: list[bytes] = []
        self._size_bytes = 0
        # Its last bytes, in which the end of an event may have begun.
        self._tail = b""

    @property
    def has_incomplete_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return any(piece.strip() for piece in self._pieces)

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the buffered, incomplete event."""
        return self._size_bytes

    @property
    def held_bytes(self) -> int:
        """Return the memory that the incomplete event takes."""
        return self._size_bytes + len(self._pieces) * _PIECE_OVERHEAD_BYTES

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        recent = self._tail + data
        # The search alone is slow on long data without a line's end.
        if b"\n" not in data or _EVENT_END.search(recent) is None:
            self._keep(data, recent)
            return []
        buffer = b"".join((*self._pieces, data))
        events: list[StreamEvent] = []
        start = 0
        for separator in _EVENT_END.finditer(buffer):
            event = buffer[start : separator.end()]
            id_match = _EVENT_ID.search(event)
            event_id = int(id_match.group(1)) if id_match else None
            events.append(StreamEvent(event, event_id))
            start = separator.end()
        rest = buffer[start:]
        self._pieces.clear()
        self._size_bytes = 0
        self._keep(rest, rest)
        return events

    def _keep(self, piece: bytes, recent: bytes) -> None:
        if piece:
            self._pieces.append(piece)
        self._size_bytes += len(piece)
        self._tail = recent[1 - _LONGEST_EVENT_END :]
