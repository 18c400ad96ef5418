"""Finds the heads of a response in the bytes of its connection."""

import re

import result

from sedgepin._response_heads import _rules

_STATUS_LINE = re.compile(rb"HTTP/([^ ]*) ([^ ]*)(?: (.*))?", re.DOTALL)
# h11 delimits heads by the same expression, so that both see the same lines.
_BLANK_LINE = re.compile(rb"\n\r?\n")
_BLANK_LINE_BYTES = 3
_MAX_INTERIM_RESPONSES = 100
# Control bytes and the space.
_LAST_BLANK = 0x20


class HeadScanner:
    """Checks all heads of a response, interim ones included.

    It gets the bytes before the parser, which joins folded lines and forgets
    the version.  The reader limits how long a head may be.

    >>> scanner = HeadScanner()
    >>> scanner.feed(b"HTTP/1.1 200 OK\\r\\n")
    Ok(b'')
    >>> scanner.feed(b"Bad Name: 1\\r\\n\\r\\n")
    Err("the field name b'Bad Name' is not a token")
    """

    __slots__ = ("_buffer", "_interim_count", "_searched_bytes", "is_complete")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched_bytes = 0
        self._interim_count = 0
        # Set after the head of the final response.
        self.is_complete = False

    @property
    def buffered_bytes(self) -> int:
        """Return how many bytes of an incomplete head it holds."""
        return len(self._buffer)

    def feed(self, data: bytes) -> result.Result[bytes, str]:
        """Add received bytes; return what is checked, or a head's fault.

        What is checked are whole heads, and all that follows the final one.
        """
        if self.is_complete:
            return result.Ok(data)
        self._buffer += data
        start = 0
        while not self.is_complete and start < len(self._buffer):
            # A head without an end is not waited for.
            if self._buffer[start] <= _LAST_BLANK:
                return result.Err("the status line is empty or begins blank")
            end = _BLANK_LINE.search(
                self._buffer, max(start, self._searched_bytes)
            )
            if end is None:
                break
            fault = self._check(
                _split(bytes(self._buffer[start : end.start()]))
            )
            if fault is not None:
                return result.Err(fault)
            start = end.end()
        if self.is_complete:
            start = len(self._buffer)
        checked = bytes(self._buffer[:start])
        del self._buffer[:start]
        self._searched_bytes = max(0, len(self._buffer) - _BLANK_LINE_BYTES)
        return result.Ok(checked)

    def take_rest(self) -> bytes:
        """Return the incomplete head, at the end of the connection."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest

    def _check(self, head: _rules.ResponseHead) -> str | None:
        fault = _rules.find_fault(head)
        # Nothing of HTTP/1.1 follows a 101.
        if not head.status.startswith(b"1") or head.status == b"101":
            self.is_complete = True
        self._interim_count += 1
        if fault is None and self._interim_count > _MAX_INTERIM_RESPONSES + 1:
            fault = f"more than {_MAX_INTERIM_RESPONSES} interim responses"
        return fault


def _split(head: bytes) -> _rules.ResponseHead:
    """Return the parts of a head without its last line end."""
    first, *lines = [line.removesuffix(b"\r") for line in head.split(b"\n")]
    status_line = _STATUS_LINE.fullmatch(first)
    if status_line is None:
        # The whole line, of which no part is known.
        return _rules.ResponseHead(first, b"", b"", ())
    fields: list[tuple[bytes, bytes]] = []
    for line in lines:
        if line.startswith((b" ", b"\t")) and fields:
            name, value = fields[-1]
            fields[-1] = (name, value + b"\n" + line)
            continue
        name, colon, value = line.partition(b":")
        fields.append((name, value.strip(b" \t")) if colon else (b"", line))
    version, status, reason = status_line.groups(b"")
    return _rules.ResponseHead(version, status, reason, tuple(fields))
