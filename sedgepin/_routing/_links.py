"""One-way times of the links between engines, configured and measured."""

import collections
import dataclasses
import datetime

from sedgepin import _model as model
from sedgepin._routing import _settings

# Weight of a new sample in the moving average of a measured time.
_MEASUREMENT_WEIGHT = 0.2
# A smaller relative change of a measured time does not rebuild the graphs.
_REPUBLISH_CHANGE_RATIO = 0.25
_SECOND = datetime.timedelta(seconds=1)
# The search uses the measured time of a pair of engines only where it differs
# from the time between their data centres by more than this factor.
_OUTLIER_FACTOR = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class LinkCost:
    """The one-way time between two data centres, in both directions."""

    first_data_centre: model.DataCentreId
    second_data_centre: model.DataCentreId
    one_way: datetime.timedelta


@dataclasses.dataclass(slots=True, frozen=True)
class _PairMeasurement:
    """The averaged one-way time of a pair and when it was last measured.

    ``published_seconds`` is the averaged time when this pair last increased
    the version of the link table.
    """

    seconds: float
    published_seconds: float
    measured_at: datetime.datetime


def _has_drifted(seconds: float, published: float) -> bool:
    return abs(seconds - published) > _REPUBLISH_CHANGE_RATIO * published


class LinkTable:
    """One-way times of passing a token's activations over a link.

    A measured time takes precedence over a configured one, and that over the
    default.

    Measurements are kept by pair of engines, configured times by pair of
    data centres.  ``version`` increases whenever a time changes enough to
    matter, so that graphs built on an older version are rebuilt.
    """

    __slots__ = (
        "_configured_seconds",
        "_default_between_seconds",
        "_default_within_seconds",
        "_lifetime",
        "_pair_limit",
        "_pairs",
        "version",
    )

    def __init__(self, settings: _settings.RoutingSettings) -> None:
        self._default_within_seconds = (
            settings.link_within_data_centre / _SECOND
        )
        self._default_between_seconds = (
            settings.link_between_data_centres / _SECOND
        )
        self._lifetime = settings.measured_link_lifetime
        self._pair_limit = settings.measured_links_limit
        self._configured_seconds: dict[
            tuple[model.DataCentreId, model.DataCentreId], float
        ] = {}
        self._pairs: collections.OrderedDict[
            tuple[model.EndpointId, model.EndpointId], _PairMeasurement
        ] = collections.OrderedDict()
        self.version = 0

    def set_cost(self, cost: LinkCost) -> None:
        """Configure the time between two data centres, in both directions."""
        seconds = cost.one_way / _SECOND
        first, second = cost.first_data_centre, cost.second_data_centre
        self._configured_seconds[first, second] = seconds
        self._configured_seconds[second, first] = seconds
        self.version += 1

    def observe(
        self,
        source: model.EndpointId,
        target: model.EndpointId,
        one_way: datetime.timedelta,
        now: datetime.datetime,
    ) -> None:
        """Add one measurement to the moving average of a pair of engines.

        If the table is full, the least recently measured pair is dropped.
        """
        seconds = one_way / _SECOND
        published = None
        previous = self._pairs.pop((source, target), None)
        if previous is not None:
            seconds = previous.seconds + _MEASUREMENT_WEIGHT * (
                seconds - previous.seconds
            )
            published = previous.published_seconds
        if published is None or _has_drifted(seconds, published):
            published = seconds
            self.version += 1
        self._pairs[source, target] = _PairMeasurement(seconds, published, now)
        if len(self._pairs) > self._pair_limit:
            self._pairs.popitem(last=False)
            self.version += 1

    def expire(self, now: datetime.datetime) -> None:
        """Drop the pairs whose last measurement is past its lifetime."""
        while self._pairs:
            oldest = next(iter(self._pairs.values()))
            if now - oldest.measured_at <= self._lifetime:
                return
            self._pairs.popitem(last=False)
            self.version += 1

    def remove(self, endpoint_id: model.EndpointId) -> None:
        """Drop all measurements from and to one engine."""
        stale = [key for key in self._pairs if endpoint_id in key]
        for key in stale:
            del self._pairs[key]
        if stale:
            self.version += 1

    def data_centre_seconds(
        self, source: model.DataCentreId, target: model.DataCentreId
    ) -> float:
        """Return the one-way time between two data centres, in seconds."""
        default_seconds = (
            self._default_within_seconds
            if source == target
            else self._default_between_seconds
        )
        return self._configured_seconds.get((source, target), default_seconds)

    def one_way(
        self,
        source: model.EndpointId,
        source_data_centre: model.DataCentreId,
        target: model.EndpointId,
        target_data_centre: model.DataCentreId,
    ) -> float:
        """Return the one-way time between two engines, in seconds."""
        measured = self._pairs.get((source, target))
        if measured is not None:
            return measured.seconds
        return self.data_centre_seconds(source_data_centre, target_data_centre)

    def outlier_pairs(
        self, data_centres: dict[model.EndpointId, model.DataCentreId]
    ) -> dict[tuple[model.EndpointId, model.EndpointId], float]:
        """Return measured times far from the time between data centres.

        ``data_centres`` maps each engine to consider to its data centre.
        The times are in seconds, by source and target engine.
        """
        outliers = {}
        for (source, target), measured in self._pairs.items():
            seconds = measured.seconds
            if source not in data_centres or target not in data_centres:
                continue
            expected = self.data_centre_seconds(
                data_centres[source], data_centres[target]
            )
            if not (
                expected / _OUTLIER_FACTOR
                <= seconds
                <= expected * _OUTLIER_FACTOR
            ):
                outliers[source, target] = seconds
        return outliers
