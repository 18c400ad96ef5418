"""The reducer of a gateway, which turns events into effects."""

import collections.abc
import datetime
import random

from sedgepin import _catalog as catalog
from sedgepin import _crash_causes as crash_causes
from sedgepin import _forwarding as forwarding
from sedgepin._gateway import _aggregator_selector
from sedgepin._gateway import _attempt_handler
from sedgepin._gateway import _configuration
from sedgepin._gateway import _control_connections
from sedgepin._gateway import _crash_quarantine
from sedgepin._gateway import _dispatcher
from sedgepin._gateway import _effects
from sedgepin._gateway import _endpoint_notices
from sedgepin._gateway import _events
from sedgepin._gateway import _level_counts
from sedgepin._gateway import _paths
from sedgepin._gateway import _permits
from sedgepin._gateway import _settings
from sedgepin._gateway import _shared_state
from sedgepin._gateway import _stream_failover
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _service_levels as service_levels
from sedgepin import events

Effects = list[_effects.GatewayEffect]

# A load report that repeats the one before is sent only this often.  Control
# VMs forget the load of an entry VM after 1 s without a report.
_UNCHANGED_REPORT_INTERVAL = datetime.timedelta(milliseconds=400)
# How long before the end of new streams this VM reports it: a caller that
# another VM refuses meanwhile returns after that.  The report takes up to
# 0.5 s to get there, and the caller 0.25 s to return.
_STOP_NOTICE = datetime.timedelta(milliseconds=750)


