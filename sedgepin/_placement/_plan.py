"""Assignment of model layers to engines.

Each data centre with enough memory holds the whole model on its fastest
engines, so that no request has to leave the data centre.  The remaining
engines hold further copies of some layers, and take over the layers of
engines that fail.
"""

import collections.abc
import dataclasses

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin._placement import _engines

# Concurrent requests of usual length that fit in the cache of each layer.
# Twice the 30 of a data centre in the first deployments at normal load, so
# that a data centre can take over the requests of another one.
_CACHED_REQUESTS = 60
# A neighbour that takes over layers of a lost engine keeps at least this
# share of the usual cache capacity.
_MIN_CAPACITY_SHARE = 0.4
# Cache capacities that are tried, each half of the one before, until the
# whole model fits in memory.
_CAPACITY_ATTEMPTS = 5

# The layers that each engine should hold.
Plan = dict[model.EndpointId, model.LayerRange]


def plan(
    engines: collections.abc.Iterable[_engines.Engine],
    profile: catalog.EngineProfile,
) -> Plan:
    """Return the layers of each engine; unused engines are left out.

    Engines keep the layers that they hold unless a gap must be filled.
    Planning is idempotent: once a plan is carried out, the next plan for the
    same engines is equal to it.
    """
    layers: Plan = {}
    for members in _group_engines(list(engines), profile):
        layers.update(_Group(members, profile).plan())
    return layers


def _group_engines(
    engines: list[_engines.Engine], profile: catalog.EngineProfile
) -> list[list[_engines.Engine]]:
    """Split the engines into groups that can each hold the whole model.

    A data centre with enough memory is a group of its own.  The engines of
    all others form one group together, or join the first group if their
    joint memory is too small as well.
    """
    by_data_centre: dict[model.DataCentreId, list[_engines.Engine]] = {}
    for engine in sorted(engines, key=lambda engine: engine.endpoint_id):
        by_data_centre.setdefault(engine.data_centre, []).append(engine)
    groups: list[list[_engines.Engine]] = []
    rest: list[_engines.Engine] = []
    for _name, members in sorted(by_data_centre.items()):
        if _capacity_tokens(members, profile) is not None:
            groups.append(members)
        else:
            rest += members
    if rest and (not groups or _capacity_tokens(rest, profile) is not None):
        groups.append(rest)
    elif rest:
        groups[0].extend(rest)
    return groups


def _capacity_tokens(
    engines: collections.abc.Sequence[_engines.Engine],
    profile: catalog.EngineProfile,
) -> float | None:
    """Return the cache capacity for each layer at which all layers fit.

    The unit is tokens; ``None`` if the memory is too small for the model.
    """
    tokens_per_request = (
        profile.usual_prompt_tokens + profile.usual_answer_tokens
    )
    tokens = _CACHED_REQUESTS * tokens_per_request
    for _attempt in range(_CAPACITY_ATTEMPTS):
        counts = (
            _engines.max_layer_count(profile, engine.accelerator, tokens)
            for engine in engines
        )
        if sum(counts) >= profile.layer_count:
            return tokens
        tokens /= 2
    return None


