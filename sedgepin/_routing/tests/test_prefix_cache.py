"""Tests of the view of the engines' prefix caches."""

from sedgepin import _model as model
from sedgepin import _routing

A, B = model.EndpointId("a"), model.EndpointId("b")
LIFE = model.Incarnation(1)
SNAPSHOT = model.CacheEvent(3, snapshot=True, added=("x", "y"))


def view(
    *events: model.CacheEvent, limit: int = 100
) -> _routing.PrefixCacheView:
    """Return a view of endpoint A after some events."""
    made = _routing.PrefixCacheView(limit)
    for event in events:
        made.apply(A, LIFE, (event,))
    return made


class TestPrefixCacheView:
    """A prefix counts only while its endpoint's events are unbroken."""

    def test_longest_prefix_by_endpoint(self) -> None:
        made = view(SNAPSHOT)
        made.apply(B, LIFE, (model.CacheEvent(0, True, added=("x",)),))
        assert made.matched_blocks(("x", "y", "z")) == {A: 2, B: 1}

    def test_events_and_gaps(self) -> None:
        added = model.CacheEvent(4, added=("z",))
        removed = model.CacheEvent(5, removed=("z",))
        cases: tuple[tuple[str, list[model.CacheEvent], bool], ...] = (
            ("in order", [SNAPSHOT, added], True),
            ("removed", [SNAPSHOT, added, removed], False),
            ("doubled", [SNAPSHOT, added, SNAPSHOT, added], True),
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
            assert bool(view(*events).matched_blocks(("z",))) is held, name

    def test_new_life_starts_empty(self) -> None:
        made = view(SNAPSHOT)
        made.apply(A, model.Incarnation(2), ())
        late = model.CacheEvent(4, snapshot=True, added=("x",))
        made.apply(A, LIFE, (late,))
        assert made.matched_blocks(("x", "y")) == {}

    def test_memory_is_bounded(self) -> None:
        many = model.CacheEvent(4, added=tuple(map(str, range(50))))
        made = view(SNAPSHOT, many, limit=10)
        held = [str(n) for n in range(50) if made.matched_blocks((str(n),))]
        assert held == [str(n) for n in range(40, 50)]
        assert made.matched_blocks(("x",)) == {}
