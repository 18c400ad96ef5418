"""Which engines hold which prompt prefixes, as far as events tell."""

import collections
import collections.abc

from sedgepin import _model as model


class _EndpointPrefixes:
    """The prefixes of one endpoint, oldest first."""

    __slots__ = ("complete", "hashes", "incarnation", "last_sequence")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.last_sequence = -1
        self.complete = False
        self.hashes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )


class PrefixCacheView:
    """A view of the engines' prefix caches that forgets when in doubt.

    Events of one endpoint are numbered without gaps.  A gap empties that
    endpoint's view until its next snapshot, because a lost removal would
    otherwise promise a prefix that is gone.  Each endpoint's view is
    bounded; the oldest hashes go first.
    """

    __slots__ = ("_holders", "_limit", "_views")

    def __init__(self, hashes_per_endpoint: int) -> None:
        self._limit = hashes_per_endpoint
        self._views: dict[model.EndpointId, _EndpointPrefixes] = {}
        self._holders: dict[str, set[model.EndpointId]] = {}

    def apply(
        self,
        endpoint_id: model.EndpointId,
        incarnation: model.Incarnation,
        events: collections.abc.Iterable[model.CacheEvent],
    ) -> None:
        """Take in the events of one announcement, in any order."""
        view = self._views.get(endpoint_id)
        if view is None or view.incarnation < incarnation:
            self.forget(endpoint_id)
            view = _EndpointPrefixes(incarnation)
            self._views[endpoint_id] = view
        if view.incarnation > incarnation:
            return
        for event in sorted(events, key=lambda event: event.sequence):
            self._apply_event(endpoint_id, view, event)

    def matched_blocks(
        self, prefix_hashes: collections.abc.Sequence[str]
    ) -> dict[model.EndpointId, int]:
        """Return, by endpoint, how many leading blocks it holds."""
        matched: dict[model.EndpointId, int] = {}
        for index in range(len(prefix_hashes) - 1, -1, -1):
            holders = self._holders.get(prefix_hashes[index])
            if not holders:
                continue
            for endpoint_id in holders:
                matched.setdefault(endpoint_id, index + 1)
        return matched

    def forget(self, endpoint_id: model.EndpointId) -> None:
        """Drop what is known of one endpoint."""
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
        self._holders.setdefault(prefix_hash, set()).add(endpoint_id)
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
        holders = self._holders[prefix_hash]
        holders.discard(endpoint_id)
        if not holders:
            del self._holders[prefix_hash]

    def _clear(
        self, endpoint_id: model.EndpointId, view: _EndpointPrefixes
    ) -> None:
        for prefix_hash in list(view.hashes):
            self._remove(endpoint_id, view, prefix_hash)
