"""Caches engines and layer graphs between routing decisions."""

import collections.abc
import dataclasses
import datetime

from sedgepin import _model as model
from sedgepin._routing import _graph
from sedgepin._routing import _links
from sedgepin._routing import _load
from sedgepin._routing import _load_statistics
from sedgepin._routing import _request
from sedgepin._routing import _search
from sedgepin._routing import _settings

# A graph beyond this number empties the cache first.
_MAX_GRAPHS = 64


@dataclasses.dataclass(slots=True, frozen=True)
class _EngineRequirements:
    """What an engine must offer to be part of a graph.

    An empty version matches any version; an empty adapter requires none.
    """

    model_name: model.ModelName
    version: str
    adapter: str
    layer_count: int

    def are_met_by(self, announcement: model.Announcement) -> bool:
        """Return whether an announced engine meets the requirements."""
        if announcement.model != self.model_name or announcement.leaving:
            return False
        if self.version and announcement.model_version != self.version:
            return False
        return not self.adapter or self.adapter in announcement.adapters


class CachedGraph:
    """A graph, its load statistics and the inputs it was built from."""

    __slots__ = ("engines", "graph", "links_version", "load_statistics")

    def __init__(
        self,
        graph: _graph.LayerGraph,
        engines: list[_graph.Engine],
        links_version: int,
    ) -> None:
        self.graph = graph
        self.engines = engines
        self.links_version = links_version
        self.load_statistics = _load_statistics.LoadStatistics()


class GraphCache:
    """Builds layer graphs and rebuilds them when engines or links change.

    An announcement that differs only in load or sequence keeps the
    ``Engine`` object, so that the announcements, which arrive twice a
    second, don't cause a rebuild.
    """

    __slots__ = ("_engines", "_graphs", "_links", "_loads", "_settings")

    def __init__(
        self,
        settings: _settings.RoutingSettings,
        links: _links.LinkTable,
        loads: _load.LoadEstimator,
    ) -> None:
        self._settings = settings
        self._links = links
        self._loads = loads
        self._engines: dict[model.EndpointId, _graph.Engine] = {}
        self._graphs: dict[_EngineRequirements, CachedGraph] = {}

    def graph_for(
        self,
        request: _request.RoutingRequest,
        eligible: collections.abc.Iterable[model.Announcement],
        layer_count: int,
        now: datetime.datetime,
    ) -> CachedGraph:
        """Return the graph of the engines that can serve the request."""
        requirements = _EngineRequirements(
            request.model, request.model_version, request.adapter, layer_count
        )
        eligible_engines = self.engines(eligible)
        cached = self._graphs.get(requirements)
        version = self._links.version
        if (
            cached is None
            or cached.links_version != version
            or cached.engines != eligible_engines
        ):
            cached = self._build(requirements, eligible_engines)
            if len(self._graphs) >= _MAX_GRAPHS:
                self._graphs.clear()
            self._graphs[requirements] = cached
        cached.load_statistics.refresh(cached.graph, now)
        return cached

    def engines(
        self, eligible: collections.abc.Iterable[model.Announcement]
    ) -> list[_graph.Engine]:
        """Return the engines among the eligible endpoints.

        Endpoints that announce no layers are left out.
        """
        engines = []
        cached = self._engines
        for announcement in eligible:
            engine = cached.get(announcement.endpoint_id)
            if engine is None or engine.announcement is not announcement:
                engine = self._refresh(engine, announcement)
            if engine is not None:
                engines.append(engine)
        return engines

    def path_of(self, pipeline: model.Pipeline) -> list[_search.PathStage]:
        """Return the path of a pipeline, without stages of unknown engines."""
        path = []
        for stage in pipeline.stages:
            engine = self._engines.get(stage.endpoint_id)
            if engine is not None:
                layers = stage.layers
                path.append(
                    _search.PathStage(engine, layers.first, layers.end)
                )
        return path

    def remove(self, endpoint_id: model.EndpointId) -> None:
        """Discard an engine that left or failed, and all cached graphs."""
        engine = self._engines.pop(endpoint_id, None)
        if engine is not None:
            self._graphs.clear()

    def _refresh(
        self,
        engine: _graph.Engine | None,
        announcement: model.Announcement,
    ) -> _graph.Engine | None:
        if engine is not None and engine.matches_except_load(announcement):
            engine.announcement = announcement
            return engine
        layers = announcement.layers
        if layers is None or layers.count <= 0:
            self._engines.pop(announcement.endpoint_id, None)
            return None
        rate = self._settings.unknown_layer_tokens_per_second
        if announcement.accelerator is not None:
            rate = announcement.accelerator.layer_tokens_per_second
        load = self._loads.get_or_create(announcement)
        engine = _graph.Engine(announcement, layers, load, rate)
        self._engines[announcement.endpoint_id] = engine
        return engine

    def _build(
        self,
        requirements: _EngineRequirements,
        eligible_engines: list[_graph.Engine],
    ) -> CachedGraph:
        serving = [
            engine
            for engine in eligible_engines
            if engine.layers.first < requirements.layer_count
            and requirements.are_met_by(engine.announcement)
        ]
        graph = _graph.LayerGraph(
            serving,
            requirements.layer_count,
            self._links,
            self._settings.data_centre,
        )
        return CachedGraph(graph, eligible_engines, self._links.version)
