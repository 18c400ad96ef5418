"""How many serving copies each layer of each version has."""

import collections
import collections.abc
import typing

from sedgepin import _model
from sedgepin._release import _placement


class Copy(typing.NamedTuple):
    """A model in one version."""

    model: _model.ModelName
    version: str


class Coverage:
    """Counts serving copies by layer, and the work that waits for them."""

    __slots__ = ("_counts", "_loads", "_servers")

    def __init__(
        self, serving: collections.abc.Iterable[_model.Announcement]
    ) -> None:
        self._counts: dict[Copy, collections.Counter[int]] = {}
        self._loads: collections.Counter[str] = collections.Counter()
        self._servers: collections.Counter[str] = collections.Counter()
        for announced in serving:
            self._add(announced)

    def copies(self) -> tuple[Copy, ...]:
        """Return every version of which some layer is served."""
        return tuple(self._counts)

    def is_complete(self, copy: Copy, layer_count: int) -> bool:
        """Tell whether every layer is served."""
        counts = self._counts.get(copy)
        if counts is None:
            return False
        return all(counts[layer] > 0 for layer in range(layer_count))

    def has_others(self, announced: _model.Announcement) -> bool:
        """Tell whether another endpoint serves each layer of this one."""
        counts = self._counts[copy_of(announced)]
        return all(counts[layer] > 1 for layer in _layers_of(announced))

    def serves_any(
        self, model: str | None, layers: _model.LayerRange | None
    ) -> bool:
        """Tell whether each of the layers is served in some version."""
        if layers is None:
            return False
        ours = [
            counts
            for copy, counts in self._counts.items()
            if copy.model == model
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

    def remove(self, announced: _model.Announcement) -> None:
        """Count an endpoint no longer."""
        counts = self._counts[copy_of(announced)]
        for layer in _layers_of(announced):
            counts[layer] -= 1

    def _add(self, announced: _model.Announcement) -> None:
        copy = copy_of(announced)
        counts = self._counts.setdefault(copy, collections.Counter())
        for layer in _layers_of(announced):
            counts[layer] += 1
        load = announced.load
        waiting = load.running_requests + load.queued_requests
        self._loads[copy.model] += waiting + load.queued_tokens
        self._servers[copy.model] += 1


def copy_of(announced: _model.Announcement) -> Copy:
    """Return what a serving endpoint serves."""
    assert announced.model is not None
    return Copy(announced.model, announced.model_version)


def _layers_of(announced: _model.Announcement) -> range:
    assert _placement.is_serving(announced)
    layers = announced.layers
    assert layers is not None
    return range(layers.first, layers.end)
