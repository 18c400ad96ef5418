"""The engines among the eligible endpoints, remembered between choices."""

import collections.abc
import dataclasses
import datetime

from sedgepin import _model as model
from sedgepin._routing import _graph
from sedgepin._routing import _links
from sedgepin._routing import _load
from sedgepin._routing import _request
from sedgepin._routing import _scale
from sedgepin._routing import _search
from sedgepin._routing import _settings

_GRAPHS_LIMIT = 64


@dataclasses.dataclass(slots=True, frozen=True)
class _Wanted:
    """What an engine must offer to appear in a graph."""

    model_name: model.ModelName
    version: str
    adapter: str
    layer_count: int

    def met_by(self, announcement: model.Announcement) -> bool:
        """Tell whether an engine offers it."""
        if announcement.model != self.model_name or announcement.leaving:
            return False
        if self.version and announcement.model_version != self.version:
            return False
        return not self.adapter or self.adapter in announcement.adapters


class PricedGraph:
    """A graph with its load scale, and the links version it was built on."""

    __slots__ = ("graph", "holders", "links_version", "scale")

    def __init__(
        self,
        graph: _graph.LayerGraph,
        holders: list[_graph.Holder],
        links_version: int,
    ) -> None:
        self.graph = graph
        self.holders = holders
        self.links_version = links_version
        self.scale = _scale.LoadScale()


class GraphCache:
    """Builds graphs, and builds one again only when its engines changed.

    An announcement that changes nothing but load or sequence keeps its
    engine's node, so a graph outlives the twice-a-second announcements.
    """

    __slots__ = ("_graphs", "_holders", "_links", "_loads", "_settings")

    def __init__(
        self,
        settings: _settings.RoutingSettings,
        links: _links.LinkTable,
        loads: _load.LoadEstimator,
    ) -> None:
        self._settings = settings
        self._links = links
        self._loads = loads
        self._holders: dict[model.EndpointId, _graph.Holder] = {}
        self._graphs: dict[_Wanted, PricedGraph] = {}

    def graph_for(
        self,
        work: _request.RoutingRequest,
        eligible: collections.abc.Iterable[model.Announcement],
        layer_count: int,
        now: datetime.datetime,
    ) -> PricedGraph:
        """Return the graph of the engines that can serve the work."""
        wanted = _Wanted(
            work.model, work.model_version, work.adapter, layer_count
        )
        eligible_holders = self.holders(eligible)
        known = self._graphs.get(wanted)
        version = self._links.version
        if (
            known is None
            or known.links_version != version
            or known.holders != eligible_holders
        ):
            known = self._build(wanted, eligible_holders)
            if len(self._graphs) >= _GRAPHS_LIMIT:
                self._graphs.clear()
            self._graphs[wanted] = known
        known.scale.refresh(known.graph, now)
        return known

    def holders(
        self, eligible: collections.abc.Iterable[model.Announcement]
    ) -> list[_graph.Holder]:
        """Return the nodes of the engines among the eligible."""
        found = []
        known = self._holders
        for announcement in eligible:
            holder = known.get(announcement.endpoint_id)
            if holder is None or holder.announcement is not announcement:
                holder = self._refresh(holder, announcement)
            if holder is not None:
                found.append(holder)
        return found

    def legs(self, pipeline: model.Pipeline) -> list[_search.Leg]:
        """Return the stages of a pipeline whose engines are known."""
        legs = []
        for stage in pipeline.stages:
            holder = self._holders.get(stage.endpoint_id)
            if holder is not None:
                layers = stage.layers
                legs.append(_search.Leg(holder, layers.first, layers.end))
        return legs

    def forget(self, endpoint_id: model.EndpointId) -> None:
        """Drop an engine that is gone, and the graphs that have it."""
        holder = self._holders.pop(endpoint_id, None)
        if holder is not None:
            self._graphs.clear()

    def _refresh(
        self,
        holder: _graph.Holder | None,
        announcement: model.Announcement,
    ) -> _graph.Holder | None:
        if holder is not None and holder.same_as(announcement):
            holder.announcement = announcement
            return holder
        layers = announcement.layers
        if layers is None or layers.count <= 0:
            self._holders.pop(announcement.endpoint_id, None)
            return None
        rate = self._settings.unknown_layer_tokens_per_second
        if announcement.accelerator is not None:
            rate = announcement.accelerator.layer_tokens_per_second
        load = self._loads.of(announcement)
        holder = _graph.Holder(announcement, layers, load, rate)
        self._holders[announcement.endpoint_id] = holder
        return holder

    def _build(
        self, wanted: _Wanted, eligible_holders: list[_graph.Holder]
    ) -> PricedGraph:
        serving = [
            holder
            for holder in eligible_holders
            if holder.layers.first < wanted.layer_count
            and wanted.met_by(holder.announcement)
        ]
        graph = _graph.LayerGraph(
            serving,
            wanted.layer_count,
            self._links,
            self._settings.data_centre,
        )
        return PricedGraph(graph, eligible_holders, self._links.version)
