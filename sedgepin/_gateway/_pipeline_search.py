"""Searching the best pipeline, seen from one data centre."""

import collections.abc
import dataclasses

from sedgepin import _catalog as catalog
from sedgepin._gateway import _unreported_load
from sedgepin import _model as model
from sedgepin import _placement as placement

# By which share of its time a pipeline of another data centre must be
# faster; a choice between equals should not cross a link that may be cut.
_HOME_ADVANTAGE = 0.05
# Searches for one request beside unseen ones; each takes about 1 ms.
_UNSEEN_ROUNDS = 4

_Engines = collections.abc.Sequence[placement.CandidateEngine]


@dataclasses.dataclass(slots=True, frozen=True)
class PipelineSearch:
    """A search for a request of one size.

    >>> search = PipelineSearch(home, profile, RequestSize(800, 200))
    >>> search.best(engines).pipeline
    """

    home: model.DataCentreId
    profile: catalog.EngineProfile
    size: placement.RequestSize

    def best(
        self,
        engines: _Engines,
        first: model.Stage | None = None,
        kept: frozenset[model.EndpointId] = frozenset(),
    ) -> placement.PipelineCandidate | None:
        """Search within each data centre, and across if none suffices.

        A pipeline within one data centre sends no activations over the links
        between them.
        """
        groups: dict[model.DataCentreId, list[placement.CandidateEngine]] = {}
        for one in engines:
            groups.setdefault(one.data_centre, []).append(one)
        best: placement.PipelineCandidate | None = None
        for place, members in sorted(groups.items()):
            finder = placement.PipelineFinder(self.profile, members)
            found = finder.find(self.size, place, first, kept).ok()
            if found is None:
                continue
            if best is None or self._is_better(place, found, best):
                best = found
        if best is None:
            finder = placement.PipelineFinder(self.profile, engines)
            best = finder.find(self.size, self.home, first, kept).ok()
        return best

    def best_beside(
        self,
        engines: _Engines,
        unseen: _unreported_load.UnseenLoad,
        before: float,
    ) -> placement.PipelineCandidate | None:
        """Search as if some requests of other entries had been placed.

        They are taken to fill the best pipelines first, as this VM would.
        Where they fill all of them, any one may be the right one.
        """
        found = self.best(engines)
        passed: list[placement.PipelineCandidate] = []
        while (
            found is not None
            and before >= 1.0
            and found.cache_utilization <= 1.0
        ):
            passed.append(found)
            if len(passed) > _UNSEEN_ROUNDS:
                break
            count = min(before, max(1.0, found.spare_requests))
            before -= count
            taken = {one.endpoint_id for one in found.pipeline.stages}
            engines = [
                one.with_requests(count, self.size)
                if one.endpoint_id in taken
                else one
                for one in engines
            ]
            found = self.best(engines)
        if passed and (found is None or found.cache_utilization > 1.0):
            return unseen.choose(passed)
        return found

    def _is_better(
        self,
        place: model.DataCentreId,
        found: placement.PipelineCandidate,
        best: placement.PipelineCandidate,
    ) -> bool:
        if place == self.home:
            return found.cost <= best.cost * (1 + _HOME_ADVANTAGE)
        return found.cost < best.cost * (1 - _HOME_ADVANTAGE)
