"""Search for the best pipeline from the view of one data centre."""

import collections.abc
import dataclasses

from sedgepin import _catalog as catalog
from sedgepin._gateway import _unreported_load
from sedgepin import _model as model
from sedgepin import _placement as placement

# A pipeline in another data centre must be faster by this share, so that equal
# ones do not depend on a link that may be cut.
_LOCAL_PREFERENCE = 0.05
# Limits the searches per request, each of which takes about 1 ms.
_MAX_UNREPORTED_SEARCHES = 4

_Engines = collections.abc.Sequence[placement.CandidateEngine]


@dataclasses.dataclass(slots=True, frozen=True)
class PipelineSearch:
    """A search for one request, from the data centre of its entry VM.

    >>> search = PipelineSearch(data_centre, profile, RequestSize(800, 200))
    >>> search.best(engines).pipeline
    """

    data_centre: model.DataCentreId
    profile: catalog.EngineProfile
    size: placement.RequestSize

    def best(
        self,
        engines: _Engines,
        first: model.Stage | None = None,
        prefilled: frozenset[model.EndpointId] = frozenset(),
    ) -> placement.PipelineCandidate | None:
        """Return the best pipeline within one data centre, if there is one.

        Such a pipeline sends no activations over the links between data
        centres.  If no data centre has all layers, and room on each of them,
        search across them.
        """
        groups: dict[model.DataCentreId, list[placement.CandidateEngine]] = {}
        for engine in engines:
            groups.setdefault(engine.data_centre, []).append(engine)
        best: placement.PipelineCandidate | None = None
        for data_centre, members in sorted(groups.items()):
            finder = placement.PipelineFinder(self.profile, members)
            candidate = finder.find(
                self.size, data_centre, first, prefilled
            ).ok()
            if candidate is None:
                continue
            if best is None or self._is_better(data_centre, candidate, best):
                best = candidate
        if best is not None and best.cache_utilization <= 1.0:
            return best
        finder = placement.PipelineFinder(self.profile, engines)
        across = finder.find(
            self.size, self.data_centre, first, prefilled
        ).ok()
        if best is None or across is None or across.cache_utilization <= 1.0:
            return across or best
        return best

    def best_after_unreported(
        self,
        engines: _Engines,
        unreported_load: _unreported_load.UnreportedLoad,
        request_count: float,
    ) -> placement.PipelineCandidate | None:
        """Return the best pipeline after placing some unreported requests.

        They are placed on the best pipelines first, as the other entry VMs
        would do.  If they fill all pipelines, return a random one, since the
        estimate does not tell which of them has capacity left.
        """
        candidate = self.best(engines)
        filled: list[placement.PipelineCandidate] = []
        while (
            candidate is not None
            and request_count >= 1.0
            and candidate.cache_utilization <= 1.0
        ):
            filled.append(candidate)
            if len(filled) > _MAX_UNREPORTED_SEARCHES:
                candidate = None
                break
            count = min(request_count, max(1.0, self._room(candidate)))
            request_count -= count
            endpoint_ids = {
                stage.endpoint_id for stage in candidate.pipeline.stages
            }
            engines = [
                engine.with_requests(count, self.size)
                if engine.endpoint_id in endpoint_ids
                else engine
                for engine in engines
            ]
            candidate = self.best(engines)
        if filled and (candidate is None or candidate.cache_utilization > 1.0):
            weights = [1.0 + self._room(candidate) for candidate in filled]
            return unreported_load.choose(filled, weights)
        return candidate

    def _room(self, candidate: placement.PipelineCandidate) -> float:
        """Return how many more requests a pipeline can run.

        Its first engine runs no more than its slots, whatever fits into the
        caches.
        """
        return min(candidate.spare_requests, self.profile.slots)

    def _is_better(
        self,
        data_centre: model.DataCentreId,
        candidate: placement.PipelineCandidate,
        best: placement.PipelineCandidate,
    ) -> bool:
        if data_centre == self.data_centre:
            return candidate.cost <= best.cost * (1 + _LOCAL_PREFERENCE)
        return candidate.cost < best.cost * (1 - _LOCAL_PREFERENCE)
