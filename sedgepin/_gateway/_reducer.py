"""The reducer of a gateway: every event in, every effect out."""

import datetime
import random

from sedgepin import _catalog as catalog
from sedgepin._gateway import _aggregator_selector
from sedgepin._gateway import _attempt_handler
from sedgepin._gateway import _dispatcher
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway import _settings
from sedgepin._gateway import _shared_state
from sedgepin._gateway import _stream_failover
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import events

Effects = list[_effects.GatewayEffect]

# The configuration is asked for this often, in case a push was lost.
_ASK_INTERVAL = datetime.timedelta(seconds=1)
# A VM that is told of a newer version gives the control VMs of its own data
# centre this long to send it, before it asks across data centres.
_PUSH_TIME = datetime.timedelta(milliseconds=150)
# A VM that cannot reach a leader takes what any control VM holds after this
# long: older than the newest perhaps, but better than none.
_UNCONFIRMED_AFTER = datetime.timedelta(seconds=3)


class GatewayReducer:
    """All decisions of one entry VM that forwards to registered endpoints.

    >>> reducer = GatewayReducer(cfg, random.Random(1), now)
    >>> reducer.handle(RequestArrived(1, request), now)
    [StartAttempt(...), ...]
    """

    __slots__ = (
        "_ask_at",
        "_ask_whom",
        "_attempt_handler",
        "_connected",
        "_controls",
        "_state",
        "_stream_failover",
        "_is_draining",
        "_aggregator_selector",
        "_report_at",
        "_dispatcher",
        "_started_at",
    )

    def __init__(
        self,
        cfg: _settings.GatewaySettings,
        rng: random.Random,
        now: datetime.datetime,
    ) -> None:
        self._state = _shared_state.Core(cfg, rng)
        self._dispatcher = _dispatcher.Requests(self._state)
        self._attempt_handler = _attempt_handler.Attempts(
            self._state, self._dispatcher
        )
        self._stream_failover = _stream_failover.Detours(self._state)
        self._started_at = now
        self._ask_at = now
        # Who told of a version that is newer than the one in force.
        self._ask_whom: model.VmId | None = None
        self._report_at = now
        self._aggregator_selector = _aggregator_selector.LoadExchange()
        self._controls: set[model.VmId] = set(cfg.controls)
        self._connected: set[model.VmId] = set()
        self._is_draining = False

    @property
    def is_ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        return self._state.table is not None and not self._is_draining

    @property
    def table(self) -> catalog.RouteTable | None:
        """Return the configuration in force here."""
        return self._state.table

    def handle(
        self, event: _events.GatewayEvent, now: datetime.datetime
    ) -> Effects:
        """Take in one event and return what is to be done, in order."""
        return self._handle(event, now) + self._tell_failed()

    def _handle(
        self, event: _events.GatewayEvent, now: datetime.datetime
    ) -> Effects:
        match event:
            case _events.RequestArrived():
                return self._dispatcher.arrived(event, now)
            case _events.AttemptEnded():
                made = self._attempt_handler.attempt_ended(event, now)
                return made + self._dispatcher.serve_lines(now)
            case _events.OutputStarted(exchange_id):
                return self._dispatcher.output_began(exchange_id, now)
            case _events.EndpointLoadReported(endpoint_id, marks):
                self._state.fleet.tell_load(endpoint_id, marks, now)
                return []
            case _events.StreamStalled(exchange_id):
                return self._stream_failover.stalled(exchange_id, now)
            case _events.StallsInspected():
                return self._stream_failover.inspected(event, now)
            case _events.Rerouted():
                return self._stream_failover.rerouted(event, now)
            case _events.CallerDisconnected(exchange_id):
                return self._dispatcher.caller_left(exchange_id, now)
            case _events.DeadlineReached(exchange_id):
                return self._dispatcher.deadline_reached(exchange_id, now)
            case _events.SettingsReloaded(cfg):
                return self._meet(cfg.controls)
            case _events.TimerFired():
                return self._tick(now)
            case _events.DrainRequested():
                self._is_draining = True
                return [_shared_state.log(events.PROCESS_DRAINING.line())]
            case protocol.PeerMessageReceived(sender, message):
                return self._message(sender, message, now)
            case protocol.PeerConnected(hello):
                self._connected.add(hello.id)
                self._aggregator_selector.reconnected(hello.id)
                return [
                    _shared_state.log(
                        events.PEER_CONNECTED.line(peer=hello.id)
                    )
                ]
            case protocol.PeerDisconnected(peer_id):
                self._connected.discard(peer_id)
                return [
                    _shared_state.log(
                        events.PEER_DISCONNECTED.line(peer=peer_id)
                    )
                ]
            case protocol.PeerRefused(address, failure):
                line = events.PEER_REFUSED.line(
                    address=address, failure=failure.detail()
                )
                return [_shared_state.log(line)]

    # What control VMs tell.

    def _message(
        self,
        sender: model.VmId,
        message: protocol.PeerMessage,
        now: datetime.datetime,
    ) -> Effects:
        match message:
            case protocol.ConfigurationPublished(configuration=b""):
                self._note_version(sender, message, now)
            case protocol.ConfigurationPublished():
                return self._follow(message, now)
            case protocol.RegistrationsSeen():
                return self._merge(message, now)
            case protocol.ControlsKnown(controls, entry_count):
                self._state.budget.set_entry_count(entry_count)
                self._state.fleet.unseen.set_entry_count(entry_count)
                return self._meet(controls)
            case protocol.LoadSummed(loads, retries):
                if self._aggregator_selector.hear(sender, now):
                    self._state.fleet.take_sum(loads, now)
                    self._state.budget.take_sum(retries, now)
            case protocol.EndpointPaced(endpoint_id, incarnation, slowness):
                self._state.fleet.registry.set_slowdown(
                    endpoint_id, incarnation, slowness
                )
                self._state.fleet.note_change()
            case protocol.CrashWitnessed(fingerprint, endpoint_id, life):
                self._state.crashes.witness(
                    fingerprint, endpoint_id, life, now
                )
            case protocol.EndpointLost(endpoint_id, incarnation):
                return self._lose(endpoint_id, incarnation, now)
        return []

    def _follow(
        self,
        message: protocol.ConfigurationPublished,
        now: datetime.datetime,
    ) -> Effects:
        """Follow a newer configuration, never an older one."""
        is_late = now - self._started_at >= _UNCONFIRMED_AFTER
        if self._state.table is None and not message.confirmed and not is_late:
            return []
        if self._state.table is not None:
            if message.version <= self._state.table.configuration.version:
                return []
        before = 0
        if self._state.table is not None:
            before = self._state.table.configuration.version
        configuration = catalog.decode(message.configuration)
        self._state.table = catalog.RouteTable(configuration)
        line = events.CONFIGURATION_IN_FORCE.line(
            version=configuration.version,
            before=before,
            confirmed=message.confirmed,
        )
        return [_shared_state.log(line)]

    def _note_version(
        self,
        sender: model.VmId,
        message: protocol.ConfigurationPublished,
        now: datetime.datetime,
    ) -> None:
        """Ask for a newer configuration soon, unless it comes by itself."""
        if message.version <= max(0, self._version()):
            return
        if message.confirmed or self._ask_whom is None:
            self._ask_whom = sender
        self._ask_at = min(self._ask_at, now + _PUSH_TIME)

    def _version(self) -> int:
        """Return the version in force, or -1 without one."""
        if self._state.table is None:
            return -1
        return self._state.table.configuration.version

    def _merge(
        self, message: protocol.RegistrationsSeen, now: datetime.datetime
    ) -> Effects:
        made: Effects = []
        registry = self._state.fleet.registry
        for endpoint_id in message.heard:
            registry.record_heartbeat(endpoint_id, now)
        for word in message.changed:
            known = registry.find(word.endpoint_id)
            before = None if known is None else known.registration
            if not registry.update(word, now):
                registry.correct_layers(
                    word.endpoint_id, word.incarnation, word.layers
                )
            self._state.fleet.note_change()
            if before is not None and before.incarnation != word.incarnation:
                made += self._stream_failover.endpoint_died(
                    word.endpoint_id, now
                )
                made += self._name_aboard(
                    word.endpoint_id, before.incarnation, now
                )
        return made

    def _lose(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> Effects:
        """Use an endpoint no more that the leader cannot reach either."""
        registry = self._state.fleet.registry
        if not registry.mark_lost(endpoint_id, incarnation, now):
            return []
        self._state.fleet.note_change()
        made = self._stream_failover.endpoint_died(endpoint_id, now)
        return made + self._name_aboard(endpoint_id, incarnation, now)

    def _name_aboard(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> Effects:
        """Tell the other entries which requests an endpoint died running."""
        made: Effects = []
        named = self._state.crashes.died(endpoint_id, incarnation, now)
        for fingerprint in named if self._connected else ():
            message = protocol.CrashWitnessed(
                fingerprint, endpoint_id, incarnation
            )
            passing_on = min(self._connected)
            made.append(_effects.SendMessage(passing_on, message))
        return made

    def _tell_failed(self) -> Effects:
        """Tell the control VMs of endpoints that do not answer."""
        if not self._state.failed:
            return []
        made: Effects = []
        registry = self._state.fleet.registry
        for endpoint_id in dict.fromkeys(self._state.failed):
            known = registry.find(endpoint_id)
            if known is None or known.lost_at is not None:
                continue
            incarnation = known.registration.incarnation
            message = protocol.EndpointFailed(endpoint_id, incarnation)
            made += [
                _effects.SendMessage(one, message)
                for one in sorted(self._connected)
            ]
        self._state.failed.clear()
        return made

    def _meet(self, controls: tuple[model.VmId, ...]) -> Effects:
        """Note control VMs, and dial those that are new."""
        new = set(controls) - self._controls
        self._controls |= new
        return [_effects.DialPeer(one) for one in sorted(new)]

    def _tick(self, now: datetime.datetime) -> Effects:
        made: Effects = []
        if now >= self._ask_at and self._connected:
            self._ask_at = now + _ASK_INTERVAL
            asked = self._state.rng.choice(sorted(self._connected))
            if self._ask_whom in self._connected:
                asked = self._ask_whom
            self._ask_whom = None
            wanted = protocol.ConfigurationWanted(self._version())
            made.append(_effects.SendMessage(asked, wanted))
        if now >= self._report_at:
            made += self._report_load(now)
        return made + self._dispatcher.serve_lines(now)

    def _report_load(self, now: datetime.datetime) -> Effects:
        """Report this VM's load to the VM that sums it for all entries."""
        summing = self._aggregator_selector.choose(self._connected, now)
        if summing is None:
            return []
        loads = self._state.fleet.own_loads()
        self._report_at = now + _aggregator_selector.REPORT_INTERVAL
        retries = self._state.budget.counts(now)
        message = protocol.LoadReported(loads, retries)
        return [_effects.SendMessage(summing, message)]
