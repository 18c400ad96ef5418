"""Tests of subsets and of the grid."""

import pytest

from sedgepin._membership import _topology as topology
from sedgepin import _model as model


def _names(count: int) -> list[model.VmId]:
    return [model.VmId(f"e{number}") for number in range(count)]


class TestGrid:
    @pytest.mark.parametrize("count", [1, 2, 7, 8, 9, 20, 50, 53, 57, 107])
    def test_every_entry_reaches_every_other_by_one_copy(
        self, count: int
    ) -> None:
        grid = topology.Grid(_names(count), mesh_limit=8)
        near = {name: grid.neighbours(name) for name in _names(count)}
        for origin in _names(count):
            relays = grid.relays(origin)
            copies = [origin, *relays.own_column]
            for column in relays.other_columns:
                copies += [column[0], *grid.relays(column[0]).own_column]
            assert sorted(copies) == sorted(_names(count))
            for column in relays.other_columns:
                assert origin in near[column[0]]
        assert len(near[model.VmId("e0")]) <= max(2 * count**0.5, 7)


class TestSubset:
    def test_small_scope_follows_everything(self) -> None:
        chosen = topology.choose_subset(
            model.EndpointId("g1"), _names(7), size=32
        )
        assert chosen == frozenset(_names(7))

    def test_lost_entry_moves_only_what_it_followed(self) -> None:
        names = _names(53)
        for number in range(40):
            endpoint_id = model.EndpointId(f"g{number}")
            before = topology.choose_subset(endpoint_id, names, 32)
            after = topology.choose_subset(endpoint_id, names[1:], 32)
            assert len(before) == len(after) == 32
            assert len(before - after) == (names[0] in before)
