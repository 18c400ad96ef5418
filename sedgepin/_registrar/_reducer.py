"""The reducer of a registrar: every event in, every effect out."""

import collections
import dataclasses
import datetime
import random

from sedgepin import _catalog as catalog
from sedgepin import _consensus as consensus
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _dialect
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin._registrar import _failures
from sedgepin._registrar import _layer_orders
from sedgepin._registrar import _ledger
from sedgepin._registrar import _settings
from sedgepin import _storage as storage
from sedgepin import events

Effects = list[_effects.RegistrarEffect]
_Loads = tuple[protocol.EndpointLoad, ...]

# How long an operator's call waits for the log; operators ask the next VM
# after a second without an answer.
_ANSWER_TIME = datetime.timedelta(milliseconds=900)
# What was heard of endpoints is told to peers this often; what changed is
# told at once.
_HEARD_INTERVAL = datetime.timedelta(milliseconds=500)
# Several entries lose an endpoint at the same moment; one check serves all.
_CHECK_INTERVAL = datetime.timedelta(milliseconds=500)
# Entries report their load at the same rate.
_LOAD_INTERVAL = datetime.timedelta(milliseconds=200)
_HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=100)
_ELECTION_TIMEOUT_MIN = datetime.timedelta(milliseconds=600)
_ELECTION_TIMEOUT_MAX = datetime.timedelta(milliseconds=1000)
# More than the control VMs of any deployment in sight, of which all vote.
_VOTER_LIMIT = 15


@dataclasses.dataclass(slots=True, frozen=True)
class _Waiting:
    """A call that waits for the log, and who made it.

    ``asker`` is the peer that passed the call on, under its own number.
    """

    number: int
    deadline: datetime.datetime
    asker: model.VmId | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class _PendingRead:
    """A read that waits until this replica is as far as the leader was."""

    exchange_id: int
    index: int
    deadline: datetime.datetime


