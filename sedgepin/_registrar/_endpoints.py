"""Registration, failure detection and layer orders of endpoints."""

import datetime

from sedgepin import _catalog as catalog
from sedgepin import _consensus as consensus
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _rate_limits as rate_limits
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin._registrar import _failures
from sedgepin._registrar import _layer_orders
from sedgepin._registrar import _peers
from sedgepin._registrar import _registration_relay
from sedgepin._registrar import _report_schedule
from sedgepin._registrar import _settings
from sedgepin._registrar import _silent_losses
from sedgepin import events

Effects = list[_effects.RegistrarEffect]

_REMOVAL_INTERVAL = datetime.timedelta(seconds=1)
# Several entry VMs report a failed endpoint at about the same time; a single
# check, or a single message to the leader, serves all of them.
_CHECK_INTERVAL = datetime.timedelta(milliseconds=500)
# Changes of an engine's slowdown by a smaller ratio are not sent to peers.
_SLOWDOWN_RATIO_MIN = 1.2
# An engine that is this slow is of no use; larger factors may overflow.
_MAX_SLOWDOWN = 1e6


class EndpointManager:
    """The endpoints known to this VM, and the messages and orders about them.

    Every control VM accepts registrations and relays them to its peers, and
    requests the reports of the engines in its data centre.  Only the leader
    checks endpoints that entry VMs reported, and orders layers.
    """

    __slots__ = (
        "_cfg",
        "_checked_at",
        "_peers",
        "_raft",
        "_relay",
        "_removed_at",
        "_reported_by",
        "_reports",
        "_restrictions",
        "_silent_losses",
        "orders",
        "registry",
        "request_limits",
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
        self.request_limits = rate_limits.RequestLimits()
        self.orders = _layer_orders.LayerOrders()
        self._relay = _registration_relay.RegistrationRelay(peers, now)
        self._removed_at = now
        self._checked_at: dict[model.EndpointId, datetime.datetime] = {}
        self._reported_by: dict[model.EndpointId, model.VmId] = {}
        self._reports = _report_schedule.ReportSchedule()
        self._restrictions = catalog.EndpointRestrictions()
        self._silent_losses = _silent_losses.SilentLossChecks(
            self.registry, self._restrictions, peers
        )

    def gain_leadership(self, now: datetime.datetime) -> None:
        """Start to check endpoints and to order layers."""
        self.orders.start_leading(now)

    def lose_leadership(self) -> None:
        """Leave checks and orders to another VM."""
        self.orders.stop_leading()
        self._reported_by.clear()

    def tick(
        self, table: catalog.RouteTable | None, now: datetime.datetime
    ) -> Effects:
        """Relay heartbeats and request reports; as leader, send orders too."""
        if now - self._removed_at >= _REMOVAL_INTERVAL:
            self._removed_at = now
            self.registry.remove_expired(self._cfg.heartbeat_timeout, now)
            rate_limits.remove_ended(
                self.request_limits, self.registry.is_past
            )
            self._checked_at = {
                endpoint_id: checked_at
                for endpoint_id, checked_at in self._checked_at.items()
                if now - checked_at < _CHECK_INTERVAL
            }
        effects = self._relay.tick(now)
        live = self.live_registrations(now)
        paused = {
            registration.endpoint_id
            for registration in live
            if self._restrictions.paused_until(
                registration.endpoint_id, registration.incarnation, now
            )
        }
        is_leader = self._raft.holds_lease(now)
        if is_leader:
            silent = self.registry.silent()
            effects += self._silent_losses.start_due(silent, now)
            # They keep their layers until they are proven to have ended, or
            # do not answer a second check.
            kept = [
                record.registration
                for record in silent
                if now - record.last_seen_at <= self._cfg.heartbeat_timeout
                and not self._silent_losses.is_still_silent(
                    record.registration.endpoint_id
                )
            ]
            waiting = paused.union(engine.endpoint_id for engine in kept)
            effects += self.orders.tick(
                live + kept, table, self._raft.term, now, waiting
            )
        return effects + self._request_reports(
            [engine for engine in live if engine.endpoint_id not in paused],
            table,
            is_leader,
            now,
        )

    def _request_reports(
        self,
        live: list[catalog.Registration],
        table: catalog.RouteTable | None,
        is_leader: bool,
        now: datetime.datetime,
    ) -> Effects:
        """Request the reports of this VM's engines that are due."""
        if table is None:
            return []
        engines = [
            registration
            for registration in live
            if _runs_model(registration, table)
            and self._peers.is_responsible(
                registration.data_centre, registration.endpoint_id, is_leader
            )
        ]
        return [
            _effects.InspectEngine(
                engine.endpoint_id, engine.incarnation, engine.address
            )
            for engine in self._reports.due(engines, now)
        ]

    def _update_slowdown(
        self,
        event: _events.EngineInspected,
        record: catalog.EndpointRecord,
    ) -> Effects:
        """Store an engine's slowdown; send it to peers if it has changed."""
        if event.report is None:
            return []
        # An engine is never considered faster than its accelerator type, even
        # if it reports a slowdown below 1, because an engine that seems to
        # need no time would attract all requests.
        before = record.slowdown
        after = min(max(1.0, event.report.slowdown), _MAX_SLOWDOWN)
        has_changed = (
            max(before, after) / min(before, after) >= _SLOWDOWN_RATIO_MIN
        )
        if (
            not has_changed
            or record.registration.incarnation != event.incarnation
        ):
            return []
        record.slowdown = after
        line = events.ENDPOINT_PACED.line(
            endpoint=event.endpoint_id,
            incarnation=event.incarnation,
            slowness=after,
            before=before,
        )
        message = protocol.EndpointPaced(
            event.endpoint_id, event.incarnation, after
        )
        return [_effects.WriteLog(line), *self._peers.send_to_all(message)]

    def slowdown_messages(self) -> list[protocol.EndpointPaced]:
        """Return the slowdown messages for a peer that has just connected."""
        return [
            protocol.EndpointPaced(
                record.registration.endpoint_id,
                record.registration.incarnation,
                record.slowdown,
            )
            for record in self.registry
            if record.slowdown != 1.0
        ]

    def registrations_message(self) -> protocol.RegistrationsSeen:
        """Return the registrations, for a peer that has just connected."""
        lost = tuple(
            record.registration
            for record in self.registry
            if record.lost_at is not None
        )
        others = tuple(
            record.registration
            for record in self.registry
            if record.lost_at is None
        )
        return protocol.RegistrationsSeen(others, lost=lost)

    def leaving_messages(self) -> list[protocol.EndpointLeaving]:
        """Return what a peer that has just connected must know.

        An endpoint that has said in an answer that it leaves may still
        register as ready.
        """
        return [
            protocol.EndpointLeaving(
                record.registration.endpoint_id,
                record.registration.incarnation,
            )
            for record in self.registry
            if record.is_leaving
        ]

    def live_registrations(
        self, now: datetime.datetime
    ) -> list[catalog.Registration]:
        """Return the registrations of all live endpoints that are not gone."""
        gone = catalog.EndpointState.GONE
        return [
            record.registration
            for record in self.registry
            if record.registration.state is not gone
            and record.is_live(self._cfg.heartbeat_timeout, now)
        ]

    def register(
        self,
        event: _events.EndpointRegistered,
        table: catalog.RouteTable | None,
        now: datetime.datetime,
    ) -> Effects:
        """Merge a registration and send it to all peers if it is a change.

        The acknowledgement follows these messages, so that entry VMs learn of
        a draining endpoint before it is acknowledged.  Without a leader, the
        registration of an endpoint that is not ready fails with ``NoQuorum``.
        One that would displace a configured service's endpoint by one of a
        service that is not configured is ignored.
        """
        registration = event.registration
        is_leaving = registration.state is not catalog.EndpointState.READY
        if is_leaving and self._raft.leader_id is None:
            # An isolated VM cannot reach the entry VMs, so the endpoint must
            # retry at another control VM.
            failure = _failures.NoQuorum()
            return [_effects.RespondWithFailure(event.exchange_id, failure)]
        displaced = self._find_displaced(registration, table)
        if displaced is not None:
            line = events.REGISTRATION_IGNORED.line(
                endpoint=registration.endpoint_id,
                service=registration.service,
                address=registration.address,
                displaced=displaced.endpoint_id,
            )
            acknowledgement = _effects.Acknowledge(event.exchange_id)
            return [_effects.WriteLog(line), acknowledgement]
        self._relay.add_heartbeat(registration.endpoint_id)
        effects: Effects = []
        if self.registry.update(registration, now):
            effects += self._broadcast_change(registration, now)
        return [*effects, _effects.Acknowledge(event.exchange_id)]

    def _find_displaced(
        self,
        registration: catalog.Registration,
        table: catalog.RouteTable | None,
    ) -> catalog.Registration | None:
        """Return the endpoint that a stray registration would displace.

        One that has left or failed may be about to start again, with a start
        that counts as earlier.  An endpoint of a service that is about to be
        configured registers again when it is.  A VM that has just started may
        know no service yet.
        """
        service = registration.service
        if table is not None and table.service(service) is not None:
            return None
        records = (
            self.registry.find(registration.endpoint_id),
            self.registry.at_address(registration.address),
        )
        for record in records:
            if (
                record is not None
                and record.registration.service != service
                and (
                    table is None
                    or table.service(record.registration.service) is not None
                )
            ):
                return record.registration
        return None

    def deregister(
        self, event: _events.EndpointLeft, now: datetime.datetime
    ) -> Effects:
        """Deregister an endpoint, and send the change to all peers.

        It may have registered elsewhere, and be unknown here.
        """
        if self._raft.leader_id is None:
            failure = _failures.NoQuorum()
            return [_effects.RespondWithFailure(event.exchange_id, failure)]
        effects: Effects = []
        registration = self.registry.mark_gone(event.endpoint_id, now)
        if registration is not None:
            effects += self._broadcast_change(registration, now)
        else:
            message = protocol.EndpointDeregistered(event.endpoint_id)
            effects += self._peers.send_to_all(message)
        return [*effects, _effects.Acknowledge(event.exchange_id)]

    def record_deregistration(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> Effects:
        """Deregister an endpoint for a control VM that did not know it."""
        record = self.registry.find(endpoint_id)
        if record is None:
            message = protocol.EndpointDeregistered(endpoint_id)
            return self._peers.send_to_entries(message)
        if record.registration.state is catalog.EndpointState.GONE:
            return []
        registration = self.registry.mark_gone(endpoint_id, now)
        assert registration is not None
        return self._broadcast_change(registration, now)

    def _broadcast_change(
        self, registration: catalog.Registration, now: datetime.datetime
    ) -> Effects:
        """Log a changed registration and send it to all peers soon."""
        line = events.ENDPOINT_CHANGED.line(
            endpoint=registration.endpoint_id,
            incarnation=registration.incarnation,
            sequence=registration.sequence,
            state=registration.state.value,
            address=registration.address,
            layers=_layer_orders.format_layers(registration.layers),
        )
        changes = self._relay.add_change(registration, now)
        return [_effects.WriteLog(line), *changes]

    def merge(
        self, message: protocol.RegistrationsSeen, now: datetime.datetime
    ) -> Effects:
        """Merge the heartbeats and registrations that a control VM relayed.

        Changes are forwarded to the entry VMs of this VM.  That an endpoint
        leaves is forwarded to all that are connected, because nothing may be
        sent there soon after its acknowledgement.
        """
        for endpoint_id in message.heard:
            self.registry.record_heartbeat(endpoint_id, now)
        self._relay.add_relayed_heartbeats(message.heard)
        staying: list[catalog.Registration] = []
        leaving: list[catalog.Registration] = []
        for registration in message.changed:
            if not self._merge_registration(registration, now):
                continue
            is_ready = registration.state is catalog.EndpointState.READY
            (staying if is_ready else leaving).append(registration)
        for registration in message.lost:
            self.registry.update_lost(registration, now)
        effects: Effects = []
        if leaving:
            effects += self._peers.send_to_entries(
                protocol.RegistrationsSeen(changed=tuple(leaving))
            )
        if staying:
            effects += self._peers.forward_to_own_entries(
                protocol.RegistrationsSeen(changed=tuple(staying))
            )
        return effects

    def _merge_registration(
        self, registration: catalog.Registration, now: datetime.datetime
    ) -> bool:
        """Merge a relayed registration; return whether it was a change.

        One that repeats the latest one with other layers is a correction by
        the engine's own report.
        """
        if self.registry.update(registration, now, is_relayed=True):
            return True
        record = self.registry.find(registration.endpoint_id)
        if (
            record is None
            or record.registration.ordering_key != registration.ordering_key
        ):
            return False
        corrected = self.registry.correct_layers(
            registration.endpoint_id,
            registration.incarnation,
            registration.layers,
        )
        return corrected is not None

    def check_endpoint(
        self,
        sender: model.VmId,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> Effects:
        """Check an endpoint that an entry VM reported as failed.

        Only the leader checks, each endpoint at most every 0.5 s.  Other
        control VMs pass the report on to it.
        """
        record = self.registry.find(endpoint_id)
        if record is None or record.registration.incarnation != incarnation:
            return []
        if record.lost_at is not None:
            return []
        checked_at = self._checked_at.get(endpoint_id)
        if checked_at is not None and now - checked_at < _CHECK_INTERVAL:
            return []
        if not self._raft.holds_lease(now):
            leader = self._raft.leader_id
            if leader is None or sender not in self._peers.entries:
                return []
            self._checked_at[endpoint_id] = now
            message = protocol.EndpointFailed(endpoint_id, incarnation)
            return [_effects.SendMessage(leader, message)]
        if not self._restrictions.take_probe(endpoint_id, incarnation, now):
            return []
        self._checked_at[endpoint_id] = now
        self._reported_by[endpoint_id] = sender
        address = record.registration.address
        return [
            _effects.InspectEngine(endpoint_id, incarnation, address, True)
        ]

    def _declare_lost(
        self, event: _events.EngineInspected, now: datetime.datetime
    ) -> Effects:
        """Declare a checked endpoint lost if it did not respond.

        Another report request may have been sent long before the check.
        """
        if event.is_repeated:
            return self._silent_losses.handle_inspection(event, now)
        if not event.is_check:
            return []
        reported_by = self._reported_by.pop(event.endpoint_id, None)
        if reported_by is None or event.has_answered:
            return []
        has_ended = not event.is_silent
        if not self.registry.mark_lost(
            event.endpoint_id, event.incarnation, now, has_ended
        ):
            return []
        line = events.ENDPOINT_FAILED.line(
            endpoint=event.endpoint_id,
            incarnation=event.incarnation,
            told_by=reported_by,
        )
        lost = protocol.EndpointLost(
            event.endpoint_id, event.incarnation, event.is_silent, has_ended
        )
        return [_effects.WriteLog(line), *self._peers.send_to_all(lost)]

    def handle_notice(
        self, event: _events.NoticeReceived, now: datetime.datetime
    ) -> Effects:
        """Heed what an endpoint asked of this VM in the head of an answer.

        An endpoint in a pause is alive and keeps its layers.
        """
        endpoint_id, incarnation = event.endpoint_id, event.incarnation
        effects: Effects = []
        pause = event.notice.pause
        if pause is not None and self._restrictions.record_pause(
            endpoint_id, incarnation, pause, now
        ):
            line = events.ENDPOINT_PAUSED.line(
                endpoint=endpoint_id,
                incarnation=incarnation,
                milliseconds=int(pause.total_seconds() * 1000),
            )
            effects.append(_effects.WriteLog(line))
        malformed = event.notice.malformed_pause
        if malformed is not None and self._restrictions.record_malformed(
            endpoint_id, incarnation
        ):
            line = events.PAUSE_UNREADABLE.line(
                endpoint=endpoint_id, incarnation=incarnation, value=malformed
            )
            effects.append(_effects.WriteLog(line))
        if event.notice.is_leaving:
            message = protocol.EndpointLeaving(endpoint_id, incarnation)
            effects += self.record_leaving(None, message)
        return effects + self._heed_limit(event, now)

    def _heed_limit(
        self, event: _events.NoticeReceived, now: datetime.datetime
    ) -> Effects:
        """Record the limit of requests that an endpoint names, if it does."""
        endpoint_id, incarnation = event.endpoint_id, event.incarnation
        malformed = event.notice.malformed_request_limit
        if malformed is not None and self.request_limits.record_malformed(
            endpoint_id, incarnation
        ):
            line = events.LIMIT_UNREADABLE.line(
                endpoint=endpoint_id, incarnation=incarnation, value=malformed
            )
            return [_effects.WriteLog(line)]
        change = self.request_limits.record_answer(
            endpoint_id, incarnation, event.notice, True, now
        )
        if change is None:
            return []
        message = protocol.EndpointLimited(
            endpoint_id, incarnation, change.requests_per_second
        )
        return self._tell_limit(change, "check") + [
            *self._peers.send_to_controls(message),
        ]

    def record_limit(
        self,
        sender: model.VmId,
        message: protocol.EndpointLimited,
        now: datetime.datetime,
    ) -> Effects:
        """Take over what a peer says of an endpoint's limit; pass it on."""
        change = self.request_limits.merge(
            message.endpoint_id,
            message.incarnation,
            message.requests_per_second,
            now,
        )
        if change is None:
            return []
        effects = self._tell_limit(change, sender)
        if sender in self._peers.entries:
            effects += self._peers.send_to_controls(message)
        return effects

    def _tell_limit(
        self, change: rate_limits.LimitChange, told_by: str
    ) -> Effects:
        """Log a limit that is new here, and tell the entry VMs."""
        message = protocol.EndpointLimited(
            change.endpoint_id, change.incarnation, change.requests_per_second
        )
        excluded = model.VmId(told_by)
        return [
            _effects.WriteLog(rate_limits.change_line(change, told_by)),
            *self._peers.send_to_entries(message, excluded),
        ]

    def limit_messages(self) -> list[protocol.EndpointLimited]:
        """Return the limits in force, for a peer that has just connected."""
        return [
            protocol.EndpointLimited(
                endpoint_id, incarnation, limit.requests_per_second
            )
            for endpoint_id, incarnation, limit in self.request_limits.all()
        ]

    def record_leaving(
        self, sender: model.VmId | None, message: protocol.EndpointLeaving
    ) -> Effects:
        """Mark an endpoint that says it leaves; tell peers the first time.

        ``sender`` is the peer that told this VM, or ``None`` if the endpoint
        itself did.
        """
        if not self.registry.mark_leaving(
            message.endpoint_id, message.incarnation
        ):
            return []
        line = events.ENDPOINT_LEAVING.line(
            endpoint=message.endpoint_id, incarnation=message.incarnation
        )
        effects: Effects = [_effects.WriteLog(line)]
        effects += self._peers.send_to_entries(message, sender)
        if sender is None or sender in self._peers.entries:
            effects += self._peers.send_to_controls(message)
        return effects

    def handle_inspection(
        self, event: _events.EngineInspected, now: datetime.datetime
    ) -> Effects:
        """Process the response of an endpoint, or the lack of one.

        Only a leader with a valid lease declares endpoints lost and orders
        layers.
        """
        record = self.registry.find(event.endpoint_id)
        if record is None:
            return []
        is_leader = self._raft.holds_lease(now)
        effects = self._declare_lost(event, now) if is_leader else []
        effects += self._update_slowdown(event, record)
        if event.report is not None and not event.report.is_busy:
            corrected = self.registry.correct_layers(
                event.endpoint_id, event.incarnation, event.report.layers
            )
            if corrected is not None:
                effects += self._broadcast_change(corrected, now)
        if not is_leader:
            return effects
        registration = record.registration
        fencing_token = self._raft.term
        return effects + self.orders.handle_inspection(
            event, registration, fencing_token, now
        )


def _runs_model(
    registration: catalog.Registration, table: catalog.RouteTable
) -> bool:
    """Return whether an endpoint belongs to a service that runs a model."""
    service = table.service(registration.service)
    return service is not None and service.engine is not None
