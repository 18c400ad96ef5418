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


class _FullDisk(Exception):
    """There is no space for a write."""


class _Writer:
    """Returns the effects listed in an event; ``write`` effects may wait."""

    def __init__(self) -> None:
        self.is_full = False
        self.applied: list[str] = []
        self.driver = shell.Driver[str, str](
            lambda event, now: event.split(),
            self._apply,
            _Clock(),
            postponement=shell.Postponement(
                _FullDisk, lambda _: "full", lambda: "space"
            ),
        )

    def _apply(self, effect: str) -> None:
        if effect == "nested":
            self.driver.submit("inner")
        if effect.startswith("write") and self.is_full:
            raise _FullDisk
        self.applied.append(effect)


class TestPostponement:
    def test_effects_after_a_write_that_waits_wait_too(self) -> None:
        writer = _Writer()
        writer.is_full = True
        writer.driver.submit("a write-1 b")
        assert writer.applied == ["a", "full"]
        writer.driver.submit("c")
        writer.driver.retry_postponed()
        assert writer.applied == ["a", "full", "c"]
        writer.is_full = False
        writer.driver.retry_postponed()
        assert writer.applied[3:] == ["write-1", "b", "space"]
        assert not writer.driver.has_postponed

    def test_reducer_learns_of_it_before_any_other_event(self) -> None:
        writer = _Writer()
        writer.is_full = True
        writer.driver.submit("nested write-1")
        assert writer.applied == ["nested", "full", "inner"]

    def test_shortage_in_the_middle_of_a_retry_is_the_same_one(self) -> None:
        writer = _Writer()
        writer.is_full = True
        writer.driver.submit("write-1 write-2")
        writer.driver.submit("write-3")
        assert writer.applied == ["full"]
        writer.is_full = False
        writer.driver.retry_postponed()
        assert writer.applied == [
            "full",
            "write-1",
            "write-2",
            "write-3",
            "space",
        ]

    def test_other_errors_end_the_reducer_also_on_retry(self) -> None:
        writer = _Writer()
        writer.is_full = True
        writer.driver.submit("write-1")

        def fail(effect: str) -> None:
            raise OSError(effect)

        writer.driver._apply_effect = fail
        with pytest.raises(OSError, match="write-1"):
            writer.driver.retry_postponed()
        with pytest.raises(shell.DriverStopped):
            writer.driver.retry_postponed()