@dataclasses.dataclass(slots=True)
class _Group:
    """Engines that together hold the model at least once."""

    engines: list[_engines.Engine]
    profile: catalog.EngineProfile

    def plan(self) -> Plan:
        """Return the layers of each engine in the group.

        If the memory is too small for the model, engines keep what they hold.
        """
        capacity = _capacity_tokens(self.engines, self.profile)
        if capacity is None:
            return self._current()
        assigned = self._current()
        if not assigned:
            assigned = self._assign_anew(capacity)
        assigned = self._fill_gaps(assigned, capacity)
        return self._add_copies(assigned, capacity)

    def _current(self) -> Plan:
        return {
            engine.endpoint_id: engine.layers
            for engine in self.engines
            if engine.layers is not None and engine.layers.count > 0
        }

    def _assign_anew(self, capacity: float) -> Plan:
        """Assign all layers anew, to the fastest engines first."""
        assigned: Plan = {}
        next_layer = 0
        for engine in sorted(self.engines, key=_speed_order):
            remaining = self.profile.layer_count - next_layer
            if remaining <= 0:
                break
            count = min(remaining, self._max_layer_count(engine, capacity))
            if count > 0:
                end = next_layer + count
                assigned[engine.endpoint_id] = model.LayerRange(
                    next_layer, end
                )
                next_layer = end
        return assigned

    def _fill_gaps(self, assigned: Plan, capacity: float) -> Plan:
        """Assign the layers that no engine holds.

        Engines without layers are used first, then engines next to the gap
        that have memory for more layers, then engines whose layers all have
        another copy.  Only if none of these suffices, all layers are assigned
        anew, which interrupts every request of the group.
        """
        filled = dict(assigned)
        while True:
            gap = _first_gap(self._copy_counts(filled), 0)
            if gap is None:
                return filled
            engine = self._engine_for_gap(filled, gap, has_layers=False)
            if engine is None:
                extended = self._extend_neighbours(
                    filled, gap, capacity * _MIN_CAPACITY_SHARE
                )
                if extended is not None:
                    filled = extended
                    continue
                engine = self._engine_for_gap(filled, gap, has_layers=True)
            if engine is None:
                return self._assign_anew(capacity)
            count = min(gap.count, self._max_layer_count(engine, capacity))
            end = gap.first + max(1, count)
            filled[engine.endpoint_id] = model.LayerRange(gap.first, end)

    def _extend_neighbours(
        self, assigned: Plan, gap: model.LayerRange, min_capacity: float
    ) -> Plan | None:
        """Extend the engines next to a gap into it, one layer at a time.

        Each step extends the engine with the largest cache left.  Return
        ``None`` if the cache would become smaller than ``min_capacity``.
        """
        extended = dict(assigned)
        first, end = gap.first, gap.end
        while first < end:
            candidates = [
                (neighbour, model.LayerRange(held.first, held.end + 1))
                for neighbour in self.engines
                if (held := extended.get(neighbour.endpoint_id)) is not None
                and held.end == first
            ]
            candidates += [
                (neighbour, model.LayerRange(held.first - 1, held.end))
                for neighbour in self.engines
                if (held := extended.get(neighbour.endpoint_id)) is not None
                and held.first == end
            ]
            if not candidates:
                return None
            engine, layers = max(
                candidates,
                key=lambda pair: self._cache_capacity(pair[0], pair[1].count),
            )
            if self._cache_capacity(engine, layers.count) < min_capacity:
                return None
            extended[engine.endpoint_id] = layers
            if layers.end > first and layers.first < first:
                first += 1
            else:
                end -= 1
        return extended

    def _cache_capacity(
        self, engine: _engines.Engine, layer_count: int
    ) -> float:
        return _engines.cache_capacity_tokens(
            self.profile, engine.accelerator, layer_count
        )

    def _add_copies(self, assigned: Plan, capacity: float) -> Plan:
        """Assign the layers with the fewest copies to engines without layers.

        A second copy is for redundancy.  Further copies are for load: the
        requests, and so cache use and compute time, are shared among all
        engines that hold a layer.
        """
        filled = dict(assigned)
        for engine in sorted(self.engines, key=_speed_order):
            if engine.endpoint_id in filled:
                continue
            copy_counts = self._copy_counts(filled)
            gap = _first_gap(copy_counts, min(copy_counts))
            count = self._max_layer_count(engine, capacity)
            if gap is None or count <= 0:
                continue
            first = min(gap.first, self.profile.layer_count - count)
            copied = model.LayerRange(first, first + count)
            filled[engine.endpoint_id] = copied
        return filled

    def _engine_for_gap(
        self, assigned: Plan, gap: model.LayerRange, has_layers: bool
    ) -> _engines.Engine | None:
        """Return the best engine to be assigned layers of a gap, if any.

        Without ``has_layers`` only engines that hold no layers are
        considered, and the one with the most memory is chosen.  With
        ``has_layers`` only engines whose layers all have another copy are
        considered, and the one whose reassignment costs the least speed is
        chosen.
        """
        usable = [
            engine
            for engine in self.engines
            if self._max_layer_count(engine, 0.0) > 0
        ]
        if not has_layers:
            candidates = [
                engine
                for engine in usable
                if engine.endpoint_id not in assigned
            ]
            return max(
                candidates,
                key=lambda engine: (
                    self._max_layer_count(engine, 0.0),
                    engine.endpoint_id,
                ),
                default=None,
            )
        costs = {
            engine.endpoint_id: self._reassignment_cost(assigned, engine)
            for engine in usable
        }
        candidates = [
            engine
            for engine in usable
            if costs[engine.endpoint_id] is not None
        ]
        return min(
            candidates,
            key=lambda engine: (
                costs[engine.endpoint_id],
                engine.accelerator.step_factor,
                engine.accelerator.memory_megabytes,
                engine.endpoint_id,
            ),
            default=None,
        )

    def _reassignment_cost(
        self, assigned: Plan, engine: _engines.Engine
    ) -> float | None:
        """Return the slowdown if the other copies of its layers must be used.

        It is the sum over its layers of the increase in ``step_factor`` on
        the fastest other copy.  ``None`` if a layer has no other copy.
        """
        held = assigned.get(engine.endpoint_id)
        if held is None:
            return None
        cost = 0.0
        for layer in range(held.first, held.end):
            factors = [
                holder.accelerator.step_factor
                for holder in self.engines
                if holder is not engine
                and (copied := assigned.get(holder.endpoint_id)) is not None
                and copied.first <= layer < copied.end
            ]
            if not factors:
                return None
            increase = min(factors) - engine.accelerator.step_factor
            cost += max(0.0, increase)
        return cost

    def _copy_counts(self, assigned: Plan) -> list[int]:
        """Return the number of engines that hold each layer."""
        copy_counts = [0] * self.profile.layer_count
        for held in assigned.values():
            for layer in range(held.first, min(held.end, len(copy_counts))):
                copy_counts[layer] += 1
        return copy_counts

    def _max_layer_count(
        self, engine: _engines.Engine, capacity: float
    ) -> int:
        return _engines.max_layer_count(
            self.profile, engine.accelerator, capacity
        )


def _speed_order(engine: _engines.Engine) -> tuple[float, str]:
    return (engine.accelerator.step_factor, engine.endpoint_id)


def _first_gap(
    copy_counts: collections.abc.Sequence[int], max_copies: int
) -> model.LayerRange | None:
    """Return the first run of layers that have at most ``max_copies``."""
    first: int | None = None
    for layer, count in enumerate(copy_counts):
        if count <= max_copies:
            first = layer if first is None else first
        elif first is not None:
            return model.LayerRange(first, layer)
    if first is None:
        return None
    return model.LayerRange(first, len(copy_counts))
