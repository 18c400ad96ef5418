"""Tests of the splitter, the budget, suspicions and the relay's bytes."""

import datetime

import hypothesis
from hypothesis import strategies
import pytest

from sedgepin._gateway import _event_stream
from sedgepin._gateway import _retry_budget
from sedgepin._gateway import _settings
from sedgepin._gateway import _suspicions
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol

_ENDPOINT = model.EndpointId("e")
_SERVICE = model.ServiceName("s")


class TestEventSplitter:
    @hypothesis.settings(derandomize=True)
    @hypothesis.given(strategies.lists(strategies.integers(1, 40)))
    def test_any_cut_gives_the_same_events(self, cuts: list[int]) -> None:
        whole = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 9))
        splitter = _event_stream.EventSplitter()
        found: list[_event_stream.StreamEvent] = []
        rest = whole
        for cut in cuts:
            found += splitter.feed(rest[:cut])
            rest = rest[cut:]
        found += splitter.feed(rest)
        assert [one.event_id for one in found] == list(range(1, 9))
        assert b"".join(one.data for one in found) == whole
        assert not splitter.has_incomplete_event

    def test_half_an_event_is_kept_back(self) -> None:
        splitter = _event_stream.EventSplitter()
        assert splitter.feed(b"id: 1\ndata: half") == []
        assert splitter.has_incomplete_event


class TestRetryBudget:
    def test_reserve_is_shared_between_entries(self) -> None:
        cfg = _settings.RetrySettings(0.0, 70, parts.milliseconds(10_000))
        budget = _retry_budget.RetryBudget(cfg)
        budget.set_entry_count(7)
        taken = [budget.try_spend(_SERVICE, parts.START) for _ in range(20)]
        assert sum(taken) == 7

    def test_window_slides(self) -> None:
        cfg = _settings.RetrySettings(0.0, 10, parts.milliseconds(10_000))
        budget = _retry_budget.RetryBudget(cfg)
        while budget.try_spend(_SERVICE, parts.START):
            pass
        later = parts.START + parts.milliseconds(10_001)
        assert budget.try_spend(_SERVICE, later)


class TestSharedRetryBudget:
    """A crash breaks the requests of a few entries; the others need none."""

    _CFG = _settings.RetrySettings(0.2, 200, parts.milliseconds(10_000))

    def _sum(self, firsts: int, repeats: int) -> list[protocol.RetryCount]:
        return [protocol.RetryCount(_SERVICE, firsts, repeats)]

    def _taken(
        self, budget: _retry_budget.RetryBudget, now: datetime.datetime
    ) -> int:
        return sum(budget.try_spend(_SERVICE, now) for _ in range(1000))

    def test_one_entry_may_spend_more_than_its_own_part(self) -> None:
        budget = _retry_budget.RetryBudget(self._CFG)
        budget.set_entry_count(50)
        spent = 0
        for number in range(20):
            now = parts.START + parts.milliseconds(200 * number)
            budget.set_aggregated_counts(self._sum(1000, spent), now)
            spent += self._taken(budget, now)
        # Its own part would be 0.7 * 200 / 50, which is 2.
        assert spent > 20

    @pytest.mark.parametrize("entries", [1, 7, 66])
    @pytest.mark.parametrize("delay", [1, 2])
    def test_all_together_never_spend_more(
        self, entries: int, delay: int
    ) -> None:
        """Every entry repeats as often as it may, on sums that are old."""
        budgets = [
            _retry_budget.RetryBudget(self._CFG) for _ in range(entries)
        ]
        spent = [0]
        for number in range(40):
            now = parts.START + parts.milliseconds(200 * number)
            known = spent[max(0, len(spent) - delay)]
            taken = 0
            for budget in budgets:
                budget.set_entry_count(entries)
                budget.set_aggregated_counts(self._sum(1000, known), now)
                taken += self._taken(budget, now)
            spent.append(spent[-1] + taken)
        assert 0.9 * 280 <= spent[-1] <= 400

    def test_without_sums_little_is_spent(self) -> None:
        budget = _retry_budget.RetryBudget(self._CFG)
        budget.set_aggregated_counts(self._sum(0, 0), parts.START)
        later = parts.START + parts.milliseconds(2000)
        assert self._taken(budget, later) == 60


class TestSuspicions:
    @pytest.mark.parametrize(
        ("failures", "milliseconds"),
        [(1, 500), (2, 1000), (3, 2000), (4, 4000), (5, 4000)],
    )
    def test_pause_grows_up_to_a_limit(
        self, failures: int, milliseconds: int
    ) -> None:
        suspicions = _suspicions.Suspicions()
        now = parts.START
        pause = datetime.timedelta(0)
        for _failure in range(failures):
            now += pause
            suspicions.record_failure(_ENDPOINT, 1, now)
            pause = datetime.timedelta(0)
            while suspicions.is_suspected(_ENDPOINT, 1, now + pause):
                pause += parts.milliseconds(100)
        assert pause == parts.milliseconds(milliseconds)

    def test_new_start_has_a_clean_record(self) -> None:
        suspicions = _suspicions.Suspicions()
        suspicions.record_failure(_ENDPOINT, 1, parts.START)
        assert not suspicions.is_suspected(_ENDPOINT, 2, parts.START)
