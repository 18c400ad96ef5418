"""A call to a plain service that has no final answer yet."""

import collections.abc
import datetime

from sedgepin._entry import _events
from sedgepin import _http as http
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _writes as writes


class OpenCall:
    """A call that has no final answer yet.

    ``is_write`` marks a call that may not be repeated; ``target`` is the
    endpoint of the current attempt, which goes through ``forwarder`` if that
    is set.  ``detours`` counts the other ways tried to the same endpoint.
    ``is_sent`` tells whether the call is at an endpoint, not waiting for a
    permit or a path.
    """

    __slots__ = (
        "attempt",
        "deadline",
        "denied_permits",
        "detours",
        "excluded_endpoints",
        "forwarder",
        "is_admitted",
        "is_sent",
        "is_write",
        "may_have_run",
        "permit_wait",
        "request",
        "target",
    )

    def __init__(
        self,
        request: _events.ServiceRequest,
        is_write: bool,
        deadline: datetime.datetime,
    ) -> None:
        self.request = request
        self.is_write = is_write
        self.deadline = deadline
        self.attempt = 0
        self.detours = 0
        self.is_admitted = False
        self.is_sent = False
        self.may_have_run = False
        self.excluded_endpoints: frozenset[model.EndpointId] = frozenset()
        self.target: model.Announcement | None = None
        self.forwarder: protocol.Forwarder | None = None
        # How long the next attempt may wait for a permit.
        self.permit_wait: datetime.timedelta | None = datetime.timedelta()
        self.denied_permits = 0


def stored_headers(
    headers: collections.abc.Iterable[http.HeaderField],
) -> tuple[writes.Header, ...]:
    """Return the headers of an answer as they are stored with a write."""
    return tuple(
        writes.Header(
            header.name.decode("latin-1"), header.value.decode("latin-1")
        )
        for header in headers
    )