class RegistrarReducer:
    """All decisions of one control VM that keeps a register of endpoints.

    >>> reducer = RegistrarReducer(cfg, dialect, recovered, rng, now)
    >>> reducer.handle(TimerFired(), now)
    [Persist(...), SendMessage(...), ...]
    """

    __slots__ = (
        "_asked",
        "_cfg",
        "_checked_at",
        "_controls",
        "_dialect",
        "_encoded",
        "_entries",
        "_heard",
        "_heard_at",
        "_ledger",
        "_loads",
        "_loads_told_at",
        "_next_number",
        "_orders",
        "_proposed",
        "_raft",
        "_reading",
        "_registry",
        "_table",
        "_told_by",
    )

    def __init__(
        self,
        cfg: _settings.RegistrarSettings,
        dialect: _dialect.ControlDialect,
        recovered: storage.Recovered,
        rng: random.Random,
        now: datetime.datetime,
    ) -> None:
        self._cfg = cfg
        self._dialect = dialect
        raft_cfg = consensus.RaftSettings(
            cfg.vm_id,
            tuple(sorted({*cfg.seeds, cfg.vm_id})),
            heartbeat_interval=_HEARTBEAT_INTERVAL,
            election_timeout_min=_ELECTION_TIMEOUT_MIN,
            election_timeout_max=_ELECTION_TIMEOUT_MAX,
            voter_limit=_VOTER_LIMIT,
            may_found=cfg.is_new_system and cfg.vm_id in cfg.seeds,
            open_membership=True,
        )
        self._raft = consensus.RaftNode(raft_cfg, recovered, rng, now)
        self._ledger = _ledger.ConfigurationLedger()
        self._table: catalog.RouteTable | None = None
        self._encoded = b""
        self._registry = catalog.Registry()
        self._orders = _layer_orders.LayerOrders()
        self._entries: set[model.VmId] = set()
        self._controls: set[model.VmId] = set(cfg.seeds) - {cfg.vm_id}
        self._heard: set[model.EndpointId] = set()
        self._checked_at: dict[model.EndpointId, datetime.datetime] = {}
        self._told_by: dict[model.EndpointId, model.VmId] = {}
        self._heard_at = now
        self._loads: dict[model.VmId, _Loads] = {}
        self._loads_told_at = now
        self._next_number = 1
        self._proposed: dict[int, _Waiting] = {}
        self._asked: dict[int, _Waiting] = {}
        self._reading: list[_PendingRead] = []

    @property
    def raft(self) -> consensus.RaftNode:
        """Return the log's member, to read its state."""
        return self._raft

    @property
    def registry(self) -> catalog.Registry:
        """Return the endpoints heard of, to read them."""
        return self._registry

    def handle(
        self, event: _events.RegistrarEvent, now: datetime.datetime
    ) -> Effects:
        """Take in one event and return what is to be done, in order."""
        match event:
            case _events.TimerFired():
                return self._tick(now)
            case protocol.PeerMessageArrived(sender, message):
                return self._message(sender, message, now)
            case _events.EndpointRegistered():
                return self._register(event, now)
            case _events.EndpointLeft():
                return self._leave(event, now)
            case _events.ConfigurationSubmitted():
                return self._submit(event, now)
            case _events.ConfigurationRead(exchange_id):
                return self._read(exchange_id, now)
            case _events.EngineInspected():
                return self._inspected(event, now)
            case _events.LayersOrdered():
                return self._orders.ordered(event, now)
            case protocol.PeerConnected(hello):
                return self._peer_connected(hello, now)
            case protocol.PeerDisconnected(peer_id):
                self._entries.discard(peer_id)
                self._loads.pop(peer_id, None)
                return [_log(events.PEER_DISCONNECTED.line(peer=peer_id))]
            case protocol.PeerRefused(address, failure):
                line = events.PEER_REFUSED.line(
                    address=address, failure=failure.detail()
                )
                return [_log(line)]
            case _events.SettingsReloaded(cfg):
                return self._meet(cfg.seeds)
            case _events.DrainRequested():
                handed = consensus.LeadershipTransferRequested()
                return self._drive(handed, now)

    def _tick(self, now: datetime.datetime) -> Effects:
        made = self._drive(consensus.TimerFired(), now)
        made += self._expire(now)
        if now - self._heard_at >= _HEARD_INTERVAL:
            self._heard_at = now
            self._registry.forget(self._cfg.endpoint_silence, now)
            made += self._tell_heard()
        if self._loads and now - self._loads_told_at >= _LOAD_INTERVAL:
            self._loads_told_at = now
            made += self._tell_loads()
        if self._raft.lease_holds(now):
            live = self._live(now)
            made += self._orders.tick(live, self._table, self._raft.term, now)
        return made

    def _tell_loads(self) -> Effects:
        """Tell the entries what all of them together put on endpoints."""
        running: collections.Counter[model.EndpointId] = collections.Counter()
        tokens: collections.Counter[model.EndpointId] = collections.Counter()
        for loads in self._loads.values():
            for one in loads:
                running[one.endpoint_id] += one.running
                tokens[one.endpoint_id] += one.tokens
        summed = tuple(
            protocol.EndpointLoad(endpoint_id, count, tokens[endpoint_id])
            for endpoint_id, count in running.items()
        )
        message = protocol.LoadSummed(summed)
        return [
            _effects.SendMessage(entry, message)
            for entry in sorted(self._loads)
        ]

    def _live(self, now: datetime.datetime) -> list[catalog.Registration]:
        """Return the endpoints that were heard of lately."""
        gone = catalog.EndpointState.GONE
        return [
            known.registration
            for known in self._registry
            if known.registration.state is not gone
            and known.is_live(self._cfg.endpoint_silence, now)
        ]

    def _message(
        self,
        sender: model.VmId,
        message: protocol.PeerMessage,
        now: datetime.datetime,
    ) -> Effects:
        match message:
            case protocol.RaftCarried(carried):
                arrived = consensus.PeerMessageArrived(sender, carried)
                return self._drive(arrived, now)
            case protocol.RegistrationsSeen():
                return self._merge(message, now)
            case protocol.ConfigurationWanted(have):
                return [self._configuration_for(sender, have, now)]
            case protocol.ControlsKnown(controls):
                return self._meet(controls)
            case protocol.CommandAsked(ask_id, command):
                waiting = _Waiting(ask_id, now + _ANSWER_TIME, sender)
                return self._propose(command, waiting, now)
            case protocol.CommandAnswered():
                return self._command_answered(message)
            case protocol.EndpointFailed(endpoint_id, incarnation):
                return self._check(sender, endpoint_id, incarnation, now)
            case protocol.EndpointLost(endpoint_id, incarnation):
                self._registry.lose(endpoint_id, incarnation, now)
                return []
            case protocol.CrashWitnessed():
                return [
                    _effects.SendMessage(entry, message)
                    for entry in sorted(self._entries - {sender})
                ]
            case protocol.LoadReported(loads):
                self._loads[sender] = loads
                return []
            case protocol.ReadIndexAsked(ask_id):
                return [self._read_index_for(sender, ask_id, now)]
            case protocol.ReadIndexAnswered(ask_id, index):
                return self._read_index(ask_id, index)
        return []

    # Endpoints.

    def _register(
        self, event: _events.EndpointRegistered, now: datetime.datetime
    ) -> Effects:
        word = event.registration
        leaves = word.state is not catalog.EndpointState.READY
        if leaves and self._raft.leader_id is None:
            # A VM that is cut off cannot tell the entries, so the endpoint
            # must find another one that can.
            failure = _failures.NoQuorum()
            return [_effects.Refuse(event.exchange_id, failure)]
        self._heard.add(word.endpoint_id)
        made: Effects = []
        if self._registry.take(word, now):
            made += self._tell_changed(word)
        return [*made, _effects.Acknowledge(event.exchange_id)]

    def _leave(
        self, event: _events.EndpointLeft, now: datetime.datetime
    ) -> Effects:
        if self._raft.leader_id is None:
            failure = _failures.NoQuorum()
            return [_effects.Refuse(event.exchange_id, failure)]
        made: Effects = []
        word = self._registry.mark_gone(event.endpoint_id, now)
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
            layers=_shown(word.layers),
        )
        message = protocol.RegistrationsSeen(changed=(word,))
        return [_log(line), *self._tell_all(message)]

    def _tell_heard(self) -> Effects:
        if not self._heard:
            return []
        message = protocol.RegistrationsSeen(heard=tuple(sorted(self._heard)))
        self._heard.clear()
        return self._tell_all(message)

    def _tell_all(self, message: protocol.PeerMessage) -> Effects:
        peers = sorted(self._entries | self._controls)
        return [_effects.SendMessage(peer, message) for peer in peers]

    def _merge(
        self, message: protocol.RegistrationsSeen, now: datetime.datetime
    ) -> Effects:
        """Take in what another control VM heard of endpoints."""
        for endpoint_id in message.heard:
            self._registry.hear(endpoint_id, now)
        news = tuple(
            word for word in message.changed if self._registry.take(word, now)
        )
        if not news:
            return []
        passed_on = protocol.RegistrationsSeen(changed=news)
        return [
            _effects.SendMessage(entry, passed_on)
            for entry in sorted(self._entries)
        ]

    def _check(
        self,
        sender: model.VmId,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> Effects:
        """See for oneself whether an endpoint that an entry lost answers."""
        known = self._registry.find(endpoint_id)
        if known is None or known.registration.incarnation != incarnation:
            return []
        if not self._raft.lease_holds(now) or known.lost_at is not None:
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
        if not self._registry.lose(event.endpoint_id, event.incarnation, now):
            return []
        line = events.ENDPOINT_FAILED.line(
            endpoint=event.endpoint_id,
            incarnation=event.incarnation,
            told_by=told_by,
        )
        lost = protocol.EndpointLost(event.endpoint_id, event.incarnation)
        return [_log(line), *self._tell_all(lost)]

    def _inspected(
        self, event: _events.EngineInspected, now: datetime.datetime
    ) -> Effects:
        known = self._registry.find(event.endpoint_id)
        if known is None or not self._raft.lease_holds(now):
            return []
        made = self._lose(event, now)
        if event.report is not None and not event.report.is_busy:
            news = self._registry.correct_layers(
                event.endpoint_id, event.incarnation, event.report.layers
            )
            if news is not None:
                made += self._tell_changed(news)
        word = known.registration
        token = self._raft.term
        return made + self._orders.inspected(event, word, token, now)

    # The configuration.

    def _submit(
        self, event: _events.ConfigurationSubmitted, now: datetime.datetime
    ) -> Effects:
        command = _ledger.encode_command(
            _ledger.PublishConfiguration(
                event.version, _ledger.compress(event.document)
            )
        )
        waiting = _Waiting(event.exchange_id, now + _ANSWER_TIME)
        if self._raft.is_leader:
            return self._propose(command, waiting, now)
        leader = self._raft.leader_id
        if leader is None:
            failure = _failures.NoQuorum()
            return [_effects.Refuse(event.exchange_id, failure)]
        ask_id = self._number()
        self._asked[ask_id] = waiting
        message = protocol.CommandAsked(ask_id, command)
        return [_effects.SendMessage(leader, message)]

    def _propose(
        self, command: bytes, waiting: _Waiting, now: datetime.datetime
    ) -> Effects:
        proposal_id = self._number()
        self._proposed[proposal_id] = waiting
        proposal = consensus.Proposal(proposal_id, command)
        return self._drive(consensus.CommandsProposed((proposal,)), now)

    def _settle(self, waiting: _Waiting, is_committed: bool) -> Effects:
        """Tell whoever waits what became of a command."""
        if waiting.asker is not None:
            refusal = None
            if not is_committed:
                code = _failures.FateUnknown.code
                refusal = protocol.CommandRefusal(code, None, True)
            answer = protocol.CommandAnswered(
                waiting.number, b"" if is_committed else None, refusal
            )
            return [_effects.SendMessage(waiting.asker, answer)]
        if is_committed:
            return [_effects.Acknowledge(waiting.number)]
        return [_effects.Refuse(waiting.number, _failures.FateUnknown())]

    def _command_answered(self, message: protocol.CommandAnswered) -> Effects:
        waiting = self._asked.pop(message.ask_id, None)
        if waiting is None:
            return []
        return self._settle(waiting, message.refusal is None)

    def _read(self, exchange_id: int, now: datetime.datetime) -> Effects:
        if self._raft.lease_holds(now):
            return [self._show(exchange_id)]
        leader = self._raft.leader_id
        if leader is None or self._raft.is_leader:
            failure = _failures.NoQuorum()
            return [_effects.Refuse(exchange_id, failure)]
        ask_id = self._number()
        self._asked[ask_id] = _Waiting(exchange_id, now + _ANSWER_TIME)
        message = protocol.ReadIndexAsked(ask_id)
        return [_effects.SendMessage(leader, message)]

    def _read_index_for(
        self, sender: model.VmId, ask_id: int, now: datetime.datetime
    ) -> _effects.RegistrarEffect:
        index = None
        if self._raft.lease_holds(now):
            index = self._raft.commit_index
        answer = protocol.ReadIndexAnswered(ask_id, index)
        return _effects.SendMessage(sender, answer)

    def _read_index(self, ask_id: int, index: int | None) -> Effects:
        waiting = self._asked.pop(ask_id, None)
        if waiting is None:
            return []
        if index is None:
            failure = _failures.NoQuorum()
            return [_effects.Refuse(waiting.number, failure)]
        self._reading.append(
            _PendingRead(waiting.number, index, waiting.deadline)
        )
        return self._serve_reads()

    def _serve_reads(self) -> Effects:
        """Answer the reads for which this replica is far enough."""
        if not self._reading:
            return []
        reached = self._raft.commit_index
        ready = [one for one in self._reading if one.index <= reached]
        self._reading = [one for one in self._reading if one.index > reached]
        return [self._show(one.exchange_id) for one in ready]

    def _show(self, exchange_id: int) -> _effects.RegistrarEffect:
        if self._ledger.is_empty:
            failure = _failures.NothingPublished()
            return _effects.Refuse(exchange_id, failure)
        return _effects.ShowConfiguration(exchange_id, self._ledger.text())

    def _expire(self, now: datetime.datetime) -> Effects:
        """Refuse what the log did not answer in time."""
        made: Effects = []
        for waiters in (self._proposed, self._asked):
            for number, waiting in list(waiters.items()):
                if now >= waiting.deadline:
                    del waiters[number]
                    made += self._settle(waiting, is_committed=False)
        for read in [one for one in self._reading if now >= one.deadline]:
            self._reading.remove(read)
            failure = _failures.NoQuorum()
            made.append(_effects.Refuse(read.exchange_id, failure))
        return made

    def _configuration_for(
        self, peer_id: model.VmId, have: int, now: datetime.datetime
    ) -> _effects.RegistrarEffect:
        is_news = not self._ledger.is_empty and self._ledger.version > have
        message = protocol.ConfigurationPublished(
            self._ledger.version,
            self._raft.lease_holds(now) and not self._ledger.is_empty,
            self._encoded if is_news else b"",
        )
        return _effects.SendMessage(peer_id, message)

    def _follow(self, now: datetime.datetime) -> Effects:
        """Put the ledger's configuration in force here and tell entries."""
        read = self._dialect.read_configuration(self._ledger.text())
        if read.is_err():
            # It was valid where it was accepted, by another version.
            line = events.CONFIGURATION_REFUSED.line(
                version=self._ledger.version,
                failure=read.unwrap_err().detail(),
            )
            return [_log(line)]
        configuration = read.unwrap()
        self._table = catalog.RouteTable(configuration)
        self._encoded = catalog.encode(configuration)
        line = events.CONFIGURATION_FOLLOWED.line(
            version=configuration.version,
            index=self._raft.commit_index,
            routes=len(configuration.routes),
        )
        made: Effects = [_log(line)]
        for entry in sorted(self._entries):
            made.append(self._configuration_for(entry, -1, now))
        return made

    # Peers.

    def _peer_connected(
        self, hello: protocol.Hello, now: datetime.datetime
    ) -> Effects:
        made: Effects = [_log(events.PEER_CONNECTED.line(peer=hello.id))]
        if hello.role == "entry":
            self._entries.add(hello.id)
            made.append(self._configuration_for(hello.id, -1, now))
        else:
            made += self._meet((hello.id,))
        words = tuple(known.registration for known in self._registry)
        complete = protocol.RegistrationsSeen(words, (), True)
        made.append(_effects.SendMessage(hello.id, complete))
        return made + self._tell_controls()

    def _meet(self, controls: tuple[model.VmId, ...]) -> Effects:
        """Note control VMs, and dial those that are new."""
        new = set(controls) - self._controls - {self._cfg.vm_id}
        if not new:
            return []
        self._controls |= new
        made: Effects = [_effects.DialPeer(one) for one in sorted(new)]
        return made + self._tell_controls()

    def _tell_controls(self) -> Effects:
        known = tuple(sorted(self._controls | {self._cfg.vm_id}))
        message = protocol.ControlsKnown(known, len(self._entries))
        return self._tell_all(message)

    # The log.

    def _drive(
        self, event: consensus.Event, now: datetime.datetime
    ) -> Effects:
        """Give the log an event and carry out what follows."""
        made: Effects = []
        pending: list[consensus.Event] = [event]
        while pending:
            for effect in self._raft.handle(pending.pop(0), now):
                made += self._carry_out(effect, pending, now)
        return made + self._serve_reads()

    def _carry_out(
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
                return self._apply(effect, now)
            case consensus.RestoreSnapshot(state=raw):
                self._ledger = _ledger.ConfigurationLedger.load(raw)
                return [] if self._ledger.is_empty else self._follow(now)
            case consensus.RejectProposal(proposal_id):
                waiting = self._proposed.pop(proposal_id, None)
                if waiting is None:
                    return []
                return self._settle(waiting, is_committed=False)
            case consensus.ChangeLeadership():
                return self._change_leadership(effect, now)
            case consensus.RequestSnapshot(index):
                dumped = self._ledger.dump()
                pending.append(consensus.SnapshotTaken(index, dumped))
                return []
            case consensus.ChangeMembers():
                members = effect.configuration.members
                return self._meet(tuple(one.vm_id for one in members))

    def _apply(
        self, effect: consensus.ApplyEntry, now: datetime.datetime
    ) -> Effects:
        command = _ledger.decode_command(effect.command)
        made: Effects = []
        if self._ledger.apply(command):
            made += self._follow(now)
        if effect.proposal_id is not None:
            waiting = self._proposed.pop(effect.proposal_id, None)
            if waiting is not None:
                made += self._settle(waiting, is_committed=True)
        return made

    def _change_leadership(
        self, effect: consensus.ChangeLeadership, now: datetime.datetime
    ) -> Effects:
        if effect.is_self:
            self._orders.visit_leadership(now)
        else:
            self._orders.leave_leadership()
        line = events.LEADER_CHANGED.line(
            leader=effect.leader_id, term=effect.term
        )
        return [_log(line)]

    def _number(self) -> int:
        number = self._next_number
        self._next_number += 1
        return number


def _log(line: events.LogLine) -> _effects.WriteLog:
    return _effects.WriteLog(line)


def _shown(layers: model.LayerRange | None) -> str:
    return "none" if layers is None else f"{layers.first}-{layers.end}"
