"""The reducer of a gateway: every event in, every effect out."""

import datetime
import random

from sedgepin import _catalog as catalog
from sedgepin._gateway import _attempts
from sedgepin._gateway import _core
from sedgepin._gateway import _detours
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway import _load_exchange
from sedgepin._gateway import _requests
from sedgepin._gateway import _settings
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
        "_attempts",
        "_connected",
        "_controls",
        "_core",
        "_detours",
        "_is_draining",
        "_load_exchange",
        "_report_at",
        "_requests",
        "_started_at",
    )

    def __init__(
        self,
        cfg: _settings.GatewaySettings,
        rng: random.Random,
        now: datetime.datetime,
    ) -> None:
        self._core = _core.Core(cfg, rng)
        self._requests = _requests.Requests(self._core)
        self._attempts = _attempts.Attempts(self._core, self._requests)
        self._detours = _detours.Detours(self._core)
        self._started_at = now
        self._ask_at = now
        # Who told of a version that is newer than the one in force.
        self._ask_whom: model.VmId | None = None
        self._report_at = now
        self._load_exchange = _load_exchange.LoadExchange()
        self._controls: set[model.VmId] = set(cfg.controls)
        self._connected: set[model.VmId] = set()
        self._is_draining = False

    @property
    def is_ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        return self._core.table is not None and not self._is_draining

    @property
    def table(self) -> catalog.RouteTable | None:
        """Return the configuration in force here."""
        return self._core.table

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
                return self._requests.arrived(event, now)
            case _events.AttemptEnded():
                made = self._attempts.attempt_ended(event, now)
                return made + self._requests.serve_lines(now)
            case _events.OutputStarted(exchange_id):
                return self._requests.output_began(exchange_id, now)
            case _events.EndpointLoadReported(endpoint_id, marks):
                self._core.fleet.tell_load(endpoint_id, marks, now)
                return []
            case _events.StreamStalled(exchange_id):
                return self._detours.stalled(exchange_id, now)
            case _events.StallsInspected():
                return self._detours.inspected(event, now)
            case _events.Rerouted():
                return self._detours.rerouted(event, now)
            case _events.CallerDisconnected(exchange_id):
                return self._requests.caller_left(exchange_id, now)
            case _events.DeadlineReached(exchange_id):
                return self._requests.deadline_reached(exchange_id, now)
            case _events.SettingsReloaded(cfg):
                return self._meet(cfg.controls)
            case _events.TimerFired():
                return self._tick(now)
            case _events.DrainRequested():
                self._is_draining = True
                return [_core.log(events.PROCESS_DRAINING.line())]
            case protocol.PeerMessageArrived(sender, message):
                return self._message(sender, message, now)
            case protocol.PeerConnected(hello):
                self._connected.add(hello.id)
                self._load_exchange.reconnected(hello.id)
                return [_core.log(events.PEER_CONNECTED.line(peer=hello.id))]
            case protocol.PeerDisconnected(peer_id):
                self._connected.discard(peer_id)
                return [_core.log(events.PEER_DISCONNECTED.line(peer=peer_id))]
            case protocol.PeerRefused(address, failure):
                line = events.PEER_REFUSED.line(
                    address=address, failure=failure.detail()
                )
                return [_core.log(line)]

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
                self._core.budget.set_entry_count(entry_count)
                self._core.fleet.unseen.set_entry_count(entry_count)
                return self._meet(controls)
            case protocol.LoadSummed(loads, retries):
                if self._load_exchange.hear(sender, now):
                    self._core.fleet.take_sum(loads, now)
                    self._core.budget.take_sum(retries, now)
            case protocol.EndpointPaced(endpoint_id, incarnation, slowness):
                self._core.fleet.registry.set_slowdown(
                    endpoint_id, incarnation, slowness
                )
                self._core.fleet.note_change()
            case protocol.CrashWitnessed(fingerprint, endpoint_id, life):
                self._core.crashes.witness(fingerprint, endpoint_id, life, now)
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
        if self._core.table is None and not message.confirmed and not is_late:
            return []
        if self._core.table is not None:
            if message.version <= self._core.table.configuration.version:
                return []
        before = 0
        if self._core.table is not None:
            before = self._core.table.configuration.version
        configuration = catalog.decode(message.configuration)
        self._core.table = catalog.RouteTable(configuration)
        line = events.CONFIGURATION_IN_FORCE.line(
            version=configuration.version,
            before=before,
            confirmed=message.confirmed,
        )
        return [_core.log(line)]

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
        if self._core.table is None:
            return -1
        return self._core.table.configuration.version

    def _merge(
        self, message: protocol.RegistrationsSeen, now: datetime.datetime
    ) -> Effects:
        made: Effects = []
        registry = self._core.fleet.registry
        for endpoint_id in message.heard:
            registry.record_heartbeat(endpoint_id, now)
        for word in message.changed:
            known = registry.find(word.endpoint_id)
            before = None if known is None else known.registration
            if not registry.update(word, now):
                registry.correct_layers(
                    word.endpoint_id, word.incarnation, word.layers
                )
            self._core.fleet.note_change()
            if before is not None and before.incarnation != word.incarnation:
                made += self._detours.endpoint_died(word.endpoint_id, now)
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
        registry = self._core.fleet.registry
        if not registry.mark_lost(endpoint_id, incarnation, now):
            return []
        self._core.fleet.note_change()
        made = self._detours.endpoint_died(endpoint_id, now)
        return made + self._name_aboard(endpoint_id, incarnation, now)

    def _name_aboard(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> Effects:
        """Tell the other entries which requests an endpoint died running."""
        made: Effects = []
        named = self._core.crashes.died(endpoint_id, incarnation, now)
        for fingerprint in named if self._connected else ():
            message = protocol.CrashWitnessed(
                fingerprint, endpoint_id, incarnation
            )
            passing_on = min(self._connected)
            made.append(_effects.SendMessage(passing_on, message))
        return made

    def _tell_failed(self) -> Effects:
        """Tell the control VMs of endpoints that do not answer."""
        if not self._core.failed:
            return []
        made: Effects = []
        registry = self._core.fleet.registry
        for endpoint_id in dict.fromkeys(self._core.failed):
            known = registry.find(endpoint_id)
            if known is None or known.lost_at is not None:
                continue
            incarnation = known.registration.incarnation
            message = protocol.EndpointFailed(endpoint_id, incarnation)
            made += [
                _effects.SendMessage(one, message)
                for one in sorted(self._connected)
            ]
        self._core.failed.clear()
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
            asked = self._core.rng.choice(sorted(self._connected))
            if self._ask_whom in self._connected:
                asked = self._ask_whom
            self._ask_whom = None
            wanted = protocol.ConfigurationWanted(self._version())
            made.append(_effects.SendMessage(asked, wanted))
        if now >= self._report_at:
            made += self._report_load(now)
        return made + self._requests.serve_lines(now)

    def _report_load(self, now: datetime.datetime) -> Effects:
        """Report this VM's load to the VM that sums it for all entries."""
        summing = self._load_exchange.choose(self._connected, now)
        if summing is None:
            return []
        loads = self._core.fleet.own_loads()
        self._report_at = now + _load_exchange.REPORT_INTERVAL
        retries = self._core.budget.counts(now)
        message = protocol.LoadReported(loads, retries)
        return [_effects.SendMessage(summing, message)]