class GatewayReducer:
    """Makes all decisions of an entry VM whose endpoints register.

    >>> reducer = GatewayReducer(cfg, random.Random(1), now)
    >>> reducer.handle(RequestArrived(1, request), now)
    [StartAttempt(...), ...]
    """

    __slots__ = (
        "_aggregator_selector",
        "_attempt_handler",
        "_configuration",
        "_connections",
        "_dispatcher",
        "_is_draining",
        "_next_report_at",
        "_notices",
        "_paths",
        "_permits",
        "_quarantine",
        "_reported_at",
        "_state",
        "_started_at",
        "_stream_failover",
        "_was_stopping",
    )

    def __init__(
        self,
        cfg: _settings.GatewaySettings,
        rng: random.Random,
        now: datetime.datetime,
    ) -> None:
        self._state = _shared_state.SharedState(cfg, rng, now)
        self._dispatcher = _dispatcher.RequestDispatcher(self._state)
        self._connections = _control_connections.ControlConnections(
            cfg.vm_id, cfg.data_centre, cfg.controls, now
        )
        self._permits = _permits.PermitClient(
            self._state, self._connections, self._dispatcher
        )
        self._paths = _paths.PathFollower(self._state, self._connections)
        self._attempt_handler = _attempt_handler.AttemptHandler(
            self._state, self._dispatcher, self._paths
        )
        self._stream_failover = _stream_failover.StreamFailover(
            self._state, self._paths
        )
        self._configuration = _configuration.ConfigurationFollower(
            self._state, now
        )
        self._next_report_at = now
        self._reported_at = now
        self._started_at = now
        self._notices = _endpoint_notices.EndpointNotices(
            self._state, self._connections
        )
        self._quarantine = _crash_quarantine.CrashQuarantine(
            self._state,
            self._connections,
            self._dispatcher,
            cfg.heartbeat_timeout,
        )
        self._aggregator_selector = _aggregator_selector.AggregatorSelector(
            self._connections.rank
        )
        self._is_draining = False
        # As in the last report.
        self._was_stopping = False

    @property
    def do_others_serve(self) -> bool:
        """Whether enough other entry VMs are known to take new streams."""
        return self._state.drain.do_others_serve

    @property
    def last_sent_at(self) -> datetime.datetime | None:
        """Return when a request was last sent to an endpoint."""
        return self._state.drain.last_sent_at

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this VM."""
        return (
            self._state.table is not None
            and not self._is_draining
            and not self._paths.is_isolated
        )

    def forwarding_refusal(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int | None,
        address: str,
        now: datetime.datetime,
    ) -> forwarding.ForwardRefused | None:
        """Return why this VM sends nothing to an endpoint for another VM.

        The endpoint is to blame only if this VM knows the process at least as
        well as the other VM does.
        """
        if self._state.links.is_cut_off:
            return _refuse_forward("this VM has no path itself", False)
        record = self._state.fleet.registry.find(endpoint_id)
        if record is None:
            return _refuse_forward("the endpoint is unknown", False)
        registration = record.registration
        if (registration.address, registration.incarnation) != (
            address,
            incarnation,
        ):
            return _refuse_forward(
                "the endpoint has another address or incarnation",
                registration.incarnation > (incarnation or 0),
            )
        if registration.state is not catalog.EndpointState.READY:
            return _refuse_forward(
                f"the endpoint is {registration.state.value}", True
            )
        if self._state.fleet.is_restricted(endpoint_id, now):
            return _refuse_forward("the endpoint wants no requests", True)
        return None

    def has_sound_links(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Return whether only an endpoint can be to blame for a failure."""
        return self._state.links.are_sound_besides(endpoint_id, now)

    @property
    def has_queued_requests(self) -> bool:
        """Return whether requests wait for capacity."""
        return (
            bool(len(self._state.startup_queue))
            or bool(self._state.awaiting_path)
            or self._state.permits.is_waiting
            or any(len(queue) for queue in self._state.queues)
        )

    @property
    def table(self) -> catalog.RouteTable | None:
        """Return the routes of the configuration in force."""
        return self._state.table

    def report_service_levels(
        self, now: datetime.datetime
    ) -> service_levels.Report:
        """Return the document for operators on customers and routes."""
        return self._state.level_counts.levels.report(self._waiting(), now)

    def service_level_totals(
        self, now: datetime.datetime
    ) -> list[service_levels.Level]:
        """Return the counts for metrics; a dropped pair begins at 0 again."""
        return self._state.level_counts.levels.totals(self._waiting(), now)

    def _waiting(self) -> collections.abc.Iterator[tuple[str, str]]:
        return _level_counts.waiting_pairs(
            self._state.exchanges.values(), len(self._state.startup_queue)
        )

    def handle(
        self, event: _events.GatewayEvent, now: datetime.datetime
    ) -> Effects:
        """Handle one event and return the resulting effects in order."""
        effects = self._handle(event, now) + self._report_unreachable()
        return effects + self._permits.send_asks(
            self._aggregator_selector.selected
        )

    def _handle(
        self, event: _events.GatewayEvent, now: datetime.datetime
    ) -> Effects:
        match event:
            case _events.RequestArrived():
                return self._dispatcher.admit(event, now, now)
            case _events.AttemptEnded():
                effects = self._quarantine.record_attempt_end(event, now)
                effects += self._attempt_handler.handle_attempt_end(event, now)
                return effects + self._dispatcher.serve_queues(now)
            case _events.OutputStarted(exchange_id):
                return self._dispatcher.record_output_started(exchange_id, now)
            case _events.OutputSustained(exchange_id):
                return self._quarantine.record_sustained_output(
                    exchange_id, now
                )
            case _events.AnswerReady(exchange_id):
                self._dispatcher.record_answer_ready(exchange_id, now)
                return []
            case _events.AnswerHeadReceived():
                if event.begun_exchange_id is not None:
                    self._dispatcher.record_answer_begun(
                        event.begun_exchange_id, event.endpoint_id, now
                    )
                return self._notices.handle_answer_head(event, now)
            case _events.AnswerHeadLate(exchange_id):
                return self._stream_failover.handle_late_answer(
                    exchange_id, now
                )
            case _events.StreamStalled(exchange_id):
                return self._stream_failover.handle_stall(exchange_id, now)
            case _events.PauseLate(exchange_id):
                exchange = self._state.exchanges.get(exchange_id)
                if exchange is not None:
                    self._state.level_counts.count_late_pause(exchange, now)
                return []
            case _events.EndpointReached(endpoint_id, forwarder):
                return self._paths.record_reached(endpoint_id, forwarder, now)
            case _events.EndpointProbed():
                effects = self._paths.record_probe(event, now)
                return effects + self._dispatcher.serve_queues(now)
            case _events.ForwardUnreached(endpoint_id):
                return self._paths.record_forward_unreached(endpoint_id, now)
            case _events.StallsInspected():
                return self._stream_failover.handle_stall_report(event, now)
            case _events.Rerouted():
                return self._stream_failover.handle_reroute_result(event, now)
            case _events.CallerDisconnected(exchange_id, is_by_caller, code):
                effects = self._dispatcher.handle_caller_disconnect(
                    exchange_id, code, now
                )
                # The connection logs what this VM cuts itself.
                return effects if is_by_caller else []
            case _events.DeadlineReached(exchange_id):
                return self._dispatcher.handle_deadline(exchange_id, now)
            case _events.RequestEvicted(exchange_id):
                return self._dispatcher.handle_eviction(exchange_id, now)
            case _events.SettingsReloaded(cfg):
                self._connections.add(dict.fromkeys(cfg.controls))
                return []
            case _events.TimerFired():
                return self._tick(now)
            case _events.DrainRequested():
                return self._start_draining(event, now)
            case _events.DrainEnded():
                return self._dispatcher.cut_open_requests(event, now)
            case protocol.PeerMessageReceived(sender, message):
                return self._handle_message(sender, message, now)
            case protocol.PeerConnected(hello):
                self._connections.record_connected(hello.id, hello.data_centre)
                self._aggregator_selector.record_reconnect(hello.id)
                line = events.PEER_CONNECTED.line(peer=hello.id)
                effects = [_shared_state.log(line)]
                effects += self._notices.limits_for(hello.id)
                return effects + self._quarantine.snapshot(hello.id)
            case protocol.PeerDisconnected(peer_id):
                self._connections.record_disconnected(peer_id, now)
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

    def _start_draining(
        self, event: _events.DrainRequested, now: datetime.datetime
    ) -> Effects:
        self._is_draining = True
        self._state.drain.start(now + event.time_left, now + event.estimated)
        line = events.PROCESS_DRAINING.line()
        return [
            _shared_state.log(line),
            *self._dispatcher.start_draining(now),
        ]

    # Messages of control VMs.

    def _handle_message(
        self,
        sender: model.VmId,
        message: protocol.PeerMessage,
        now: datetime.datetime,
    ) -> Effects:
        match message:
            case protocol.ConfigurationPublished(
                version, confirmed, configuration=b""
            ):
                self._configuration.record_version(
                    sender, version, confirmed, now
                )
                if confirmed:
                    return self._configuration.confirm(version, now)
            case protocol.ConfigurationPublished():
                return self._configuration.apply(message, now)
            case protocol.RegistrationsSeen():
                return self._merge_registrations(message, now)
            case protocol.ControlsKnown():
                self._set_entry_count(message.entry_count)
                self._connections.add(_data_centres(message))
            case protocol.LoadSummed():
                self._apply_aggregate(sender, message, now)
            case protocol.EndpointDeregistered(endpoint_id):
                self._state.fleet.registry.mark_gone(endpoint_id, now)
                self._state.fleet.invalidate_pipelines()
            case protocol.EndpointLeaving(endpoint_id, incarnation):
                return self._notices.record_leaving(endpoint_id, incarnation)
            case protocol.EndpointLimited():
                return self._notices.record_limit(message, sender, now)
            case protocol.PermitAnswered():
                return self._permits.handle_answer(message, sender, now)
            case protocol.EndpointPaced(endpoint_id, incarnation, slowdown):
                self._state.fleet.registry.set_slowdown(
                    endpoint_id, incarnation, slowdown
                )
                self._state.fleet.invalidate_pipelines()
            case protocol.CrashesReported(evidence):
                return self._quarantine.merge(evidence, now)
            case protocol.CrashWitnessed():
                return self._quarantine.merge_witnessed(message, sender, now)
            case protocol.ForwardersOffered(forwarders):
                self._state.links.record_offer(sender, forwarders, now)
                return self._dispatcher.serve_queues(now)
            case protocol.EndpointLost():
                return self._handle_endpoint_lost(message, now)
        return []

    def _apply_aggregate(
        self,
        sender: model.VmId,
        message: protocol.LoadSummed,
        now: datetime.datetime,
    ) -> None:
        """Use the aggregated load, unless another sender is selected."""
        if not self._aggregator_selector.record_aggregate(
            sender, now, message.knows_leader
        ):
            return
        if message.entry_count:
            self._set_entry_count(message.entry_count)
        self._state.drain.set_serving(
            message.entry_count - message.stopping_count, message.entry_count
        )
        self._state.fleet.set_aggregated_load(message.loads, now)
        # The counts go back no further than this, or the start of the fleet.
        window = min(
            self._state.retry_budget.window,
            max(_aggregator_selector.REPORT_INTERVAL, now - self._started_at),
        ).total_seconds()
        self._state.fleet.set_pace_limits(
            message.limits,
            {
                count.service: count.firsts / window
                for count in message.retries
            },
            now,
        )
        self._state.retry_budget.set_aggregated_counts(message.retries, now)
        self._configuration.record_version(
            sender, message.configuration_version, message.knows_leader, now
        )

    def _set_entry_count(self, entry_count: int) -> None:
        self._state.retry_budget.set_entry_count(entry_count)
        self._state.permits.entry_count = entry_count
        self._state.fleet.unreported_load.set_entry_count(entry_count)
        self._state.fleet.pace.entry_count = max(1, entry_count)

    def _merge_registrations(
        self, message: protocol.RegistrationsSeen, now: datetime.datetime
    ) -> Effects:
        effects: Effects = []
        registry = self._state.fleet.registry
        lost = self._lost_among(
            {
                *message.heard,
                *(changed.endpoint_id for changed in message.changed),
            }
        )
        for endpoint_id in message.heard:
            registry.record_heartbeat(endpoint_id, now)
        for registration in message.changed:
            effects += self._merge_registration(registration, False, now)
        for registration in message.lost:
            effects += self._merge_registration(registration, True, now)
        still_lost = self._lost_among({death.endpoint_id for death in lost})
        for death in lost - still_lost:
            record = registry.find(death.endpoint_id)
            if record is not None and _is_new(None, record.registration):
                self._state.fleet.add_paced_endpoint(record.registration, now)
        recovered = {
            death
            for death in lost - still_lost
            if not registry.has_ended(death.endpoint_id, death.incarnation)
        }
        return effects + self._quarantine.record_recovery(recovered, now)

    def _lost_among(
        self, endpoint_ids: set[model.EndpointId]
    ) -> set[crash_causes.Death]:
        """Return those of the endpoints that count as lost."""
        records = map(self._state.fleet.registry.find, endpoint_ids)
        return {
            crash_causes.Death(
                record.registration.endpoint_id,
                record.registration.incarnation,
            )
            for record in records
            if record is not None and record.lost_at is not None
        }

    def _merge_registration(
        self,
        registration: catalog.Registration,
        is_lost: bool,
        now: datetime.datetime,
    ) -> Effects:
        """Merge a registration; it may show that an incarnation has ended."""
        registry = self._state.fleet.registry
        ended = self._replaced_by(registration)
        is_new = _is_new(registry.find(registration.endpoint_id), registration)
        is_changed = (
            registry.update_lost(registration, now)
            if is_lost
            else registry.update(registration, now, is_relayed=True)
        )
        if not is_changed:
            registry.correct_layers(
                registration.endpoint_id,
                registration.incarnation,
                registration.layers,
            )
        self._state.fleet.invalidate_pipelines()
        if is_changed and is_new:
            self._state.fleet.add_paced_endpoint(registration, now)
        effects: Effects = []
        for before in ended:
            effects += self._quarantine.record_loss(
                before.endpoint_id, before.incarnation, False, now
            )
            effects += self._stream_failover.handle_endpoint_failure(
                before.endpoint_id, now
            )
        return effects

    def _replaced_by(
        self, registration: catalog.Registration
    ) -> list[catalog.Registration]:
        """Return the incarnations in whose place a new one has started.

        One has the same endpoint id, the other the same address and has not
        said that it leaves.
        """
        registry = self._state.fleet.registry
        ended: list[catalog.Registration] = []
        record = registry.find(registration.endpoint_id)
        if record is not None:
            before = record.registration
            if before.incarnation < registration.incarnation:
                ended.append(before)
        holder = registry.at_address(registration.address)
        if holder is None or holder.is_leaving or holder.has_ended:
            return ended
        before = holder.registration
        if (
            before.endpoint_id != registration.endpoint_id
            and before.state is catalog.EndpointState.READY
            and before.incarnation < registration.incarnation
        ):
            ended.append(before)
        return ended

    def _handle_endpoint_lost(
        self, message: protocol.EndpointLost, now: datetime.datetime
    ) -> Effects:
        """Fail over from an endpoint that the leader declared lost.

        A proof of its end may follow a loss by silence, and ends what was kept
        on it.
        """
        endpoint_id, incarnation = message.endpoint_id, message.incarnation
        registry = self._state.fleet.registry
        had_ended = registry.has_ended(endpoint_id, incarnation)
        is_new = registry.mark_lost(
            endpoint_id, incarnation, now, message.has_ended
        )
        is_proof = not had_ended and registry.has_ended(
            endpoint_id, incarnation
        )
        if not is_new and not is_proof:
            return []
        self._state.fleet.invalidate_pipelines()
        effects = self._paths.record_lost(endpoint_id)
        effects += self._quarantine.record_loss(
            endpoint_id, incarnation, message.is_silent, now
        )
        return effects + self._stream_failover.handle_endpoint_failure(
            endpoint_id, now
        )

    def _report_unreachable(self) -> Effects:
        """Report unresponsive endpoints to the control VMs."""
        if not self._state.unreachable_endpoints:
            return []
        effects: Effects = []
        registry = self._state.fleet.registry
        for endpoint_id in dict.fromkeys(self._state.unreachable_endpoints):
            record = registry.find(endpoint_id)
            if record is None or record.lost_at is not None:
                continue
            incarnation = record.registration.incarnation
            message = protocol.EndpointFailed(endpoint_id, incarnation)
            effects += [
                _effects.SendMessage(vm_id, message)
                for vm_id in sorted(self._connections.connected)
            ]
        self._state.unreachable_endpoints.clear()
        return effects

    def _update_connections(self, now: datetime.datetime) -> Effects:
        """Connect to the control VMs chosen now, and leave the others."""
        changes = self._connections.plan(
            lambda vm_id: self._aggregator_selector.is_unresponsive(
                vm_id, now
            ),
            now,
        )
        effects: Effects = [
            _effects.DialPeer(vm_id) for vm_id in changes.dialled
        ]
        return effects + [
            _effects.HangUpPeer(vm_id) for vm_id in changes.hung_up
        ]

    def _tick(self, now: datetime.datetime) -> Effects:
        effects = self._configuration.poll(
            self._connections.connected,
            self._aggregator_selector.has_recent_aggregate(now),
            now,
        )
        effects += self._permits.tick(now)
        if now >= self._next_report_at:
            self._notices.tick()
            effects += self._report_load(now)
            effects += self._update_connections(now)
        effects += self._quarantine.tick(now)
        effects += self._paths.tick(now)
        self._state.level_counts.levels.tick(now)
        effects += self._dispatcher.refuse_endless(now)
        return effects + self._dispatcher.serve_queues(now)

    def _report_load(self, now: datetime.datetime) -> Effects:
        """Report the load from this VM to the selected aggregator."""
        self._next_report_at = now + _aggregator_selector.REPORT_INTERVAL
        connected = self._connections.connected
        previous = self._aggregator_selector.selected
        aggregator = self._aggregator_selector.select(connected, now)
        effects: Effects = []
        is_stopping = self._state.drain.is_late(now + _STOP_NOTICE)
        if previous != aggregator and previous in connected:
            # Otherwise the load would count twice until this report expires.
            withdrawal = protocol.LoadReported((), is_stopping=is_stopping)
            effects.append(_effects.SendMessage(previous, withdrawal))
        if aggregator is None:
            return effects
        has_changed = (
            self._state.fleet.has_unreported_changes
            or self._state.fleet.pace.has_unreported
            or is_stopping != self._was_stopping
        )
        if (
            aggregator == previous
            and not has_changed
            and now - self._reported_at < _UNCHANGED_REPORT_INTERVAL
        ):
            return effects
        self._reported_at = now
        loads = self._state.fleet.make_load_report()
        retries = self._state.retry_budget.counts(now)
        self._was_stopping = is_stopping
        progress = self._state.fleet.make_progress_report()
        message = protocol.LoadReported(loads, retries, is_stopping, progress)
        return [*effects, _effects.SendMessage(aggregator, message)]


def _is_new(
    record: catalog.EndpointRecord | None, registration: catalog.Registration
) -> bool:
    """Return whether a registration is of a new endpoint to send requests to.

    That is an endpoint of a plain service, or an engine that has become the
    first of a pipeline.
    """
    layers = registration.layers
    if layers is not None and layers.first:
        return False
    if registration.state is not catalog.EndpointState.READY:
        return False
    if record is None:
        return True
    before = record.registration
    return (
        before.incarnation < registration.incarnation
        or before.state is not catalog.EndpointState.READY
        or (before.layers is None and layers is not None)
    )


def _refuse_forward(reason: str, is_sound: bool) -> forwarding.ForwardRefused:
    return forwarding.ForwardRefused(reason, True, is_sound=is_sound)


def _data_centres(
    message: protocol.ControlsKnown,
) -> dict[model.VmId, model.DataCentreId | None]:
    """Return the data centre of each control VM, if the sender knows it."""
    if len(message.data_centres) != len(message.controls):
        return dict.fromkeys(message.controls)
    return dict(zip(message.controls, message.data_centres, strict=True))
