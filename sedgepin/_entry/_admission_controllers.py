"""Admission: a controller for each model and one for plain services."""

import datetime

from sedgepin import _admission as admission
from sedgepin._entry import _context
from sedgepin import _model as model

CAPACITY_INTERVAL = datetime.timedelta(milliseconds=500)
# How many seconds of this VM's share of the engines' work may be in flight.
_IN_FLIGHT_SECONDS = 20.0
# An entry VM admits up to twice its equal share of the engines' capacity: the
# balancer's distribution is uneven over short times, and an entry VM may be
# the only one running for a while.  Engines queue the excess.
_SHARE_HEADROOM = 2.0
_CALLS_IN_FLIGHT = 256
_CALLS_PER_SECOND = 1000.0


class AdmissionControllers:
    """The admission controllers of one entry VM.

    Those of models are created on first use; their capacity follows that of
    the eligible engines.  ``calls`` admits calls to plain services.
    """

    __slots__ = ("_context", "_draining", "_models", "_reviewed_at", "calls")

    def __init__(
        self, context: _context.ReducerContext, now: datetime.datetime
    ) -> None:
        self._context = context
        self._models: dict[model.ModelName, admission.AdmissionController] = {}
        self._reviewed_at = now
        self._draining = False
        self.calls = admission.AdmissionController(
            context.admission_settings(), now, context.generator
        )
        self.calls.set_capacity(_CALLS_IN_FLIGHT, _CALLS_PER_SECOND, now)

    def of_model(
        self, name: model.ModelName, now: datetime.datetime
    ) -> admission.AdmissionController:
        """Return the admission controller of a model, created if needed."""
        controller = self._models.get(name)
        if controller is None:
            controller = admission.AdmissionController(
                self._context.admission_settings(),
                now,
                self._context.generator,
            )
            if self._draining:
                controller.start_draining(now)
            self._models[name] = controller
            self._set_capacity(name, controller, now)
        return controller

    def start_draining(self, now: datetime.datetime) -> None:
        """Refuse all requests that arrive from now on."""
        self._draining = True
        for controller in (*self._models.values(), self.calls):
            controller.start_draining(now)

    def tick(self, now: datetime.datetime) -> list[admission.Decision]:
        """Review capacities if due, and decide on waiting model requests."""
        decisions: list[admission.Decision] = []
        due = now - self._reviewed_at >= CAPACITY_INTERVAL
        if due:
            self._reviewed_at = now
        for name, controller in self._models.items():
            if due:
                decisions += self._set_capacity(name, controller, now)
            decisions += _tick_controller(controller, now)
        return decisions

    def tick_calls(self, now: datetime.datetime) -> list[admission.Decision]:
        """Decide on waiting calls to plain services."""
        return _tick_controller(self.calls, now)

    def _set_capacity(
        self,
        name: model.ModelName,
        controller: admission.AdmissionController,
        now: datetime.datetime,
    ) -> list[admission.Decision]:
        fleet = self._context.follower.fleet
        served = None if fleet is None else fleet.find_model(name)
        rate = 0.0
        if served is not None:
            rate = self._context.router.capacity_tokens_per_second(
                name, self._context.eligible(now), served.layer_count
            )
        share = min(1.0, _SHARE_HEADROOM / self._context.entry_count)
        rate *= share
        return controller.set_capacity(
            int(rate * _IN_FLIGHT_SECONDS), rate, now
        )


def _tick_controller(
    controller: admission.AdmissionController, now: datetime.datetime
) -> list[admission.Decision]:
    if controller.wake_at is None or now < controller.wake_at:
        return []
    return controller.tick(now)
