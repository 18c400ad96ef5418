"""Tests of the budget that daemons use."""

import pathlib

from sedgepin import _memory as memory
from sedgepin import _shell as shell


class _Sink(shell.NullSink):
    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def increment(self, name: str, count: int) -> None:
        self.counts[name] = self.counts.get(name, 0) + count


def _machine_bytes() -> int:
    lines = pathlib.Path("/proc/meminfo").read_text().splitlines()
    total = next(line for line in lines if line.startswith("MemTotal:"))
    return int(total.split()[1]) * 1024


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
        limit_bytes = memory.default_held_bytes()
        assert 0 < limit_bytes < _machine_bytes()
        account = shell.create_budget(None, shell.NullSink()).open(
            memory.HolderKind.ANSWER, "10.0.0.9:80", lambda: None
        )
        account.hold(limit_bytes // 2)
        assert not account.is_ended
        account.hold(limit_bytes // 2 + 1)
        assert account.is_ended
