"""Tests of the budget that daemons use."""

from sedgepin import _memory as memory
from sedgepin import _shell as shell


class _Sink(shell.NullSink):
    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def increment(self, name: str, count: int) -> None:
        self.counts[name] = self.counts.get(name, 0) + count


class TestEvictions:
    """What an operator sees of a holder that was ended."""

    def test_are_counted(self) -> None:
        sink = _Sink()
        budget = shell.create_budget(1000, sink)
        ended: list[str] = []
        account = budget.open(
            memory.HolderKind.ANSWER, "10.0.0.9:80", lambda: ended.append("a")
        )
        account.hold(600)
        assert ended == ["a"]
        assert sink.counts == {"holder_ended": 1}


class TestLimit:
    """The limit without a setting."""

    def test_is_a_share_of_the_machine(self) -> None:
        account = shell.create_budget(None, shell.NullSink()).open(
            memory.HolderKind.ANSWER, "10.0.0.9:80", lambda: None
        )
        account.hold(1_000_000)
        assert not account.is_ended
        assert 0 < memory.default_held_bytes()
