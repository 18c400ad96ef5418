"""Splits server-sent event streams (WHATWG HTML, section 9.2)."""

import dataclasses
import re

_EVENT_ID = re.compile(rb"^id: ?([0-9]{1,18})\r?$", re.MULTILINE)
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_LONGEST_EVENT_END = 4


@dataclasses.dataclass(slots=True, frozen=True)
class StreamEvent:
    """The unmodified bytes of one event, and its id if it has one."""

    data: bytes
    event_id: int | None

    @property
    def has_content(self) -> bool:
        """Return whether the event is more than blank lines."""
        return not self.data.isspace()


class EventSplitter:
    """Splits a byte stream into events and buffers incomplete ones.

    >>> splitter = EventSplitter()
    >>> [event.event_id for event in splitter.feed(b"id: 1\\ndata: a\\n\\nid")]
    [1]
    >>> splitter.has_incomplete_event
    True
    """

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_incomplete_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the buffered, incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        # The end of an event may have begun in the last bytes.  Searching all
        # of the buffer again would take time that grows with its square.
        searched = max(0, len(self._buffer) - _LONGEST_EVENT_END + 1)
        self._buffer += data
        events: list[StreamEvent] = []
        start = 0
        for separator in _EVENT_END.finditer(self._buffer, searched):
            event = bytes(self._buffer[start : separator.end()])
            id_match = _EVENT_ID.search(event)
            event_id = int(id_match.group(1)) if id_match else None
            events.append(StreamEvent(event, event_id))
            start = separator.end()
        if start:
            self._buffer = self._buffer[start:]
        return events
