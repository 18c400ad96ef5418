"""The reducer of a control VM: events in, effects out."""

import datetime
import random

from sedgepin import _catalog as catalog
from sedgepin import _consensus as consensus
from sedgepin import _crash_causes as crash_causes
from sedgepin import _model as model
from sedgepin import _pace as pace
from sedgepin import _protocol as protocol
from sedgepin import _rate_limits as rate_limits
from sedgepin._registrar import _configurations
from sedgepin._registrar import _dialect
from sedgepin._registrar import _effects
from sedgepin._registrar import _endpoints
from sedgepin._registrar import _events
from sedgepin._registrar import _forwarders
from sedgepin._registrar import _load_aggregation
from sedgepin._registrar import _peers
from sedgepin._registrar import _permits
from sedgepin._registrar import _settings
from sedgepin import _storage as storage
from sedgepin import events

Effects = list[_effects.RegistrarEffect]

_HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=100)
_ELECTION_TIMEOUT_MIN = datetime.timedelta(milliseconds=600)
_ELECTION_TIMEOUT_MAX = datetime.timedelta(milliseconds=1000)
# Entry VMs leave a control VM that has known no leader for this long.  An
# election takes less.
_LEADERLESS_TIMEOUT = datetime.timedelta(milliseconds=1500)
# Larger than the number of control VMs of any known deployment, so that all of
# them are voters.
_VOTER_LIMIT = 15


