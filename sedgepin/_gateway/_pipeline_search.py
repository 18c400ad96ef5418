"""Searching the best pipeline, seen from one data centre."""

import collections.abc
import dataclasses

from sedgepin import _catalog as catalog
from sedgepin._gateway import _unreported_load
from sedgepin import _model as model
from sedgepin import _placement as placement

# By which share of its time a pipeline of another data centre must be
# faster; a choice between equals should not cross a link that may be cut.
_LOCAL_ADVANTAGE = 0.05
# Searches for one request beside unseen ones; each takes about 1 ms.
_MAX_UNREPORTED_ROUNDS = 4

_Engines = collections.abc.Sequence[placement.PathEngine]


@dataclasses.dataclass(slots=True, frozen=True)
class PipelineSearch:
    """A search for a request of one size.

    >>> search = PipelineSearch(data_centre, profile, Size(800, 200))
    >>> search.best(engines).pipeline
    """

    data_centre: model.DataCentreId
    profile: catalog.EngineProfile
    size: placement.Size

    def best(
        self,
        engines: _Engines,
        first: model.Stage | None = None,
        kept: frozenset[model.EndpointId] = frozenset(),
    ) -> placement.Found | None:
        """Search within each data centre, and across if none suffices.

        A pipeline within one data centre sends no activations over the links
        between them.
        """
        groups: dict[model.DataCentreId, list[placement.PathEngine]] = {}
        for one in engines:
            groups.setdefault(one.data_centre, []).append(one)
        best: placement.Found | None = None
        for place, members in sorted(groups.items()):
            finder = placement.PathFinder(self.profile, members)
            found = finder.find(self.size, place, first, kept).ok()
            if found is None:
                continue
            if best is None or self._is_better(place, found, best):
                best = found
        if best is None:
            finder = placement.PathFinder(self.profile, engines)
            best = finder.find(self.size, self.data_centre, first, kept).ok()
        return best

    def best_after_unreported(
        self,
        engines: _Engines,
        unreported_load: _unreported_load.UnreportedLoad,
        before: float,
    ) -> placement.Found | None:
        """Search as if some requests of other entries had been placed.

        They are taken to fill the best pipelines first, as this VM would.
        Where they fill all of them, any one may be the right one.
        """
        found = self.best(engines)
        passed: list[placement.Found] = []
        while found is not None and before >= 1.0 and found.fullness <= 1.0:
            passed.append(found)
            if len(passed) > _MAX_UNREPORTED_ROUNDS:
                break
            count = min(before, max(1.0, found.spare_requests))
            before -= count
            taken = {one.endpoint_id for one in found.pipeline.stages}
            engines = [
                one.with_more(count, self.size)
                if one.endpoint_id in taken
                else one
                for one in engines
            ]
            found = self.best(engines)
        if passed and (found is None or found.fullness > 1.0):
            return unreported_load.choose(passed)
        return found

    def _is_better(
        self,
        place: model.DataCentreId,
        found: placement.Found,
        best: placement.Found,
    ) -> bool:
        if place == self.data_centre:
            return found.cost <= best.cost * (1 + _LOCAL_ADVANTAGE)
        return found.cost < best.cost * (1 - _LOCAL_ADVANTAGE)
