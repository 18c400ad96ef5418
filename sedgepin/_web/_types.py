"""Heads and bodies of HTTP/1.1 messages, as plain data."""

import dataclasses
import typing

Headers: typing.TypeAlias = tuple[tuple[bytes, bytes], ...]

# RFC 9110, section 7.6.1, and the two fields that frame a body.
_CONNECTION_FIELDS = frozenset(
    (
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """A request that was read whole."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first field of a lower-case name."""
        return find_header(self.headers, name)


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerHead:
    """The status and the fields of an answer."""

    status: int
    headers: Headers = ()

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first field of a lower-case name."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first field of a lower-case name.

    >>> find_header(((b"Host", b"one.example"),), b"host")
    b'one.example'
    """
    for found, value in headers:
        if found.lower() == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the fields that concern more than one connection.

    Fields that the ``Connection`` field names are dropped too.

    >>> end_to_end_headers(((b"Connection", b"x-hop"), (b"X-Hop", b"1")))
    ()
    """
    dropped = set(_CONNECTION_FIELDS)
    for name, value in headers:
        if name.lower() == b"connection":
            named = value.lower().split(b",")
            dropped.update(one.strip() for one in named)
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


@dataclasses.dataclass(slots=True, frozen=True)
class ServerLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float
