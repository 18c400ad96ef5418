"""Endpoints of the product that name a limit get more requests (LIMIT)."""

import collections.abc
import datetime

import pytest

from sedgepin._entry import _permits
from sedgepin import _rate_limits as rate_limits
from sedgepin.tests import fakes
from sedgepin.tests import simulation

_PER_SECOND = 3.0
_SECONDS = 10.0
# An announcement reaches all VMs in this time.
_SETTLE_SECONDS = 1.5
_FIRST_ENGINES = ("engine-0-0", "engine-0-1")


class _Day:
    """Callers of a small deployment, of which some endpoints are limited."""

    def __init__(
        self, limited: tuple[str, ...], per_second: float | None = _PER_SECOND
    ) -> None:
        self.simulation = simulation.Simulation()
        self.simulation.start_and_publish()
        self.limited = limited
        self.name_limit(per_second)
        self.simulation.run(_SETTLE_SECONDS)
        self._count = 0
        self.callers: list[fakes.Caller] = []

    def name_limit(self, per_second: float | None) -> None:
        for name in self.limited:
            endpoint = self.simulation.endpoints[name]
            endpoint.requests_per_second = per_second

    def send(
        self,
        seconds: float,
        per_second: float,
        make: collections.abc.Callable[[str, str], fakes.Caller],
    ) -> None:
        """Send requests at even distances, in turn to each entry VM."""
        for number in range(int(seconds * per_second)):
            self._count += 1
            vm = f"entry-{number % 3 + 1}"
            self.callers.append(make(vm, f"c{self._count}"))
            self.simulation.run(1 / per_second)

    def prompt(self, vm: str, name: str) -> fakes.Caller:
        return self.simulation.send_prompt(vm, name, max_tokens=3)

    def call(self, vm: str, name: str) -> fakes.Caller:
        return self.simulation.call_ledger(vm, name, name)

    def fullest_windows(self, since: datetime.datetime) -> list[int]:
        """Return the most requests of each limited endpoint in 4 s."""
        window = datetime.timedelta(seconds=4)
        fullest: list[int] = []
        for name in self.limited:
            endpoint = self.simulation.endpoints[name]
            times = [at for at in endpoint.work_received_at if at >= since]
            fullest.append(
                max(
                    (
                        sum(at < start + window for at in times[number:])
                        for number, start in enumerate(times)
                    ),
                    default=0,
                )
            )
        return fullest


# Evenly spaced requests at the limit, in a closed window.
_ALLOWED = int(4 * _PER_SECOND) + 1


class TestStreams:
    def test_first_engines_get_no_more_than_they_named(self) -> None:
        day = _Day(_FIRST_ENGINES)
        since = day.simulation.now
        day.send(_SECONDS, 20.0, day.prompt)
        day.simulation.run(3.0)
        assert max(day.fullest_windows(since)) <= _ALLOWED
        served = sum(
            caller.is_finished and caller.failure is None
            for caller in day.callers
        )
        # Two engines with 3 a second, less what the schedule stays below.
        assert served >= 0.9 * 2 * _PER_SECOND * _SECONDS * 0.95
        failures = {
            caller.failure.code
            for caller in day.callers
            if caller.failure is not None
        }
        assert failures <= {"endpoints_limited"}

    def test_another_engine_serves_what_one_may_not(self) -> None:
        day = _Day(_FIRST_ENGINES[:1])
        since = day.simulation.now
        day.send(_SECONDS, 12.0, day.prompt)
        day.simulation.run(3.0)
        assert max(day.fullest_windows(since)) <= _ALLOWED
        assert all(caller.is_finished for caller in day.callers)
        assert all(caller.failure is None for caller in day.callers)

    def test_refused_at_once_or_after_a_second(self) -> None:
        day = _Day(_FIRST_ENGINES, 0.5)
        day.send(6.0, 20.0, day.prompt)
        day.simulation.run(2.0)
        held = [
            caller.answered_at - caller.sent_at
            for caller in day.callers
            if caller.failure is not None and caller.answered_at is not None
        ]
        assert held
        # A permit is decided on with the leader's next tick.
        assert max(held) <= _permits.MAX_WAIT + datetime.timedelta(seconds=0.3)

    def test_end_of_the_limit_is_heeded(self) -> None:
        day = _Day(_FIRST_ENGINES, 0.0)
        day.send(2.0, 10.0, day.prompt)
        day.name_limit(None)
        day.simulation.run(_SETTLE_SECONDS)
        before = len(day.callers)
        day.send(2.0, 10.0, day.prompt)
        day.simulation.run(2.0)
        assert all(caller.failure is None for caller in day.callers[before:])


class TestCalls:
    def test_plain_service_gets_no_more_than_it_named(self) -> None:
        day = _Day(("ledger",))
        since = day.simulation.now
        day.send(_SECONDS, 12.0, day.call)
        day.simulation.run(4.0)
        assert max(day.fullest_windows(since)) <= _ALLOWED
        assert all(caller.is_finished for caller in day.callers)


class TestFaults:
    @pytest.mark.parametrize("number", [1, 2, 3])
    def test_limit_is_kept_when_a_control_vm_is_killed(
        self, number: int
    ) -> None:
        day = _Day(_FIRST_ENGINES)
        since = day.simulation.now
        day.send(3.0, 20.0, day.prompt)
        day.simulation.kill(f"control-{number}")
        day.send(8.0, 20.0, day.prompt)
        # Shares of VMs that get no answer are spread at random.
        assert max(day.fullest_windows(since)) <= 1.5 * 4 * _PER_SECOND

    def test_without_control_vms_an_equal_share_is_sent(self) -> None:
        day = _Day(_FIRST_ENGINES)
        for number in range(1, 4):
            day.simulation.kill(f"control-{number}")
        day.simulation.run(0.5)
        since = day.simulation.now
        day.send(6.0, 20.0, day.prompt)
        fullest = day.fullest_windows(since)
        assert max(fullest) <= 1.5 * 4 * _PER_SECOND
        assert min(fullest) >= 0.6 * 4 * _PER_SECOND


def test_unheeded_limit_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shows that these days exceed the limit if nobody heeds it."""
    monkeypatch.setattr(
        rate_limits.RequestLimits, "find", lambda *arguments: None
    )
    day = _Day(_FIRST_ENGINES)
    since = day.simulation.now
    day.send(_SECONDS, 20.0, day.prompt)
    assert max(day.fullest_windows(since)) > 1.5 * 4 * _PER_SECOND + 5
