"""Tests of the driver with reducers that fail."""

import datetime

import pytest

from sedgepin import _shell as shell
from sedgepin import clock


class _Clock(clock.Clock):
    def now(self) -> datetime.datetime:
        return datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


class _Reducer:
    """Returns each event as an effect; ``bad`` raises, as do its effects."""

    def __init__(self) -> None:
        self.applied: list[str] = []

    def handle(self, event: str, now: datetime.datetime) -> list[str]:
        if event == "bad":
            raise ValueError(event)
        return [event]

    def apply(self, effect: str) -> None:
        if effect == "bad effect":
            raise OSError(effect)
        self.applied.append(effect)


class TestDriver:
    @pytest.mark.parametrize("event", ["bad", "bad effect"])
    def test_reducer_that_failed_is_not_used_again(self, event: str) -> None:
        """Its state may differ from what is stored."""
        reducer = _Reducer()
        driver = shell.Driver(reducer.handle, reducer.apply, _Clock())
        driver.submit("a")
        with pytest.raises((ValueError, OSError)):
            driver.submit(event)
        with pytest.raises(shell.DriverStopped):
            driver.submit("b")
        assert reducer.applied == ["a"]

    @pytest.mark.parametrize("event", ["bad", "bad effect"])
    def test_reducer_without_stored_state_goes_on(self, event: str) -> None:
        reducer = _Reducer()
        driver = shell.Driver(
            reducer.handle, reducer.apply, _Clock(), is_fail_stop=False
        )
        with pytest.raises((ValueError, OSError)):
            driver.submit(event)
        driver.submit("b")
        assert reducer.applied == ["b"]
