"""What it costs to pass one token's activations between engines."""

import collections
import dataclasses
import datetime

from sedgepin import _model as model
from sedgepin._routing import _settings

_SMOOTHING = 0.2
# A smaller relative change of a measured pair does not rebuild the graphs.
_PUBLISHED_CHANGE = 0.25
_SECOND = datetime.timedelta(seconds=1)
# A measured pair keeps its own cost only where its data centres' cost would
# mislead the search by more than this factor, either way.
_NOTABLE_FACTOR = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class LinkCost:
    """The one-way time between two data centres, in both directions."""

    first_data_centre: model.DataCentreId
    second_data_centre: model.DataCentreId
    one_way: datetime.timedelta


@dataclasses.dataclass(slots=True, frozen=True)
class _Measured:
    """The smoothed time of one pair of engines, and when it was taken.

    ``published_seconds`` is the time that the current version stands for.
    """

    seconds: float
    published_seconds: float
    at: datetime.datetime


def _differs(seconds: float, published: float) -> bool:
    return abs(seconds - published) > _PUBLISHED_CHANGE * published


class LinkTable:
    """One-way link times in seconds: configured, then measured.

    Times between data centres decide the common case.  A measured pair of
    engines that is far off its data centres' time is kept by itself.
    """

    __slots__ = (
        "_between",
        "_between_seconds",
        "_lifetime",
        "_pair_limit",
        "_pairs",
        "_within_seconds",
        "version",
    )

    def __init__(self, settings: _settings.RoutingSettings) -> None:
        self._within_seconds = settings.link_within_data_centre / _SECOND
        self._between_seconds = settings.link_between_data_centres / _SECOND
        self._lifetime = settings.measured_link_lifetime
        self._pair_limit = settings.measured_links_limit
        self._between: dict[
            tuple[model.DataCentreId, model.DataCentreId], float
        ] = {}
        self._pairs: collections.OrderedDict[
            tuple[model.EndpointId, model.EndpointId], _Measured
        ] = collections.OrderedDict()
        self.version = 0

    def set_cost(self, cost: LinkCost) -> None:
        """Fix the time between two data centres."""
        seconds = cost.one_way / _SECOND
        one, other = cost.first_data_centre, cost.second_data_centre
        self._between[one, other] = seconds
        self._between[other, one] = seconds
        self.version += 1

    def observe(
        self,
        source: model.EndpointId,
        target: model.EndpointId,
        one_way: datetime.timedelta,
        now: datetime.datetime,
    ) -> None:
        """Smooth one measurement into the pair's time."""
        seconds = one_way / _SECOND
        published = None
        known = self._pairs.pop((source, target), None)
        if known is not None:
            seconds = known.seconds + _SMOOTHING * (seconds - known.seconds)
            published = known.published_seconds
        if published is None or _differs(seconds, published):
            published = seconds
            self.version += 1
        self._pairs[source, target] = _Measured(seconds, published, now)
        if len(self._pairs) > self._pair_limit:
            self._pairs.popitem(last=False)
            self.version += 1

    def expire(self, now: datetime.datetime) -> None:
        """Drop measurements past their lifetime."""
        while self._pairs:
            oldest = next(iter(self._pairs.values()))
            if now - oldest.at <= self._lifetime:
                return
            self._pairs.popitem(last=False)
            self.version += 1

    def forget(self, endpoint_id: model.EndpointId) -> None:
        """Drop the measurements of one engine."""
        stale = [key for key in self._pairs if endpoint_id in key]
        for key in stale:
            del self._pairs[key]
        if stale:
            self.version += 1

    def between(
        self, source: model.DataCentreId, target: model.DataCentreId
    ) -> float:
        """Return the one-way seconds between two data centres."""
        usual = (
            self._within_seconds if source == target else self._between_seconds
        )
        return self._between.get((source, target), usual)

    def one_way(
        self,
        source: model.EndpointId,
        source_data_centre: model.DataCentreId,
        target: model.EndpointId,
        target_data_centre: model.DataCentreId,
    ) -> float:
        """Return the one-way seconds between two engines."""
        measured = self._pairs.get((source, target))
        if measured is not None:
            return measured.seconds
        return self.between(source_data_centre, target_data_centre)

    def notable_pairs(
        self, places: dict[model.EndpointId, model.DataCentreId]
    ) -> dict[tuple[model.EndpointId, model.EndpointId], float]:
        """Return the pairs that are far off their data centres' time."""
        notable = {}
        for (source, target), measured in self._pairs.items():
            seconds = measured.seconds
            if source not in places or target not in places:
                continue
            usual = self.between(places[source], places[target])
            if not (
                usual / _NOTABLE_FACTOR <= seconds <= usual * _NOTABLE_FACTOR
            ):
                notable[source, target] = seconds
        return notable
