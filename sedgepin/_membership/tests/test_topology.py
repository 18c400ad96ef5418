"""Tests of subset selection and of the gossip grid."""

import pytest

from sedgepin._membership import _topology as topology
from sedgepin import _model as model


def _names(count: int) -> list[model.VmId]:
    return [model.VmId(f"e{number}") for number in range(count)]


class TestGrid:
    @pytest.mark.parametrize("count", [1, 2, 7, 8, 9, 20, 50, 53, 57, 107])
    def test_each_entry_reaches_all_others_with_one_copy_each(
        self, count: int
    ) -> None:
        grid = topology.Grid(_names(count), mesh_limit=8)
        neighbours = {name: grid.neighbours(name) for name in _names(count)}
        for origin in _names(count):
            relays = grid.relays(origin)
            copies = [origin, *relays.own_column]
            for column in relays.other_columns:
                copies += [column[0], *grid.relays(column[0]).own_column]
            assert sorted(copies) == sorted(_names(count))
            for column in relays.other_columns:
                assert origin in neighbours[column[0]]
        assert len(neighbours[model.VmId("e0")]) <= max(2 * count**0.5, 7)


class TestSubset:
    def test_all_entries_follow_an_endpoint_in_a_small_scope(self) -> None:
        chosen = topology.choose_subset(
            model.EndpointId("g1"), _names(7), size=32
        )
        assert chosen == frozenset(_names(7))

    def test_removing_an_entry_reassigns_only_its_endpoints(self) -> None:
        names = _names(53)
        for number in range(40):
            endpoint_id = model.EndpointId(f"g{number}")
            before = topology.choose_subset(endpoint_id, names, 32)
            after = topology.choose_subset(endpoint_id, names[1:], 32)
            assert len(before) == len(after) == 32
            assert len(before - after) == (names[0] in before)
