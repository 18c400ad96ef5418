"""The endpoints that register, leave, die and hold layers."""

import datetime

from sedgepin import _catalog as catalog
from sedgepin import _consensus as consensus
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin._registrar import _failures
from sedgepin._registrar import _layer_orders
from sedgepin._registrar import _peers
from sedgepin._registrar import _report_schedule
from sedgepin._registrar import _settings
from sedgepin import events

Effects = list[_effects.RegistrarEffect]

# What was heard of endpoints is told to peers this often; what changed is
# told at once.
_HEARD_INTERVAL = datetime.timedelta(milliseconds=500)
# Several entries lose an endpoint at the same moment; one check serves all.
_CHECK_INTERVAL = datetime.timedelta(milliseconds=500)
# An engine that became this much slower or faster is worth a message.
_SLOWNESS_STEP = 1.2


class Endpoints:
    """What this VM knows of endpoints, tells of them and orders them to do."""

    __slots__ = (
        "_cfg",
        "_checked_at",
        "_heard",
        "_heard_at",
        "_peers",
        "_raft",
        "_reports",
        "_told_by",
        "orders",
        "registry",
    )

    def __init__(
        self,
        cfg: _settings.RegistrarSettings,
        peers: _peers.Peers,
        raft: consensus.RaftNode,
        now: datetime.datetime,
    ) -> None:
        self._cfg = cfg
        self._peers = peers
        self._raft = raft
        self.registry = catalog.Registry()
        self.orders = _layer_orders.LayerOrders()
        self._heard: set[model.EndpointId] = set()
        self._heard_at = now
        self._checked_at: dict[model.EndpointId, datetime.datetime] = {}
        self._told_by: dict[model.EndpointId, model.VmId] = {}
        self._reports = _report_schedule.ReportSchedule()

    def tick(
        self, table: catalog.RouteTable | None, now: datetime.datetime
    ) -> Effects:
        """Tell peers what was heard, and give the orders that are due."""
        made: Effects = []
        if now - self._heard_at >= _HEARD_INTERVAL:
            self._heard_at = now
            self.registry.remove_expired(self._cfg.heartbeat_timeout, now)
            made += self._tell_heard()
        if self._raft.holds_lease(now):
            live = self.live(now)
            made += self.orders.tick(live, table, self._raft.term, now)
            made += self._ask_for_reports(live, table, now)
        return made

    def _ask_for_reports(
        self,
        live: list[catalog.Registration],
        table: catalog.RouteTable | None,
        now: datetime.datetime,
    ) -> Effects:
        """Ask the engines that are due how slow they are."""
        if table is None:
            return []
        engines = [one for one in live if _runs_model(one, table)]
        return [
            _effects.InspectEngine(
                one.endpoint_id, one.incarnation, one.address
            )
            for one in self._reports.due(engines, now)
        ]

    def _note_slowness(
        self,
        event: _events.EngineInspected,
        known: catalog.EndpointRecord,
    ) -> Effects:
        """Tell everyone of an engine that became slow, or fast again."""
        if event.report is None:
            return []
        # None is taken to be faster than its kind, whatever it reports: work
        # would rush to an engine that takes no time.
        before, after = known.slowdown, max(1.0, event.report.slowdown)
        is_news = max(before, after) / min(before, after) >= _SLOWNESS_STEP
        if not is_news or known.registration.incarnation != event.incarnation:
            return []
        known.slowdown = after
        line = events.ENDPOINT_PACED.line(
            endpoint=event.endpoint_id,
            incarnation=event.incarnation,
            slowness=after,
            before=before,
        )
        message = protocol.EndpointPaced(
            event.endpoint_id, event.incarnation, after
        )
        return [_effects.WriteLog(line), *self._peers.tell_all(message)]

    def slow_ones(self) -> list[protocol.EndpointPaced]:
        """Return what a peer must be told that has just connected."""
        return [
            protocol.EndpointPaced(
                known.registration.endpoint_id,
                known.registration.incarnation,
                known.slowdown,
            )
            for known in self.registry
            if known.slowdown != 1.0
        ]

    def live(self, now: datetime.datetime) -> list[catalog.Registration]:
        """Return the endpoints that were heard of lately."""
        gone = catalog.EndpointState.GONE
        return [
            known.registration
            for known in self.registry
            if known.registration.state is not gone
            and known.is_live(self._cfg.heartbeat_timeout, now)
        ]

    def register(
        self, event: _events.EndpointRegistered, now: datetime.datetime
    ) -> Effects:
        """Take in an endpoint's word; acknowledge it once peers are told."""
        word = event.registration
        leaves = word.state is not catalog.EndpointState.READY
        if leaves and self._raft.leader_id is None:
            # A VM that is cut off cannot tell the entries, so the endpoint
            # must find another one that can.
            failure = _failures.NoQuorum()
            return [_effects.Refuse(event.exchange_id, failure)]
        self._heard.add(word.endpoint_id)
        made: Effects = []
        if self.registry.update(word, now):
            made += self._tell_changed(word)
        return [*made, _effects.Acknowledge(event.exchange_id)]

    def leave(
        self, event: _events.EndpointLeft, now: datetime.datetime
    ) -> Effects:
        """Take in an endpoint's farewell."""
        if self._raft.leader_id is None:
            failure = _failures.NoQuorum()
            return [_effects.Refuse(event.exchange_id, failure)]
        made: Effects = []
        word = self.registry.mark_gone(event.endpoint_id, now)
        if word is not None:
            made += self._tell_changed(word)
        return [*made, _effects.Acknowledge(event.exchange_id)]

    def _tell_changed(self, word: catalog.Registration) -> Effects:
        """Tell every peer of a change, and log it."""
        line = events.ENDPOINT_CHANGED.line(
            endpoint=word.endpoint_id,
            incarnation=word.incarnation,
            sequence=word.sequence,
            state=word.state.value,
            address=word.address,
            layers=_layer_orders.shown(word.layers),
        )
        message = protocol.RegistrationsSeen(changed=(word,))
        return [_effects.WriteLog(line), *self._peers.tell_all(message)]

    def _tell_heard(self) -> Effects:
        if not self._heard:
            return []
        message = protocol.RegistrationsSeen(heard=tuple(sorted(self._heard)))
        self._heard.clear()
        return self._peers.tell_all(message)

    def merge(
        self, message: protocol.RegistrationsSeen, now: datetime.datetime
    ) -> Effects:
        """Take in what another control VM heard of endpoints."""
        for endpoint_id in message.heard:
            self.registry.record_heartbeat(endpoint_id, now)
        news = tuple(
            word for word in message.changed if self.registry.update(word, now)
        )
        if not news:
            return []
        passed_on = protocol.RegistrationsSeen(changed=news)
        return self._peers.pass_on(passed_on)

    def check(
        self,
        sender: model.VmId,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> Effects:
        """See for oneself whether an endpoint that an entry lost answers."""
        known = self.registry.find(endpoint_id)
        if known is None or known.registration.incarnation != incarnation:
            return []
        if not self._raft.holds_lease(now) or known.lost_at is not None:
            return []
        checked_at = self._checked_at.get(endpoint_id)
        if checked_at is not None and now - checked_at < _CHECK_INTERVAL:
            return []
        self._checked_at[endpoint_id] = now
        self._told_by[endpoint_id] = sender
        address = known.registration.address
        return [_effects.InspectEngine(endpoint_id, incarnation, address)]

    def _lose(
        self, event: _events.EngineInspected, now: datetime.datetime
    ) -> Effects:
        """Tell everyone that an endpoint which was checked is lost."""
        told_by = self._told_by.pop(event.endpoint_id, None)
        if told_by is None or event.has_answered:
            return []
        if not self.registry.mark_lost(
            event.endpoint_id, event.incarnation, now
        ):
            return []
        line = events.ENDPOINT_FAILED.line(
            endpoint=event.endpoint_id,
            incarnation=event.incarnation,
            told_by=told_by,
        )
        lost = protocol.EndpointLost(event.endpoint_id, event.incarnation)
        return [_effects.WriteLog(line), *self._peers.tell_all(lost)]

    def inspected(
        self, event: _events.EngineInspected, now: datetime.datetime
    ) -> Effects:
        """Take in an endpoint's report, or that it does not answer."""
        known = self.registry.find(event.endpoint_id)
        if known is None or not self._raft.holds_lease(now):
            return []
        made = self._lose(event, now) + self._note_slowness(event, known)
        if event.report is not None and not event.report.is_busy:
            news = self.registry.correct_layers(
                event.endpoint_id, event.incarnation, event.report.layers
            )
            if news is not None:
                made += self._tell_changed(news)
        word = known.registration
        token = self._raft.term
        return made + self.orders.inspected(event, word, token, now)


def _runs_model(word: catalog.Registration, table: catalog.RouteTable) -> bool:
    """Tell whether an endpoint runs a part of a model."""
    service = table.service(word.service)
    return service is not None and service.engine is not None
