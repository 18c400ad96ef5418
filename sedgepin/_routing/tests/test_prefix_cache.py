"""Tests of prefix cache tracking from cache events."""

from sedgepin import _model as model
from sedgepin import _routing

A, B = model.EndpointId("a"), model.EndpointId("b")
INCARNATION = model.Incarnation(1)
SNAPSHOT = model.CacheEvent(3, snapshot=True, added=("x", "y"))


def view_after(
    *events: model.CacheEvent, limit: int = 100
) -> _routing.PrefixCacheView:
    """Return a view after events of endpoint A, each applied separately."""
    view = _routing.PrefixCacheView(limit)
    for event in events:
        view.apply(A, INCARNATION, (event,))
    return view


class TestPrefixCacheView:
    """A prefix counts only while no event of its endpoint is missing."""

    def test_longest_match_is_returned_for_each_endpoint(self) -> None:
        view = view_after(SNAPSHOT)
        view.apply(B, INCARNATION, (model.CacheEvent(0, True, added=("x",)),))
        assert view.matched_blocks(("x", "y", "z")) == {A: 2, B: 1}

    def test_hash_is_held_only_without_gap_since_snapshot(self) -> None:
        added = model.CacheEvent(4, added=("z",))
        removed = model.CacheEvent(5, removed=("z",))
        cases: tuple[tuple[str, list[model.CacheEvent], bool], ...] = (
            ("in order", [SNAPSHOT, added], True),
            ("removed", [SNAPSHOT, added, removed], False),
            ("duplicated", [SNAPSHOT, added, SNAPSHOT, added], True),
            ("before any snapshot", [added], False),
            ("gap", [SNAPSHOT, added, model.CacheEvent(6)], False),
            ("late", [SNAPSHOT, removed, added], False),
            ("old snapshot", [model.CacheEvent(9), SNAPSHOT, added], False),
            (
                "gap, then snapshot",
                [
                    SNAPSHOT,
                    model.CacheEvent(6),
                    model.CacheEvent(8, snapshot=True, added=("z",)),
                ],
                True,
            ),
        )
        for name, events, held in cases:
            assert bool(view_after(*events).matched_blocks(("z",))) is held, (
                name
            )

    def test_new_incarnation_starts_without_hashes(self) -> None:
        view = view_after(SNAPSHOT)
        view.apply(A, model.Incarnation(2), ())
        late = model.CacheEvent(4, snapshot=True, added=("x",))
        view.apply(A, INCARNATION, (late,))
        assert view.matched_blocks(("x", "y")) == {}

    def test_oldest_hashes_are_dropped_beyond_limit(self) -> None:
        many = model.CacheEvent(4, added=tuple(map(str, range(50))))
        view = view_after(SNAPSHOT, many, limit=10)
        held = [str(n) for n in range(50) if view.matched_blocks((str(n),))]
        assert held == [str(n) for n in range(40, 50)]
        assert view.matched_blocks(("x",)) == {}
