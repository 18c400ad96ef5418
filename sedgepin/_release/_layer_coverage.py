"""How many serving copies each layer of each version has."""

import collections
import collections.abc
import typing

from sedgepin import _model
from sedgepin._release import _placement


class ModelVersion(typing.NamedTuple):
    """A model in one version."""

    model: _model.ModelName
    version: str


class Coverage:
    """Counts serving copies by layer, and the work that waits for them."""

    __slots__ = ("_counts", "_loads", "_servers")

    def __init__(
        self, serving: collections.abc.Iterable[_model.Announcement]
    ) -> None:
        self._counts: dict[ModelVersion, collections.Counter[int]] = {}
        self._loads: collections.Counter[str] = collections.Counter()
        self._servers: collections.Counter[str] = collections.Counter()
        for announcement in serving:
            self._add(announcement)

    def versions(self) -> tuple[ModelVersion, ...]:
        """Return every version of which some layer is served."""
        return tuple(self._counts)

    def is_complete(self, version: ModelVersion, layer_count: int) -> bool:
        """Tell whether every layer is served."""
        counts = self._counts.get(version)
        if counts is None:
            return False
        return all(counts[layer] > 0 for layer in range(layer_count))

    def is_redundant(self, announcement: _model.Announcement) -> bool:
        """Tell whether another endpoint serves each layer of this one."""
        counts = self._counts[served_version(announcement)]
        return all(counts[layer] > 1 for layer in _layers_of(announcement))

    def serves_layers(
        self, model: str | None, layers: _model.LayerRange | None
    ) -> bool:
        """Tell whether each of the layers is served in some version."""
        if layers is None:
            return False
        ours = [
            counts
            for version, counts in self._counts.items()
            if version.model == model
        ]
        return all(
            any(counts[layer] > 0 for counts in ours)
            for layer in range(layers.first, layers.end)
        )

    def demand(self, model: str | None) -> float:
        """Return the work waiting for each endpoint of a model."""
        if model is None or not self._servers[model]:
            return 0.0
        return self._loads[model] / self._servers[model]

    def remove(self, announcement: _model.Announcement) -> None:
        """Count an endpoint no longer."""
        counts = self._counts[served_version(announcement)]
        for layer in _layers_of(announcement):
            counts[layer] -= 1

    def _add(self, announcement: _model.Announcement) -> None:
        version = served_version(announcement)
        counts = self._counts.setdefault(version, collections.Counter())
        for layer in _layers_of(announcement):
            counts[layer] += 1
        load = announcement.load
        waiting = load.running_requests + load.queued_requests
        self._loads[version.model] += waiting + load.queued_tokens
        self._servers[version.model] += 1


def served_version(announcement: _model.Announcement) -> ModelVersion:
    """Return what a serving endpoint serves."""
    assert announcement.model is not None
    return ModelVersion(announcement.model, announcement.model_version)


def _layers_of(announcement: _model.Announcement) -> range:
    assert _placement.is_serving(announcement)
    layers = announcement.layers
    assert layers is not None
    return range(layers.first, layers.end)
