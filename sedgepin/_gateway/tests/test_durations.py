"""Tests of the estimate whether a request ends in time."""

import datetime

import pytest

from sedgepin._gateway import _durations

_SECOND = datetime.timedelta(seconds=1)


def _whole(seconds: float, is_complete: bool = True) -> _durations.Duration:
    """Return the duration of an answer that is no stream."""
    return _durations.Duration(
        until_output=_SECOND * seconds,
        output=datetime.timedelta(),
        tokens=0,
        is_complete=is_complete,
    )


def _stream(
    seconds: float, tokens: float, is_complete: bool = True
) -> _durations.Duration:
    """Return the duration of a stream whose first output came at once."""
    return _durations.Duration(
        until_output=datetime.timedelta(),
        output=_SECOND * seconds,
        tokens=tokens,
        is_complete=is_complete,
    )


class TestProbabilityOfEnd:
    def test_without_a_complete_answer_nothing_is_known(self) -> None:
        assert _durations.probability_of_end([], 0, _SECOND) is None
        known = [_whole(2, is_complete=False)]
        assert _durations.probability_of_end(known, 0, _SECOND) is None

    @pytest.mark.parametrize(
        ("seconds", "expected"), [(0.9, 0), (1, 0.25), (3.5, 0.75), (9, 1)]
    )
    def test_it_is_the_share_of_complete_answers(
        self, seconds: float, expected: float
    ) -> None:
        known = [_whole(taken) for taken in (3, 1, 4, 2)]
        found = _durations.probability_of_end(known, 0, _SECOND * seconds)
        assert found == pytest.approx(expected)

    def test_open_requests_that_are_older_lower_it(self) -> None:
        answers = [_whole(1) for _answer in range(10)]
        slow = [_whole(5, is_complete=False) for _open in range(30)]
        found = _durations.probability_of_end(answers + slow, 0, _SECOND * 4)
        assert found == pytest.approx(0.25)

    def test_open_requests_that_are_young_do_not(self) -> None:
        answers = [_whole(1) for _answer in range(10)]
        young = [_whole(0.5, is_complete=False) for _open in range(30)]
        found = _durations.probability_of_end(answers + young, 0, _SECOND)
        assert found == pytest.approx(1)

    def test_durations_are_scaled_to_the_expected_size(self) -> None:
        known = [_stream(1, tokens=10), _stream(2, tokens=10)]
        found = _durations.probability_of_end(known, 40, _SECOND * 5)
        assert found == pytest.approx(0.5)

    def test_callers_that_state_too_much_do_not_affect_the_others(
        self,
    ) -> None:
        """Both take 1 s, whether they state 10 tokens or 1000."""
        known = [_stream(1, tokens) for tokens in (10, 1000) for _ in range(8)]
        for tokens in (10, 1000):
            found = _durations.probability_of_end(known, tokens, _SECOND)
            assert found == pytest.approx(1)
