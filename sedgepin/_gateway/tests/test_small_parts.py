"""Tests of the event splitter, the retry budget and suspicions."""

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
        stream = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 9))
        splitter = _event_stream.EventSplitter()
        events: list[_event_stream.StreamEvent] = []
        rest = stream
        for cut in cuts:
            events += splitter.feed(rest[:cut])
            rest = rest[cut:]
        events += splitter.feed(rest)
        assert [event.event_id for event in events] == list(range(1, 9))
        assert b"".join(event.data for event in events) == stream
        assert not splitter.has_incomplete_event

    def test_incomplete_event_is_buffered(self) -> None:
        splitter = _event_stream.EventSplitter()
        assert splitter.feed(b"id: 1\ndata: half") == []
        assert splitter.has_incomplete_event


class TestRetryBudget:
    def test_reserve_is_divided_among_entry_vms(self) -> None:
        cfg = _settings.RetrySettings(0.0, 70, parts.milliseconds(10_000))
        budget = _retry_budget.RetryBudget(cfg)
        budget.set_entry_count(7)
        spent = [budget.try_spend(_SERVICE, parts.START) for _ in range(20)]
        assert sum(spent) == 7

    def test_budget_is_available_again_after_the_window(self) -> None:
        cfg = _settings.RetrySettings(0.0, 10, parts.milliseconds(10_000))
        budget = _retry_budget.RetryBudget(cfg)
        while budget.try_spend(_SERVICE, parts.START):
            pass
        later = parts.START + parts.milliseconds(10_001)
        assert budget.try_spend(_SERVICE, later)


class TestSharedRetryBudget:
    """Budgets after a crash that breaks the requests of few entry VMs."""

    _CFG = _settings.RetrySettings(0.2, 200, parts.milliseconds(10_000))

    def _counts(self, firsts: int, repeats: int) -> list[protocol.RetryCount]:
        return [protocol.RetryCount(_SERVICE, firsts, repeats)]

    def _spend_all(
        self, budget: _retry_budget.RetryBudget, now: datetime.datetime
    ) -> int:
        return sum(budget.try_spend(_SERVICE, now) for _ in range(1000))

    def test_one_entry_vm_may_spend_more_than_an_equal_part(self) -> None:
        budget = _retry_budget.RetryBudget(self._CFG)
        budget.set_entry_count(50)
        spent = 0
        for number in range(20):
            now = parts.START + parts.milliseconds(200 * number)
            budget.set_aggregated_counts(self._counts(1000, spent), now)
            spent += self._spend_all(budget, now)
        # An equal part of the reserve would be 0.7 * 200 / 50, which is 2.
        assert spent > 20

    @pytest.mark.parametrize("entries", [1, 7, 66])
    @pytest.mark.parametrize("delay", [1, 2])
    def test_entry_vms_together_stay_within_the_budget(
        self, entries: int, delay: int
    ) -> None:
        """Every entry VM spends all it may, based on outdated aggregates."""
        budgets = [
            _retry_budget.RetryBudget(self._CFG) for _ in range(entries)
        ]
        spent = [0]
        for number in range(40):
            now = parts.START + parts.milliseconds(200 * number)
            aggregated = spent[max(0, len(spent) - delay)]
            spent_now = 0
            for budget in budgets:
                budget.set_entry_count(entries)
                budget.set_aggregated_counts(
                    self._counts(1000, aggregated), now
                )
                spent_now += self._spend_all(budget, now)
            spent.append(spent[-1] + spent_now)
        assert 0.9 * 280 <= spent[-1] <= 400

    def test_little_is_spent_when_aggregates_stop(self) -> None:
        budget = _retry_budget.RetryBudget(self._CFG)
        budget.set_aggregated_counts(self._counts(0, 0), parts.START)
        later = parts.START + parts.milliseconds(2000)
        assert self._spend_all(budget, later) == 60


class TestSuspicions:
    @pytest.mark.parametrize(
        ("failures", "milliseconds"),
        [(1, 500), (2, 1000), (3, 2000), (4, 4000), (5, 4000)],
    )
    def test_backoff_doubles_up_to_the_maximum(
        self, failures: int, milliseconds: int
    ) -> None:
        suspicions = _suspicions.Suspicions()
        now = parts.START
        backoff = datetime.timedelta(0)
        for _failure in range(failures):
            now += backoff
            suspicions.record_failure(_ENDPOINT, 1, now)
            backoff = datetime.timedelta(0)
            while suspicions.is_suspected(_ENDPOINT, 1, now + backoff):
                backoff += parts.milliseconds(100)
        assert backoff == parts.milliseconds(milliseconds)

    def test_new_incarnation_is_not_suspected(self) -> None:
        suspicions = _suspicions.Suspicions()
        suspicions.record_failure(_ENDPOINT, 1, parts.START)
        assert not suspicions.is_suspected(_ENDPOINT, 2, parts.START)
