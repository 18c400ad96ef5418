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

    __slots__ = ("_endpoints_by_hash", "_limit", "_views")

    def __init__(self, hashes_per_endpoint: int) -> None:
        self._limit = hashes_per_endpoint
        self._views: dict[model.EndpointId, _EndpointPrefixes] = {}
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
        view = self._views.get(endpoint_id)
        if view is None or view.incarnation < incarnation:
            self.remove(endpoint_id)
            view = _EndpointPrefixes(incarnation)
            self._views[endpoint_id] = view
        if view.incarnation > incarnation:
            return
        for event in sorted(events, key=lambda event: event.sequence):
            self._apply_event(endpoint_id, view, event)

    def matched_blocks(
        self, prefix_hashes: collections.abc.Sequence[str]
    ) -> dict[model.EndpointId, int]:
        """Return the number of leading blocks that each endpoint holds."""
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
        view = self._views.pop(endpoint_id, None)
        if view is not None:
            self._clear(endpoint_id, view)

    def _apply_event(
        self,
        endpoint_id: model.EndpointId,
        view: _EndpointPrefixes,
        event: model.CacheEvent,
    ) -> None:
        if event.sequence <= view.last_sequence:
            return
        in_order = event.sequence == view.last_sequence + 1
        view.last_sequence = event.sequence
        if event.snapshot or not in_order:
            self._clear(endpoint_id, view)
            view.complete = event.snapshot
        if not view.complete:
            return
        for prefix_hash in event.removed:
            self._remove(endpoint_id, view, prefix_hash)
        for prefix_hash in event.added:
            self._add(endpoint_id, view, prefix_hash)

    def _add(
        self,
        endpoint_id: model.EndpointId,
        view: _EndpointPrefixes,
        prefix_hash: str,
    ) -> None:
        view.hashes[prefix_hash] = None
        view.hashes.move_to_end(prefix_hash)
        self._endpoints_by_hash.setdefault(prefix_hash, set()).add(endpoint_id)
        if len(view.hashes) > self._limit:
            self._remove(endpoint_id, view, next(iter(view.hashes)))

    def _remove(
        self,
        endpoint_id: model.EndpointId,
        view: _EndpointPrefixes,
        prefix_hash: str,
    ) -> None:
        if prefix_hash not in view.hashes:
            return
        del view.hashes[prefix_hash]
        endpoint_ids = self._endpoints_by_hash[prefix_hash]
        endpoint_ids.discard(endpoint_id)
        if not endpoint_ids:
            del self._endpoints_by_hash[prefix_hash]

    def _clear(
        self, endpoint_id: model.EndpointId, view: _EndpointPrefixes
    ) -> None:
        for prefix_hash in list(view.hashes):
            self._remove(endpoint_id, view, prefix_hash)
