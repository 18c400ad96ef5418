"""Which layers each engine is to hold.

Every data centre that can holds the whole model once, on its fastest
engines, so that a request need not leave it.  Engines that are left over
hold further copies of some layers, and take over what a lost engine held.
"""

import collections.abc
import dataclasses

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin._placement import _engines

# Requests of usual length that each layer should have room for at once.
# Twice the 30 that a data centre of the first deployments has open on a calm
# day, so that it can carry those of another one as well.
_ROOM_REQUESTS = 60
# Where an engine is lost, a neighbour that takes over some of its layers may
# be left with this share of the usual room.
_TIGHT_SHARE = 0.4
# The room is halved at most this often where the memory does not suffice.
_HALVINGS = 5

Plan = dict[model.EndpointId, model.LayerRange]


def plan(
    engines: collections.abc.Iterable[_engines.Engine],
    profile: catalog.EngineProfile,
) -> Plan:
    """Return the layers of every engine that should hold some.

    Engines that hold layers keep them unless others need them more, so that
    a plan for what a plan led to changes nothing.
    """
    made: Plan = {}
    for group in _groups(list(engines), profile):
        made.update(_Group(group, profile).plan())
    return made


def _groups(
    engines: list[_engines.Engine], profile: catalog.EngineProfile
) -> list[list[_engines.Engine]]:
    """Part the engines into groups that can each hold the whole model."""
    by_data_centre: dict[model.DataCentreId, list[_engines.Engine]] = {}
    for engine in sorted(engines, key=lambda one: one.endpoint_id):
        by_data_centre.setdefault(engine.data_centre, []).append(engine)
    whole: list[list[_engines.Engine]] = []
    rest: list[_engines.Engine] = []
    for _name, members in sorted(by_data_centre.items()):
        if _room(members, profile) is not None:
            whole.append(members)
        else:
            rest += members
    if rest and (not whole or _room(rest, profile) is not None):
        whole.append(rest)
    elif rest:
        whole[0].extend(rest)
    return whole


def _room(
    engines: collections.abc.Sequence[_engines.Engine],
    profile: catalog.EngineProfile,
) -> float | None:
    """Return the cache that all layers can have, in tokens, if they fit."""
    usual = profile.usual_prompt_tokens + profile.usual_answer_tokens
    tokens = _ROOM_REQUESTS * usual
    for _attempt in range(_HALVINGS):
        limits = (
            _engines.max_layer_count(profile, one.accelerator, tokens)
            for one in engines
        )
        if sum(limits) >= profile.layer_count:
            return tokens
        tokens /= 2
    return None


