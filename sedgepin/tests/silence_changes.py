"""A day of silences beside changes of what the requests depend on.

Configurations, limits, departures and bursts of requests come at fixed
times, and between the cancellation of an attempt and its end.
"""

import datetime
import enum

import msgspec

from sedgepin import _catalog as catalog
from sedgepin._gateway import _calls
from sedgepin._gateway import _effects as gateway_effects
from sedgepin._gateway import _events as gateway_events
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _events as registrar_events
from sedgepin.tests import engine_day
from sedgepin.tests import silence_day
from sedgepin.tests import silence_plan
from sedgepin.tests import silence_routes

_CHANGE_SECONDS = 0.4
# As many cancellations pass without a change.
_CANCELLATIONS_PER_CHANGE = 2
_LIMIT_PER_SECOND = 4.0
_LIMIT_SECONDS = 1.5
_MAX_DEPARTURES = 2
_BURST_REQUESTS = 6
_MANY_ROUTES = 200


class Change(enum.Enum):
    """What changes beside the silences."""

    CONFIGURATION = "configuration"
    LIMIT = "limit"
    DEPARTURE = "departure"
    BURST = "burst"


class ChangeDay(silence_day.SilenceDay):
    """Plays a plan beside changes of some kinds, in turn."""

    def __init__(
        self, plan: silence_plan.Plan, changes: tuple[Change, ...]
    ) -> None:
        self.counts_by_change = dict.fromkeys(changes, 0)
        self.between_count = 0
        self._changes = changes
        self._change_count = 0
        self._cancellation_count = 0
        self._version = 1
        super().__init__(plan)

    def play(self) -> None:
        """Play the whole plan."""
        self._after(
            2.0 + engine_day.SETTLE_SECONDS + _CHANGE_SECONDS,
            self._change_again,
        )
        super().play()

    def _change_again(self) -> None:
        if self.elapsed() > self.plan.seconds:
            return
        self._after(_CHANGE_SECONDS, self._change_again)
        self._change(self._rng.choice(list(self.entries)))

    def _apply(
        self, vm_id: model.VmId, effect: gateway_effects.GatewayEffect
    ) -> None:
        super()._apply(vm_id, effect)
        if not isinstance(effect, gateway_effects.CancelAttempt):
            return
        self._cancellation_count += 1
        if self._cancellation_count % _CANCELLATIONS_PER_CHANGE == 0:
            self.between_count += 1
            self._change(vm_id)

    def _change(self, vm_id: model.VmId) -> None:
        """Let the next change happen, as a VM learns of it."""
        change = self._changes[self._change_count % len(self._changes)]
        self._change_count += 1
        self.counts_by_change[change] += 1
        match change:
            case Change.CONFIGURATION:
                self._publish(vm_id)
            case Change.LIMIT:
                self._limit(vm_id)
            case Change.DEPARTURE:
                if self.counts_by_change[change] <= _MAX_DEPARTURES:
                    notice = catalog.EndpointNotice(is_leaving=True)
                    self._tell(vm_id, self._choose_first(), notice)
            case Change.BURST:
                for _ in range(_BURST_REQUESTS):
                    self._send(self._rng.choice(self.plan.kinds), vm_id, None)

    def _publish(self, vm_id: model.VmId) -> None:
        """Put a configuration in force, at a VM first and then everywhere."""
        self._version += 1
        document = catalog.encode(
            vary(self._make_configuration(), self._version)
        )
        self._exchange_id += 1
        self._handle_control(
            self.leader(),
            registrar_events.ConfigurationSubmitted(
                self._exchange_id, self._version, document
            ),
        )
        published = protocol.ConfigurationPublished(
            self._version, True, document
        )
        self._handle_entry(
            vm_id, protocol.PeerMessageReceived(self.seeds[0], published)
        )

    def _limit(self, vm_id: model.VmId) -> None:
        engine = self._choose_first()
        limited = catalog.EndpointNotice(request_limit=_LIMIT_PER_SECOND)
        self._tell(vm_id, engine, limited)
        self._after(
            _LIMIT_SECONDS,
            self._tell,
            vm_id,
            engine,
            catalog.EndpointNotice(),
        )

    def _choose_first(self) -> engine_day.Engine:
        """Return a first engine that is not silent."""
        return self._rng.choice(
            [
                engine
                for engine in self._engines.values()
                if engine.registration.layers is not None
                and not engine.registration.layers.first
                and not self._is_silent(engine)
            ]
        )

    def _tell(
        self,
        vm_id: model.VmId,
        engine: engine_day.Engine,
        notice: catalog.EndpointNotice,
    ) -> None:
        """Let a VM read what an engine says of itself."""
        metadata = _calls.AnswerMetadata(None, True, False, notice=notice)
        registration = engine.registration
        self._handle_entry(
            vm_id,
            gateway_events.AnswerHeadReceived(
                registration.endpoint_id, metadata, registration.incarnation
            ),
        )


def vary(
    configuration: catalog.Configuration, version: int
) -> catalog.Configuration:
    """Return a configuration that differs from those before it."""
    routes = configuration.routes
    customers = configuration.customers
    match version % 5:
        case 0:
            name = silence_routes.Kind.RESUMABLE.value
            routes = tuple(one for one in routes if one.name != name)
        case 1:
            timeout = datetime.timedelta(seconds=4)
            routes = tuple(
                msgspec.structs.replace(one, timeout=timeout, max_attempts=1)
                for one in routes
            )
        case 2:
            targets = configuration.routes[-1].targets
            routes = tuple(
                msgspec.structs.replace(one, targets=targets) for one in routes
            )
        case 3:
            customers = (catalog.Customer(model.CustomerId("d"), ("other",)),)
        case 4:
            routes += tuple(
                msgspec.structs.replace(
                    routes[0],
                    name=f"more-{number}",
                    path_prefix=f"/more-{number}/",
                )
                for number in range(_MANY_ROUTES)
            )
    return msgspec.structs.replace(
        configuration, version=version, routes=routes, customers=customers
    )
