"""Which header fields are passed on to and from plain services."""

import collections.abc

from sedgepin import _http as http

_HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"host",
        b"keep-alive",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def end_to_end_headers(
    headers: collections.abc.Iterable[http.HeaderField],
) -> list[tuple[bytes, bytes]]:
    """Return the headers to forward to the endpoint.

    Hop-by-hop headers and the caller's credential are left out.
    """
    return [
        (field.name, field.value)
        for field in headers
        if field.name not in _HOP_BY_HOP_HEADERS
        and field.name != b"authorization"
    ]


def answer_headers(
    headers: collections.abc.Iterable[tuple[bytes, bytes]],
) -> tuple[http.HeaderField, ...]:
    """Return the headers of an answer to pass on to the caller."""
    return tuple(
        http.HeaderField(name.lower(), value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP_HEADERS
    )
