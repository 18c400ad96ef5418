"""The load that the requests of one entry VM put on endpoints."""

import collections
import dataclasses

from sedgepin import _model as model
from sedgepin import _protocol as protocol


@dataclasses.dataclass(slots=True, frozen=True)
class RequestLoad:
    """The load of one request on its endpoints, the first of them first.

    ``is_unanswered`` tells that it was sent and its answer has not begun.
    """

    endpoint_ids: tuple[model.EndpointId, ...]
    tokens: int
    is_unanswered: bool = False


class OwnLoad:
    """Sums the loads of requests by endpoint.

    >>> own_load = OwnLoad()
    >>> own_load.add(RequestLoad(("a", "b"), 900))
    >>> own_load.on("b")
    EndpointLoad('b', 1, 900)
    """

    __slots__ = ("_running", "_tokens")

    def __init__(self) -> None:
        self._running: collections.Counter[model.EndpointId] = (
            collections.Counter()
        )
        self._tokens: collections.Counter[model.EndpointId] = (
            collections.Counter()
        )

    def add(self, load: RequestLoad) -> None:
        """Add a request to the load of its endpoints."""
        for endpoint_id in load.endpoint_ids:
            self._running[endpoint_id] += 1
            self._tokens[endpoint_id] += load.tokens

    def remove(self, load: RequestLoad) -> None:
        """Remove a request from the load of its endpoints."""
        for endpoint_id in load.endpoint_ids:
            self._running[endpoint_id] -= 1
            self._tokens[endpoint_id] -= load.tokens
            if self._running[endpoint_id] <= 0:
                del self._running[endpoint_id]
                del self._tokens[endpoint_id]

    def on(self, endpoint_id: model.EndpointId) -> protocol.EndpointLoad:
        """Return the load on an endpoint."""
        return protocol.EndpointLoad(
            endpoint_id, self._running[endpoint_id], self._tokens[endpoint_id]
        )

    def all(self) -> tuple[protocol.EndpointLoad, ...]:
        """Return the loads on all endpoints that have any."""
        return tuple(self.on(endpoint_id) for endpoint_id in self._running)


def add(
    one: protocol.EndpointLoad, other: protocol.EndpointLoad
) -> protocol.EndpointLoad:
    """Return the sum of two loads on the same endpoint."""
    return protocol.EndpointLoad(
        one.endpoint_id, one.running + other.running, one.tokens + other.tokens
    )


def subtract(
    total: protocol.EndpointLoad, part: protocol.EndpointLoad
) -> protocol.EndpointLoad:
    """Return a load without a part of it, and nothing below 0."""
    return protocol.EndpointLoad(
        total.endpoint_id,
        max(0, total.running - part.running),
        max(0, total.tokens - part.tokens),
    )
