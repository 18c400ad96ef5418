"""Tests of the clock that leaves out waits for a processor."""

import pathlib

import pytest
import trio

from sedgepin.tests import held_clock as clocks

_TIMES = "1000000000 %d 12\n"


class _Wall:
    """A wall time that tests set; a hold may come with each reading."""

    def __init__(self, times: pathlib.Path) -> None:
        self._times = times
        self.seconds = 100.0
        self.hold_seconds = 0.0
        self._held_seconds = 0.0
        times.write_text(_TIMES % 0)

    def hold(self, seconds: float) -> None:
        """Let the thread wait for a processor."""
        self.seconds += seconds
        self._held_seconds += seconds
        self._times.write_text(_TIMES % round(self._held_seconds * 1e9))

    def read(self) -> float:
        before = self.seconds
        if self.hold_seconds:
            hold_seconds, self.hold_seconds = self.hold_seconds, 0.0
            self.hold(hold_seconds)
        return before


class TestHeldClock:
    def test_only_waits_for_a_processor_are_left_out(
        self, tmp_path: pathlib.Path
    ) -> None:
        wall = _Wall(tmp_path / "times")
        clock = clocks.HeldClock(tmp_path / "times", wall.read)
        before = clock.current_time()
        wall.seconds += 0.25
        assert clock.current_time() - before == pytest.approx(0.25)
        wall.hold(3.0)
        assert clock.current_time() - before == pytest.approx(0.25)
        deadline = before + 1.0
        assert clock.deadline_to_sleep_time(deadline) == pytest.approx(0.75)
        clock.close()

    def test_wait_between_its_readings_is_left_out_too(
        self, tmp_path: pathlib.Path
    ) -> None:
        wall = _Wall(tmp_path / "times")
        clock = clocks.HeldClock(tmp_path / "times", wall.read)
        before = clock.current_time()
        wall.hold_seconds = 3.0
        assert clock.current_time() == pytest.approx(before)
        clock.close()

    def test_nothing_is_left_out_where_it_is_not_counted(
        self, tmp_path: pathlib.Path
    ) -> None:
        wall = _Wall(tmp_path / "times")
        clock = clocks.HeldClock(tmp_path / "none", wall.read)
        before = clock.current_time()
        wall.hold(3.0)
        assert clock.current_time() - before == pytest.approx(3.0)
        clock.close()

    async def test_limits_hold_in_a_run(
        self, held_clock: trio.abc.Clock
    ) -> None:
        assert trio.lowlevel.current_clock() is held_clock
        with trio.move_on_after(0.05) as scope:
            await trio.sleep_forever()
        assert scope.cancelled_caught
        before = trio.current_time()
        await trio.sleep(0.05)
        assert trio.current_time() - before >= 0.05
