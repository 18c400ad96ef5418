"""Tests of layer ranges and pipelines."""

import pytest

from sedgepin import _model as model


def _stage(first: int, end: int) -> model.Stage:
    return model.Stage(
        endpoint_id=model.EndpointId(f"e{first}"),
        address="http://127.0.0.1:1",
        layers=model.LayerRange(first, end),
    )


class TestPipeline:
    """A pipeline is created only from stages that tile the layers exactly."""

    def test_exact_tiling_is_accepted(self) -> None:
        tiled = model.Pipeline.tile([_stage(0, 3), _stage(3, 8)], 8)
        assert tiled.is_ok()

    @pytest.mark.parametrize(
        "ranges",
        [
            [],
            [(0, 3), (4, 8)],
            [(0, 4), (3, 8)],
            [(0, 3), (3, 7)],
            [(3, 8), (0, 3)],
            [(0, 0), (0, 8)],
            [(0, 3), (3, 9)],
        ],
    )
    def test_inexact_tiling_is_refused(
        self, ranges: list[tuple[int, int]]
    ) -> None:
        tiled = model.Pipeline.tile([_stage(*pair) for pair in ranges], 8)
        assert isinstance(tiled.unwrap_err(), model.LayersNotTiled)
