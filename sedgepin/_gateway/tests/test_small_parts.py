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
        assert not splitter.has_rest

    def test_half_an_event_is_kept_back(self) -> None:
        splitter = _event_stream.EventSplitter()
        assert splitter.feed(b"id: 1\ndata: half") == []
        assert splitter.has_rest


class TestRetryBudget:
    def test_reserve_is_shared_between_entries(self) -> None:
        cfg = _settings.RetrySettings(0.0, 70, parts.milliseconds(10_000))
        budget = _retry_budget.RetryBudget(cfg)
        budget.set_entry_count(7)
        taken = [budget.take(_SERVICE, parts.START) for _ in range(20)]
        assert sum(taken) == 7

    def test_window_slides(self) -> None:
        cfg = _settings.RetrySettings(0.0, 10, parts.milliseconds(10_000))
        budget = _retry_budget.RetryBudget(cfg)
        while budget.take(_SERVICE, parts.START):
            pass
        later = parts.START + parts.milliseconds(10_001)
        assert budget.take(_SERVICE, later)


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
            suspicions.add(_ENDPOINT, 1, now)
            pause = datetime.timedelta(0)
            while suspicions.covers(_ENDPOINT, 1, now + pause):
                pause += parts.milliseconds(100)
        assert pause == parts.milliseconds(milliseconds)

    def test_new_start_has_a_clean_record(self) -> None:
        suspicions = _suspicions.Suspicions()
        suspicions.add(_ENDPOINT, 1, parts.START)
        assert not suspicions.covers(_ENDPOINT, 2, parts.START)
