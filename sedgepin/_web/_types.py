"""Plain data types for HTTP/1.1 messages and limits."""

import dataclasses
import typing

Headers: typing.TypeAlias = tuple[tuple[bytes, bytes], ...]

# The fields that an intermediary removes by RFC 9110, section 7.6.1, and
# Content-Length and Trailer, because each sender frames the body anew.
_HOP_BY_HOP_FIELDS = frozenset(
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
    """A complete request."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""

    def find_header(self, name: bytes) -> bytes | None:
        """Return the value of the first field called ``name`` (lower case)."""
        return find_header(self.headers, name)


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerHead:
    """Status code and header fields of an answer."""

    status: int
    headers: Headers = ()

    def find_header(self, name: bytes) -> bytes | None:
        """Return the value of the first field called ``name`` (lower case)."""
        return find_header(self.headers, name)

    def ends_with_connection(self, method: bytes) -> bool:
        """Return whether it has a body without a length and chunks.

        ``method`` is that of the request.
        """
        if not may_have_body(method, self.status):
            return False
        has_end = (b"content-length", b"transfer-encoding")
        return not any(map(self.find_header, has_end))


def may_have_body(method: bytes, status: int) -> bool:
    """Return whether an answer may have a body (RFC 9110, section 6.4.1)."""
    return method != b"HEAD" and status not in (204, 304)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first field called ``name`` (lower case).

    >>> find_header(((b"Host", b"one.example"),), b"host")
    b'one.example'
    """
    for header_name, value in headers:
        if header_name.lower() == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the end-to-end fields, without hop-by-hop fields.

    Fields that a ``Connection`` field lists are hop-by-hop fields too.

    >>> end_to_end_headers(((b"Connection", b"x-hop"), (b"X-Hop", b"1")))
    ()
    """
    dropped_names = set(_HOP_BY_HOP_FIELDS)
    for name, value in headers:
        if name.lower() == b"connection":
            listed_names = value.lower().split(b",")
            dropped_names.update(name.strip() for name in listed_names)
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in dropped_names
    )


@dataclasses.dataclass(slots=True, frozen=True)
class ServerLimits:
    """Limits on the size of requests and on the time to receive them.

    ``header_timeout_seconds`` limits the receipt of the header section from
    its first byte.  The whole body has as long, and the time that its bytes
    take at 16 KiB/s.  ``idle_timeout_seconds`` limits how long a connection
    stays open without a request.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float