@dataclasses.dataclass(slots=True)
class _Group:
    """Engines that hold the model together."""

    engines: list[_engines.Engine]
    profile: catalog.EngineProfile

    def plan(self) -> Plan:
        """Return the layers of each engine of the group."""
        room = _room(self.engines, self.profile)
        if room is None:
            return self._kept()
        made = self._kept()
        if not made:
            made = self._first(room)
        made = self._fill_gaps(made, room)
        return self._back_up(made, room)

    def _kept(self) -> Plan:
        return {
            one.endpoint_id: one.layers
            for one in self.engines
            if one.layers is not None and one.layers.count > 0
        }

    def _first(self, room: float) -> Plan:
        """Spread the layers over the fastest engines."""
        made: Plan = {}
        next_layer = 0
        for engine in sorted(self.engines, key=_speed_order):
            left = self.profile.layer_count - next_layer
            if left <= 0:
                break
            count = min(left, self._limit(engine, room))
            if count > 0:
                end = next_layer + count
                made[engine.endpoint_id] = model.LayerRange(next_layer, end)
                next_layer = end
        return made

    def _fill_gaps(self, made: Plan, room: float) -> Plan:
        """Give layers that nobody holds to engines that can be spared.

        Engines that hold nothing come first, then neighbours that can hold
        a few layers more, then engines whose layers others hold as well.
        Only if all that does not suffice is everything spread anew, which
        interrupts every request of the group.
        """
        filled = dict(made)
        while True:
            gap = _first_gap(self._copies(filled), 0)
            if gap is None:
                return filled
            spare = self._spare(filled, gap, has_layers=False)
            if spare is None:
                extended = self._extend(filled, gap, room * _TIGHT_SHARE)
                if extended is not None:
                    filled = extended
                    continue
                spare = self._spare(filled, gap, has_layers=True)
            if spare is None:
                return self._first(room)
            count = min(gap.count, self._limit(spare, room))
            end = gap.first + max(1, count)
            filled[spare.endpoint_id] = model.LayerRange(gap.first, end)

    def _extend(
        self, made: Plan, gap: model.LayerRange, least_room: float
    ) -> Plan | None:
        """Let the neighbours of a gap close it, layer by layer."""
        extended = dict(made)
        first, end = gap.first, gap.end
        while first < end:
            wider = [
                (one, model.LayerRange(held.first, held.end + 1))
                for one in self.engines
                if (held := extended.get(one.endpoint_id)) is not None
                and held.end == first
            ]
            wider += [
                (one, model.LayerRange(held.first - 1, held.end))
                for one in self.engines
                if (held := extended.get(one.endpoint_id)) is not None
                and held.first == end
            ]
            if not wider:
                return None
            engine, layers = max(
                wider, key=lambda pair: self._room_of(pair[0], pair[1].count)
            )
            if self._room_of(engine, layers.count) < least_room:
                return None
            extended[engine.endpoint_id] = layers
            if layers.end > first and layers.first < first:
                first += 1
            else:
                end -= 1
        return extended

    def _room_of(self, engine: _engines.Engine, layer_count: int) -> float:
        return _engines.cache_capacity_tokens(
            self.profile, engine.accelerator, layer_count
        )

    def _back_up(self, made: Plan, room: float) -> Plan:
        """Let engines that hold nothing copy the layers held least often.

        Copies beyond the second are for load: caches and time are shared
        among all that hold a layer.
        """
        filled = dict(made)
        for engine in sorted(self.engines, key=_speed_order):
            if engine.endpoint_id in filled:
                continue
            copies = self._copies(filled)
            gap = _first_gap(copies, min(copies))
            count = self._limit(engine, room)
            if gap is None or count <= 0:
                continue
            first = min(gap.first, self.profile.layer_count - count)
            chosen = model.LayerRange(first, first + count)
            filled[engine.endpoint_id] = chosen
        return filled

    def _spare(
        self, made: Plan, gap: model.LayerRange, has_layers: bool
    ) -> _engines.Engine | None:
        """Return the engine that can best be given layers of a gap.

        With ``has_layers`` it is one whose layers others hold as well, and
        of these the one that is missed least.
        """
        fit = [one for one in self.engines if self._limit(one, 0.0) > 0]
        if not has_layers:
            free = [one for one in fit if one.endpoint_id not in made]
            return max(
                free,
                key=lambda one: (self._limit(one, 0.0), one.endpoint_id),
                default=None,
            )
        losses = {one.endpoint_id: self._loss(made, one) for one in fit}
        free = [one for one in fit if losses[one.endpoint_id] is not None]
        return min(
            free,
            key=lambda one: (
                losses[one.endpoint_id],
                one.accelerator.step_factor,
                one.accelerator.memory_megabytes,
                one.endpoint_id,
            ),
            default=None,
        )

    def _loss(self, made: Plan, engine: _engines.Engine) -> float | None:
        """Return how much slower its layers run on those who copy them.

        Nothing if one of its layers has no other holder.
        """
        held = made.get(engine.endpoint_id)
        if held is None:
            return None
        loss = 0.0
        for layer in range(held.first, held.end):
            factors = [
                one.accelerator.step_factor
                for one in self.engines
                if one is not engine
                and (other := made.get(one.endpoint_id)) is not None
                and other.first <= layer < other.end
            ]
            if not factors:
                return None
            slower = min(factors) - engine.accelerator.step_factor
            loss += max(0.0, slower)
        return loss

    def _copies(self, made: Plan) -> list[int]:
        """Return how many engines hold each layer."""
        copies = [0] * self.profile.layer_count
        for held in made.values():
            for layer in range(held.first, min(held.end, len(copies))):
                copies[layer] += 1
        return copies

    def _limit(self, engine: _engines.Engine, room: float) -> int:
        return _engines.max_layer_count(self.profile, engine.accelerator, room)


def _speed_order(engine: _engines.Engine) -> tuple[float, str]:
    return (engine.accelerator.step_factor, engine.endpoint_id)


def _first_gap(
    copies: collections.abc.Sequence[int], at_most: int
) -> model.LayerRange | None:
    """Return the first run of layers that so many engines hold at most."""
    first: int | None = None
    for layer, count in enumerate(copies):
        if count <= at_most:
            first = layer if first is None else first
        elif first is not None:
            return model.LayerRange(first, layer)
    if first is None:
        return None
    return model.LayerRange(first, len(copies))
