"""Layer ranges, and pipelines that run every layer once and in order."""

import collections.abc
import dataclasses
import typing

import msgspec
import result

from sedgepin._model import _identity
from sedgepin import errors


class LayerRange(msgspec.Struct, frozen=True, order=True):
    """Layers ``first`` up to, and not including, ``end``.

    >>> LayerRange(0, 8).count
    8
    """

    first: typing.Annotated[int, msgspec.Meta(ge=0)]
    end: typing.Annotated[int, msgspec.Meta(ge=0)]

    @property
    def count(self) -> int:
        """Return how many layers the range holds."""
        return self.end - self.first

    def contains(self, other: "LayerRange") -> bool:
        """Tell whether every layer of ``other`` lies in this range."""
        return self.first <= other.first and other.end <= self.end


class Stage(msgspec.Struct, frozen=True):
    """One endpoint and the layers that it runs for one request."""

    endpoint_id: _identity.EndpointId
    address: str
    layers: LayerRange


@dataclasses.dataclass(slots=True, frozen=True)
class LayersNotTiled(errors.Failure):
    """Stages that leave a gap, overlap, or do not cover the model."""

    code: typing.ClassVar[str] = "layers_not_tiled"
    title: typing.ClassVar[str] = "The stages do not tile the model's layers"

    expected_first: int
    actual_first: int

    def detail(self) -> str:
        """Return the layer at which the tiling breaks."""
        return (
            f"expected layer {self.expected_first} next, "
            f"found {self.actual_first}"
        )


class Pipeline(msgspec.Struct, frozen=True):
    """Stages that together run each layer of a model exactly once.

    Build one with ``tile``; the plain constructor checks nothing.
    """

    stages: tuple[Stage, ...]

    @classmethod
    def tile(
        cls, stages: collections.abc.Iterable[Stage], layer_count: int
    ) -> result.Result["Pipeline", LayersNotTiled]:
        """Return the pipeline, or where ``stages`` fail to tile the model."""
        chosen = tuple(stages)
        next_layer = 0
        for stage in chosen:
            layers = stage.layers
            if layers.first != next_layer or layers.count <= 0:
                return result.Err(LayersNotTiled(next_layer, layers.first))
            next_layer = layers.end
        if next_layer != layer_count or layer_count <= 0:
            return result.Err(LayersNotTiled(layer_count, next_layer))
        return result.Ok(cls(chosen))
