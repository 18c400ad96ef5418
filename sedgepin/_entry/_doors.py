"""Admission: one door for each model and one for the plain services."""

import datetime

from sedgepin import _admission as admission
from sedgepin._entry import _surroundings
from sedgepin import _model as model

CAPACITY_INTERVAL = datetime.timedelta(milliseconds=500)
# How many seconds of an entry's share of the engines' work may be in flight.
_IN_FLIGHT_SECONDS = 20.0
# The balancer spreads requests unevenly over short times, and an entry may be
# alone for a while; engines queue what is too much.
_SHARE_HEADROOM = 2.0
_CALLS_IN_FLIGHT = 256
_CALLS_PER_SECOND = 1000.0


class Doors:
    """All the doors of one entry VM, opened as far as engines allow."""

    __slots__ = ("_around", "_draining", "_models", "_reviewed_at", "calls")

    def __init__(
        self, around: _surroundings.Surroundings, now: datetime.datetime
    ) -> None:
        self._around = around
        self._models: dict[model.ModelName, admission.AdmissionController] = {}
        self._reviewed_at = now
        self._draining = False
        self.calls = admission.AdmissionController(
            around.admission_settings(), now, around.generator
        )
        self.calls.set_capacity(_CALLS_IN_FLIGHT, _CALLS_PER_SECOND, now)

    def of_model(
        self, name: model.ModelName, now: datetime.datetime
    ) -> admission.AdmissionController:
        """Return the door of a model."""
        door = self._models.get(name)
        if door is None:
            door = admission.AdmissionController(
                self._around.admission_settings(), now, self._around.generator
            )
            if self._draining:
                door.start_draining(now)
            self._models[name] = door
            self._set_capacity(name, door, now)
        return door

    def visit_drain(self, now: datetime.datetime) -> None:
        """Let nothing new in any more."""
        self._draining = True
        for door in (*self._models.values(), self.calls):
            door.start_draining(now)

    def tick(self, now: datetime.datetime) -> list[admission.Decision]:
        """Review capacity and those who wait."""
        decisions: list[admission.Decision] = []
        due = now - self._reviewed_at >= CAPACITY_INTERVAL
        if due:
            self._reviewed_at = now
        for name, door in self._models.items():
            if due:
                decisions += self._set_capacity(name, door, now)
            decisions += _tick_door(door, now)
        return decisions

    def tick_calls(self, now: datetime.datetime) -> list[admission.Decision]:
        """Review the calls to plain services that wait."""
        return _tick_door(self.calls, now)

    def _set_capacity(
        self,
        name: model.ModelName,
        door: admission.AdmissionController,
        now: datetime.datetime,
    ) -> list[admission.Decision]:
        fleet = self._around.follower.fleet
        served = None if fleet is None else fleet.find_model(name)
        rate = 0.0
        if served is not None:
            rate = self._around.router.capacity_tokens_per_second(
                name, self._around.eligible(now), served.layer_count
            )
        share = min(1.0, _SHARE_HEADROOM / self._around.entry_count)
        rate *= share
        return door.set_capacity(int(rate * _IN_FLIGHT_SECONDS), rate, now)


def _tick_door(
    door: admission.AdmissionController, now: datetime.datetime
) -> list[admission.Decision]:
    if door.wake_at is None or now < door.wake_at:
        return []
    return door.tick(now)
