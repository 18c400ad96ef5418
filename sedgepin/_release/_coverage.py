"""Counts the serving copies of each layer of each model version."""

import collections
import collections.abc
import typing

from sedgepin import _model
from sedgepin._release import _placement


class ModelVersion(typing.NamedTuple):
    """A model name and one version of its weights."""

    model: _model.ModelName
    version: str


class Coverage:
    """Serving copies per layer, and outstanding work per model."""

    __slots__ = ("_counts", "_loads", "_endpoint_counts")

    def __init__(
        self, serving: collections.abc.Iterable[_model.Announcement]
    ) -> None:
        self._counts: dict[ModelVersion, collections.Counter[int]] = {}
        self._loads: collections.Counter[str] = collections.Counter()
        self._endpoint_counts: collections.Counter[str] = collections.Counter()
        for announcement in serving:
            self._add(announcement)

    def versions(self) -> tuple[ModelVersion, ...]:
        """Return the versions that have had a serving copy."""
        return tuple(self._counts)

    def is_complete(self, version: ModelVersion, layer_count: int) -> bool:
        """Return whether every layer of a version is served."""
        counts = self._counts.get(version)
        if counts is None:
            return False
        return all(counts[layer] > 0 for layer in range(layer_count))

    def is_redundant(self, announcement: _model.Announcement) -> bool:
        """Return whether other endpoints serve every layer of this one."""
        counts = self._counts[served_version(announcement)]
        return all(counts[layer] > 1 for layer in _layers_of(announcement))

    def serves_layers(
        self, model: str | None, layers: _model.LayerRange | None
    ) -> bool:
        """Return whether each layer is served, in any version."""
        if layers is None:
            return False
        matching = [
            counts
            for version, counts in self._counts.items()
            if version.model == model
        ]
        return all(
            any(counts[layer] > 0 for counts in matching)
            for layer in range(layers.first, layers.end)
        )

    def demand(self, model: str | None) -> float:
        """Return the outstanding work per endpoint of a model.

        Requests and queued tokens are added up as one unit each.
        """
        if model is None or not self._endpoint_counts[model]:
            return 0.0
        return self._loads[model] / self._endpoint_counts[model]

    def remove(self, announcement: _model.Announcement) -> None:
        """Stop counting the copies of an endpoint."""
        counts = self._counts[served_version(announcement)]
        for layer in _layers_of(announcement):
            counts[layer] -= 1

    def _add(self, announcement: _model.Announcement) -> None:
        version = served_version(announcement)
        counts = self._counts.setdefault(version, collections.Counter())
        for layer in _layers_of(announcement):
            counts[layer] += 1
        load = announcement.load
        requests = load.running_requests + load.queued_requests
        self._loads[version.model] += requests + load.queued_tokens
        self._endpoint_counts[version.model] += 1


def served_version(announcement: _model.Announcement) -> ModelVersion:
    """Return the model version that a serving endpoint holds."""
    assert announcement.model is not None
    return ModelVersion(announcement.model, announcement.model_version)


def _layers_of(announcement: _model.Announcement) -> range:
    assert _placement.is_serving(announcement)
    layers = announcement.layers
    assert layers is not None
    return range(layers.first, layers.end)
