"""Tests of the bound for what a process holds for others."""

from sedgepin import _memory as memory

_LIMIT_BYTES = 1000


class _Holders:
    """Holders on one budget, and which of them were ended."""

    def __init__(self) -> None:
        self.evictions: list[memory.Eviction] = []
        self.budget = memory.MemoryBudget(_LIMIT_BYTES, self.evictions.append)
        self.ended: list[str] = []

    def open(self, name: str, sender: str) -> memory.Account:
        return self.budget.open(
            memory.HolderKind.ANSWER, sender, lambda: self.ended.append(name)
        )


class TestBound:
    """The bytes of all holders together."""

    def test_nobody_is_ended_up_to_the_limit(self) -> None:
        holders = _Holders()
        for sender in ("a", "b"):
            holders.open(sender, sender).hold(_LIMIT_BYTES // 2)
        assert not holders.ended
        assert holders.budget.total_bytes == _LIMIT_BYTES

    def test_largest_holder_is_ended_and_not_the_one_that_came_last(
        self,
    ) -> None:
        holders = _Holders()
        accounts = {name: holders.open(name, name) for name in ("a", "b", "c")}
        accounts["a"].hold(400)
        accounts["b"].hold(450)
        accounts["c"].hold(200)
        assert holders.ended == ["b"]
        assert accounts["b"].is_ended
        assert holders.budget.total_bytes == 600
        assert holders.evictions == [
            memory.Eviction(memory.HolderKind.ANSWER, "b", 450, 1050)
        ]

    def test_many_small_holders_of_one_sender_count_together(self) -> None:
        holders = _Holders()
        for number in range(45):
            holders.open(f"endless {number}", "endless").hold(10)
        sound = [holders.open(f"sound {n}", f"sound {n}") for n in range(5)]
        for account in sound:
            account.hold(150)
        assert len(holders.ended) == 20
        assert all(name.startswith("endless") for name in holders.ended)

    def test_one_sender_does_not_take_all(self) -> None:
        holders = _Holders()
        account = holders.open("a", "a")
        account.hold(_LIMIT_BYTES // 2 + 1)
        assert holders.ended == ["a"]
        assert holders.budget.total_bytes == 0


class TestAccount:
    """What one holder states."""

    def test_bytes_that_were_let_go_of_do_not_count(self) -> None:
        holders = _Holders()
        with holders.open("a", "a") as account:
            account.hold(400)
            account.hold(100)
            assert holders.budget.total_bytes == 100
        assert holders.budget.total_bytes == 0

    def test_ended_holder_counts_nothing_and_is_ended_once(self) -> None:
        holders = _Holders()
        account = holders.open("a", "a")
        account.hold(_LIMIT_BYTES)
        account.hold(_LIMIT_BYTES)
        account.close()
        assert holders.ended == ["a"]
        assert holders.budget.total_bytes == 0
