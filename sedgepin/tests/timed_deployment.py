"""A deployment whose messages, ticks and other actions are due at instants.

Endpoints and callers are emulated by its subclasses.
"""

import abc
import collections.abc
import dataclasses
import datetime
import functools
import heapq
import itertools
import typing

from sedgepin import _catalog as catalog
from sedgepin._gateway import _events as gateway_events
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _effects as registrar_effects
from sedgepin._registrar import _events as registrar_events
from sedgepin.tests import deployment

_TICK_SECONDS = 0.05
_MESSAGE_SECONDS = 0.003
ENGINE_SECONDS = 0.002
# How long a control VM waits for the answer to a call.
_REGISTRAR_CALL_SECONDS = 1.0


@dataclasses.dataclass(slots=True, frozen=True, eq=False)
class _Due:
    """Something to do at an instant; ``order`` breaks ties."""

    at: datetime.datetime
    order: int
    action: collections.abc.Callable[[], None]

    def __lt__(self, other: "_Due") -> bool:
        return (self.at, self.order) < (other.at, other.order)


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """When a VM's call of an endpoint ends, and which process answers it.

    ``is_silent`` is set if nothing answers, and nothing refuses it either.
    """

    seconds: float
    answered_by: catalog.Registration | None
    is_silent: bool = False


class TimedDeployment(deployment.Deployment, abc.ABC):
    """Plays the reducers of a deployment on a timeline of actions."""

    def __init__(
        self, entry_count: int, control_count: int, data_centre_count: int
    ) -> None:
        self._timeline: list[_Due] = []
        self._order = itertools.count()
        super().__init__(entry_count, control_count, 0, data_centre_count)
        self._starts_at = self.now

    def run(self, seconds: float) -> None:
        """Advance the clock and process what is due."""
        end = self.now + datetime.timedelta(seconds=seconds)
        while self._timeline and self._timeline[0].at <= end:
            due = heapq.heappop(self._timeline)
            self.now = due.at
            due.action()
            self._deliver()
        self.now = end

    def elapsed(self) -> float:
        """Return the seconds since the day's start."""
        return (self.now - self._starts_at).total_seconds()

    def _start_day(self, settle_seconds: float) -> None:
        """Let the VMs start and publish routes; the day starts after it."""
        self.run(2.0)
        self._exchange_id += 1
        document = catalog.encode(self._make_configuration())
        self._handle_control(
            self.leader(),
            registrar_events.ConfigurationSubmitted(
                self._exchange_id, 1, document
            ),
        )
        self.run(settle_seconds)
        self._starts_at = self.now

    def _make_configuration(self) -> catalog.Configuration:
        return parts.make_configuration(1)

    def _after(
        self,
        seconds: float,
        action: collections.abc.Callable[..., None],
        *arguments: typing.Any,
    ) -> None:
        at = self.now + datetime.timedelta(seconds=seconds)
        bound = functools.partial(action, *arguments)
        heapq.heappush(self._timeline, _Due(at, next(self._order), bound))

    def _tick(self) -> None:
        self._after(_TICK_SECONDS, self._tick)
        self._redial()
        for vm_id in self.controls:
            self._handle_control(vm_id, registrar_events.TimerFired())
        for vm_id in self.entries:
            self._handle_entry(vm_id, gateway_events.TimerFired())
        self._send_heartbeats()

    def _deliver(self) -> None:
        while self._in_transit:
            sender, recipient, message = self._in_transit.popleft()
            self._after(
                _MESSAGE_SECONDS, self._receive, sender, recipient, message
            )

    def _receive(
        self,
        sender: model.VmId,
        recipient: model.VmId,
        message: protocol.PeerMessage,
    ) -> None:
        if frozenset((sender, recipient)) not in self._links:
            return
        self.counts[type(message).__name__] += 1
        self._record_message(message)
        self._handle(recipient, protocol.PeerMessageReceived(sender, message))

    @abc.abstractmethod
    def _record_message(self, message: protocol.PeerMessage) -> None:
        """Take note of a message that is being delivered."""

    def _handle_control(
        self, vm_id: model.VmId, event: registrar_events.RegistrarEvent
    ) -> None:
        if vm_id in self.stopped:
            return
        for effect in self._carry_out(vm_id, event):
            if isinstance(effect, registrar_effects.InspectEngine):
                self._inspect_engine(vm_id, effect)

    def _inspect_engine(
        self, vm_id: model.VmId, effect: registrar_effects.InspectEngine
    ) -> None:
        call = self._call(effect.address, _REGISTRAR_CALL_SECONDS)
        registration = call.answered_by
        has_answered = (
            registration is not None
            and registration.endpoint_id == effect.endpoint_id
        )
        report = None
        if registration is not None and has_answered:
            report = registrar_events.EngineReport(
                registration.incarnation, registration.layers, False, 0
            )
        inspected = registrar_events.EngineInspected(
            effect.endpoint_id,
            effect.incarnation,
            report,
            has_answered,
            call.is_silent,
            effect.is_check,
            effect.is_repeated,
        )
        self._after(call.seconds, self._handle_control, vm_id, inspected)

    def _call(self, address: str, limit_seconds: float) -> Call:
        """Return how a VM's call of an endpoint ends."""
        return Call(ENGINE_SECONDS, self._find_running(address))

    @abc.abstractmethod
    def _find_running(self, address: str) -> catalog.Registration | None:
        """Return the endpoint that runs at an address, if there is one."""