class RegistrarReducer:
    """Maps each event to effects; does no I/O and reads no clock.

    Dispatches to the Raft node, the configuration, the endpoints, the load
    aggregation and the peers.

    >>> reducer = RegistrarReducer(cfg, dialect, recovered, rng, now)
    >>> reducer.handle(TimerFired(), now)
    [Persist(...), SendMessage(...), ...]
    """

    __slots__ = (
        "_configurations",
        "_crash_causes",
        "_disk_filled_at",
        "_endpoints",
        "_forwarders",
        "_led_at",
        "_load_aggregator",
        "_peers",
        "_permits",
        "_raft",
    )

    def __init__(
        self,
        cfg: _settings.RegistrarSettings,
        dialect: _dialect.ControlDialect,
        recovered: storage.RecoveredState,
        rng: random.Random,
        now: datetime.datetime,
        started_at: datetime.datetime | None = None,
    ) -> None:
        raft_cfg = consensus.RaftSettings(
            cfg.vm_id,
            tuple(sorted({*cfg.seeds, cfg.vm_id})),
            heartbeat_interval=_HEARTBEAT_INTERVAL,
            election_timeout_min=_ELECTION_TIMEOUT_MIN,
            election_timeout_max=_ELECTION_TIMEOUT_MAX,
            voter_limit=_VOTER_LIMIT,
            may_bootstrap=cfg.is_new_system and cfg.vm_id in cfg.seeds,
            open_membership=True,
        )
        self._raft = consensus.RaftNode(
            raft_cfg, recovered, rng, now, started_at
        )
        self._led_at = now
        self._disk_filled_at = now
        self._peers = _peers.Peers(cfg.vm_id, cfg.data_centre, cfg.seeds, now)
        self._endpoints = _endpoints.EndpointManager(
            cfg, self._peers, self._raft, now
        )
        self._permits = _permits.PermitManager(
            self._endpoints.request_limits, self._peers, self._raft
        )
        self._crash_causes = crash_causes.CrashCauseTracker(cfg.vm_id, now)
        self._load_aggregator = _load_aggregation.LoadAggregator(
            now, cfg.smallest_pace_limit
        )
        self._forwarders = _forwarders.ForwarderDirectory()
        self._configurations = _configurations.ConfigurationManager(
            dialect, self._peers, self._raft, self._step_raft
        )

    @property
    def raft(self) -> consensus.RaftNode:
        """The Raft node of this VM, for read access."""
        return self._raft

    @property
    def limit_usage(self) -> list[rate_limits.LimitUsage]:
        """How the limits of endpoints are used; on the leader only."""
        return self._permits.usage()

    @property
    def registry(self) -> catalog.Registry:
        """The registry of endpoints, for read access."""
        return self._endpoints.registry

    def handle(
        self, event: _events.RegistrarEvent, now: datetime.datetime
    ) -> Effects:
        """Process an event; return the effects to execute, in order."""
        match event:
            case _events.TimerFired():
                return self._tick(now)
            case protocol.PeerMessageReceived(sender, message):
                return self._handle_message(sender, message, now)
            case _events.EndpointRegistered():
                table = self._configurations.table
                return self._endpoints.register(event, table, now)
            case _events.EndpointLeft():
                return self._endpoints.deregister(event, now)
            case _events.ConfigurationSubmitted():
                return self._configurations.submit(event, now)
            case _events.ConfigurationRead(exchange_id):
                return self._configurations.read(exchange_id, now)
            case _events.EngineInspected():
                return self._endpoints.handle_inspection(event, now)
            case _events.NoticeReceived():
                return self._endpoints.handle_notice(event, now)
            case _events.LayerOrderAnswered():
                return self._endpoints.orders.handle_order_answer(event, now)
            case protocol.PeerConnected(hello):
                return self._peer_connected(hello, now)
            case protocol.PeerDisconnected(peer_id):
                self._peers.disconnect(peer_id)
                self._configurations.disconnect_entry(peer_id)
                self._forwarders.remove(peer_id)
                self._load_aggregator.remove_peer(peer_id)
                return [_log(events.PEER_DISCONNECTED.line(peer=peer_id))]
            case protocol.PeerRefused(address, failure):
                line = events.PEER_REFUSED.line(
                    address=address, failure=failure.detail()
                )
                return [_log(line)]
            case _events.SettingsReloaded(cfg):
                return self._peers.add_controls(cfg.seeds)
            case _events.DiskFilled(failure):
                return self._suspend_log(failure, now)
            case _events.DiskFreed():
                return self._resume_log(now)
            case _events.DrainRequested():
                transfer = consensus.LeadershipTransferRequested()
                return self._step_raft(transfer, now)

    def _tick(self, now: datetime.datetime) -> Effects:
        raft_effects = self._step_raft(consensus.TimerFired(), now)
        effects = self._configurations.expire(now)
        effects += self._permits.tick(now)
        self._crash_causes.tick(now)
        effects += self._log_cause_changes()
        if self._raft.leader_id is not None:
            self._led_at = now
        # While the log is suspended, this VM learns of no configuration.
        is_led = now - self._led_at < _LEADERLESS_TIMEOUT
        effects += self._load_aggregator.tick(
            now,
            self._peers.connected_controls,
            is_led and not self._raft.is_suspended,
            self._configurations.ledger.version,
            self._list_paced_endpoints,
        )
        self._peers.homed_entries = self._load_aggregator.entries
        effects += self._peers.tick(self._load_aggregator.entry_count, now)
        effects += self._endpoints.tick(self._configurations.table, now)
        # A write may have to wait, with all effects after it.
        return effects + raft_effects

    def _list_paced_endpoints(self) -> list[pace.PacedEndpoint] | None:
        """Return the endpoints that requests are sent to.

        Those are the endpoints of plain services and the first engines of
        pipelines.
        """
        table = self._configurations.table
        if table is None:
            return None
        paced: list[pace.PacedEndpoint] = []
        for record in self._endpoints.registry:
            registration = record.registration
            service = table.service(registration.service)
            if (
                service is None
                or registration.state is not catalog.EndpointState.READY
                or not _gets_requests(registration, service)
            ):
                continue
            slots = registration.slots
            if not slots and service.engine is not None:
                slots = service.engine.slots
            paced.append(
                pace.PacedEndpoint(
                    registration.endpoint_id,
                    registration.incarnation,
                    slots,
                    record.lost_at is not None,
                )
            )
        return paced

    def _suspend_log(self, failure: str, now: datetime.datetime) -> Effects:
        self._disk_filled_at = now
        line = events.LOG_SUSPENDED.line(
            was_leader=self._raft.is_leader,
            term=self._raft.term,
            commit_index=self._raft.commit_index,
            last_index=self._raft.last_index,
        )
        effects = [_log(events.DISK_FULL.line(failure=failure)), _log(line)]
        return effects + self._step_raft(consensus.StorageFilled(), now)

    def _resume_log(self, now: datetime.datetime) -> Effects:
        seconds = (now - self._disk_filled_at).total_seconds()
        line = events.LOG_RESUMED.line(
            leader=self._raft.leader_id,
            term=self._raft.term,
            commit_index=self._raft.commit_index,
            last_index=self._raft.last_index,
        )
        effects = [
            _log(events.DISK_HAS_ROOM.line(seconds=round(seconds, 1))),
            _log(line),
        ]
        return effects + self._step_raft(consensus.StorageFreed(), now)

    def _handle_message(
        self,
        sender: model.VmId,
        message: protocol.PeerMessage,
        now: datetime.datetime,
    ) -> Effects:
        match message:
            case protocol.RaftCarried(carried):
                raft_event = consensus.PeerMessageReceived(sender, carried)
                return self._step_raft(raft_event, now)
            case protocol.RegistrationsSeen():
                return self._endpoints.merge(message, now)
            case protocol.ConfigurationWanted():
                return self._configurations.answer_wanted(sender, message, now)
            case protocol.ControlsKnown(controls):
                return self._peers.add_controls(controls)
            case protocol.CommandAsked():
                return self._configurations.propose_for_peer(
                    sender, message, now
                )
            case protocol.CommandAnswered():
                return self._configurations.handle_command_answer(message)
            case protocol.EndpointFailed(endpoint_id, incarnation):
                return self._endpoints.check_endpoint(
                    sender, endpoint_id, incarnation, now
                )
            case protocol.EndpointLost(endpoint_id, incarnation):
                self._endpoints.registry.mark_lost(
                    endpoint_id, incarnation, now, message.has_ended
                )
                return self._peers.send_to_entries(message)
            case protocol.EndpointDeregistered(endpoint_id):
                return self._endpoints.record_deregistration(endpoint_id, now)
            case protocol.EndpointLeaving():
                return self._endpoints.record_leaving(sender, message)
            case protocol.EndpointLimited():
                return self._endpoints.record_limit(sender, message, now)
            case (
                protocol.PermitAsked()
                | protocol.PermitAnswered()
                | protocol.PermitReturned()
            ):
                return self._permits.handle_message(sender, message, now)
            case protocol.ForwardersAsked(is_cut_off):
                offer = self._forwarders.offer(sender, is_cut_off, now)
                return [_effects.SendMessage(sender, offer)]
            case protocol.EndpointPaced(endpoint_id, incarnation, slowdown):
                self._endpoints.registry.set_slowdown(
                    endpoint_id, incarnation, slowdown
                )
                return self._peers.forward_to_own_entries(message)
            case protocol.CrashesReported(evidence):
                return self._merge_crash_evidence(sender, evidence, now)
            case protocol.CrashWitnessed():
                effects = self._peers.send_to_entries(message, sender)
                if sender in self._peers.entries:
                    effects += self._peers.send_to_controls(message)
                return effects
            case protocol.LoadShared():
                self._load_aggregator.record_share(sender, message, now)
                return []
            case protocol.LoadReported():
                self._load_aggregator.record_report(sender, message, now)
                return []
            case protocol.ReadIndexAsked(ask_id):
                return [
                    self._configurations.answer_read_index(sender, ask_id, now)
                ]
            case protocol.ReadIndexAnswered(ask_id, index):
                effects = self._configurations.handle_read_index(ask_id, index)
                return effects + self._configurations.confirm_pushes(now)
        return []

    def _peer_connected(
        self, hello: protocol.Hello, now: datetime.datetime
    ) -> Effects:
        effects: Effects = [_log(events.PEER_CONNECTED.line(peer=hello.id))]
        effects += self._peers.connect(hello)
        if hello.role == "entry":
            self._forwarders.add(hello)
            effects += self._configurations.connect_entry(hello.id, now)
        else:
            effects += self._peers.add_controls((hello.id,))
        message = self._endpoints.registrations_message()
        effects.append(_effects.SendMessage(hello.id, message))
        effects += [
            _effects.SendMessage(hello.id, slowdown_message)
            for slowdown_message in self._endpoints.slowdown_messages()
        ]
        effects += [
            _effects.SendMessage(hello.id, leaving_message)
            for leaving_message in self._endpoints.leaving_messages()
        ]
        effects += [
            _effects.SendMessage(hello.id, limit_message)
            for limit_message in self._endpoints.limit_messages()
        ]
        evidence = self._crash_causes.snapshot()
        if evidence:
            report = protocol.CrashesReported(evidence)
            effects.append(_effects.SendMessage(hello.id, report))
        return effects

    def _merge_crash_evidence(
        self,
        sender: model.VmId,
        evidence: tuple[crash_causes.Evidence, ...],
        now: datetime.datetime,
    ) -> Effects:
        """Pass on what is new here, and keep it for VMs that start later."""
        fresh = self._crash_causes.merge(evidence, now)
        if not fresh:
            return []
        effects = self._log_cause_changes()
        message = protocol.CrashesReported(fresh)
        effects += self._peers.send_to_entries(message, sender)
        if sender in self._peers.entries:
            effects += self._peers.send_to_controls(message)
        return effects

    def _log_cause_changes(self) -> Effects:
        return [
            _log(crash_causes.change_line(change))
            for change in self._crash_causes.take_changes()
        ]

    def _step_raft(
        self, event: consensus.Event, now: datetime.datetime
    ) -> Effects:
        """Pass an event to the Raft node and translate the effects.

        Events that these effects give rise to are processed in turn.
        """
        effects: Effects = []
        pending: list[consensus.Event] = [event]
        while pending:
            for effect in self._raft.handle(pending.pop(0), now):
                effects += self._translate(effect, pending, now)
        effects += self._configurations.activate(now)
        effects += self._configurations.confirm_pushes(now)
        return effects + self._configurations.serve_reads()

    def _translate(
        self,
        effect: consensus.Effect,
        pending: list[consensus.Event],
        now: datetime.datetime,
    ) -> Effects:
        match effect:
            case consensus.Persist() | consensus.PersistSnapshot():
                return [effect]
            case consensus.SendMessage(recipient, message):
                carried = protocol.RaftCarried(message)
                return [_effects.SendMessage(recipient, carried)]
            case consensus.ApplyEntry():
                return self._configurations.apply(effect)
            case consensus.RestoreSnapshot(state=raw):
                self._configurations.restore(raw)
                return []
            case consensus.RejectProposal(proposal_id):
                return self._configurations.reject(proposal_id)
            case consensus.NotifyLeaderChange():
                return self._handle_leader_change(effect, now)
            case consensus.RequestSnapshot(index):
                snapshot_state = self._configurations.ledger.dump()
                pending.append(consensus.SnapshotTaken(index, snapshot_state))
                return []
            case consensus.NotifyMemberChange():
                members = effect.configuration.members
                return self._peers.add_controls(
                    tuple(member.vm_id for member in members)
                )

    def _handle_leader_change(
        self, effect: consensus.NotifyLeaderChange, now: datetime.datetime
    ) -> Effects:
        if effect.is_self:
            self._endpoints.gain_leadership(now)
        else:
            self._endpoints.lose_leadership()
        line = events.LEADER_CHANGED.line(
            leader=effect.leader_id, term=effect.term
        )
        return [_log(line)]


def _gets_requests(
    registration: catalog.Registration, service: catalog.Service
) -> bool:
    """Return whether an endpoint is one that requests are sent to."""
    if service.engine is None:
        return True
    layers = registration.layers
    return layers is not None and not layers.first


def _log(line: events.LogLine) -> _effects.WriteLog:
    return _effects.WriteLog(line)
