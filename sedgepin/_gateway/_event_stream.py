"""Splitting a stream into whole events (WHATWG HTML, section 9.2)."""

import dataclasses
import re

_EVENT_ID = re.compile(rb"^id: ?([0-9]{1,18})\r?$", re.MULTILINE)
_EVENT_END = re.compile(rb"\r?\n\r?\n")


@dataclasses.dataclass(slots=True, frozen=True)
class StreamEvent:
    """One event: its bytes as they came, and its id where it has one."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Cuts bytes into events; what is not whole yet is kept back.

    >>> splitter = EventSplitter()
    >>> [one.event_id for one in splitter.feed(b"id: 1\\ndata: a\\n\\nid")]
    [1]
    >>> splitter.has_rest
    True
    """

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_rest(self) -> bool:
        """Tell whether part of an event is waiting for its end."""
        return bool(self._buffer.strip())

    @property
    def buffered_bytes(self) -> int:
        """Return how many bytes wait for the end of their event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that ``data`` completes."""
        buffer = self._buffer + data if self._buffer else data
        found: list[StreamEvent] = []
        start = 0
        for end in _EVENT_END.finditer(buffer):
            whole = buffer[start : end.end()]
            matched = _EVENT_ID.search(whole)
            event_id = int(matched.group(1)) if matched else None
            found.append(StreamEvent(whole, event_id))
            start = end.end()
        self._buffer = buffer[start:]
        return found
