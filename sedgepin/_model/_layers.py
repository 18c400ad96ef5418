"""Layer ranges and pipelines that run each layer once, in order."""

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
        """Return the number of layers in the range."""
        return self.end - self.first

    def contains(self, other: "LayerRange") -> bool:
        """Return whether every layer of ``other`` is in this range."""
        return self.first <= other.first and other.end <= self.end


class Stage(msgspec.Struct, frozen=True):
    """An endpoint and the layers that it runs for one request."""

    endpoint_id: _identity.EndpointId
    address: str
    layers: LayerRange


@dataclasses.dataclass(slots=True, frozen=True)
class LayersNotTiled(errors.Failure):
    """The stages leave a gap, overlap or do not cover the model.

    ``expected_first`` is the layer at which the next stage should start,
    ``actual_first`` the one at which it starts.  If the stages end at the
    wrong layer, ``expected_first`` is the layer count of the model and
    ``actual_first`` the layer at which they end.
    """

    code: typing.ClassVar[str] = "layers_not_tiled"
    title: typing.ClassVar[str] = "The stages do not tile the model's layers"

    expected_first: int
    actual_first: int

    def detail(self) -> str:
        """Return the expected and the actual layer."""
        return (
            f"expected layer {self.expected_first} next, "
            f"found {self.actual_first}"
        )


class Pipeline(msgspec.Struct, frozen=True):
    """Stages that together run each layer of a model exactly once.

    Create one with ``tile``; the constructor does not check the stages.
    """

    stages: tuple[Stage, ...]

    @classmethod
    def tile(
        cls, stages: collections.abc.Iterable[Stage], layer_count: int
    ) -> result.Result["Pipeline", LayersNotTiled]:
        """Return a pipeline if ``stages`` cover each layer exactly once.

        The stages must be in layer order.  The error names the layer at
        which they do not continue.
        """
        stage_tuple = tuple(stages)
        next_layer = 0
        for stage in stage_tuple:
            layers = stage.layers
            if layers.first != next_layer or layers.count <= 0:
                return result.Err(LayersNotTiled(next_layer, layers.first))
            next_layer = layers.end
        if next_layer != layer_count or layer_count <= 0:
            return result.Err(LayersNotTiled(layer_count, next_layer))
        return result.Ok(cls(stage_tuple))
