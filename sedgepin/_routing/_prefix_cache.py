"""Which engines hold which prompt prefixes, from their cache events."""

import collections
import collections.abc

from sedgepin import _model as model


class _EndpointPrefixes:
    """The prefix hashes of one endpoint, least recently added first.

    ``complete`` is false until a snapshot arrives, and after a gap in the
    sequence numbers.
    """

    __slots__ = ("complete", "hashes", "incarnation", "last_sequence")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.last_sequence = -1
        self.complete = False
        self.hashes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )


class PrefixCacheView:
    """The prefix hashes that engines hold, as reported by cache events.

    Events of one endpoint are numbered without gaps.  A gap clears the
    endpoint's hashes until its next snapshot: the lost event could have
    removed prefixes that would otherwise still count as cached.  The number
    of hashes of each endpoint is limited; the least recently added are
    dropped first.
    """

    __slots__ = ("_endpoints_by_hash", "_limit", "_prefixes_by_endpoint")

    def __init__(self, hashes_per_endpoint: int) -> None:
        self._limit = hashes_per_endpoint
        self._prefixes_by_endpoint: dict[
            model.EndpointId, _EndpointPrefixes
        ] = {}
        self._endpoints_by_hash: dict[str, set[model.EndpointId]] = {}

    def apply(
        self,
        endpoint_id: model.EndpointId,
        incarnation: model.Incarnation,
        events: collections.abc.Iterable[model.CacheEvent],
    ) -> None:
        """Apply the events of one announcement, which may be in any order.

        Events of an older incarnation are ignored; a newer incarnation
        starts with no hashes.
        """
        prefixes = self._prefixes_by_endpoint.get(endpoint_id)
        if prefixes is None or prefixes.incarnation < incarnation:
            self.remove(endpoint_id)
            prefixes = _EndpointPrefixes(incarnation)
            self._prefixes_by_endpoint[endpoint_id] = prefixes
        if prefixes.incarnation > incarnation:
            return
        for event in sorted(events, key=lambda event: event.sequence):
            self._apply_event(endpoint_id, prefixes, event)

    def matched_blocks(
        self, prefix_hashes: collections.abc.Sequence[str]
    ) -> dict[model.EndpointId, int]:
        """Return the number of leading blocks that each endpoint holds.

        A hash covers all blocks up to its own, so the last hash that an
        endpoint holds gives the number.
        """
        matched: dict[model.EndpointId, int] = {}
        for index in range(len(prefix_hashes) - 1, -1, -1):
            endpoint_ids = self._endpoints_by_hash.get(prefix_hashes[index])
            if not endpoint_ids:
                continue
            for endpoint_id in endpoint_ids:
                matched.setdefault(endpoint_id, index + 1)
        return matched

    def remove(self, endpoint_id: model.EndpointId) -> None:
        """Drop all hashes of one endpoint."""
        prefixes = self._prefixes_by_endpoint.pop(endpoint_id, None)
        if prefixes is not None:
            self._clear(endpoint_id, prefixes)

    def _apply_event(
        self,
        endpoint_id: model.EndpointId,
        prefixes: _EndpointPrefixes,
        event: model.CacheEvent,
    ) -> None:
        if event.sequence <= prefixes.last_sequence:
            return
        in_order = event.sequence == prefixes.last_sequence + 1
        prefixes.last_sequence = event.sequence
        if event.snapshot or not in_order:
            self._clear(endpoint_id, prefixes)
            prefixes.complete = event.snapshot
        if not prefixes.complete:
            return
        for prefix_hash in event.removed:
            self._remove(endpoint_id, prefixes, prefix_hash)
        for prefix_hash in event.added:
            self._add(endpoint_id, prefixes, prefix_hash)

    def _add(
        self,
        endpoint_id: model.EndpointId,
        prefixes: _EndpointPrefixes,
        prefix_hash: str,
    ) -> None:
        prefixes.hashes[prefix_hash] = None
        prefixes.hashes.move_to_end(prefix_hash)
        self._endpoints_by_hash.setdefault(prefix_hash, set()).add(endpoint_id)
        if len(prefixes.hashes) > self._limit:
            self._remove(endpoint_id, prefixes, next(iter(prefixes.hashes)))

    def _remove(
        self,
        endpoint_id: model.EndpointId,
        prefixes: _EndpointPrefixes,
        prefix_hash: str,
    ) -> None:
        if prefix_hash not in prefixes.hashes:
            return
        del prefixes.hashes[prefix_hash]
        endpoint_ids = self._endpoints_by_hash[prefix_hash]
        endpoint_ids.discard(endpoint_id)
        if not endpoint_ids:
            del self._endpoints_by_hash[prefix_hash]

    def _clear(
        self, endpoint_id: model.EndpointId, prefixes: _EndpointPrefixes
    ) -> None:
        for prefix_hash in list(prefixes.hashes):
            self._remove(endpoint_id, prefixes, prefix_hash)
