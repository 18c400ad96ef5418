"""The reducer of a registrar: every event in, every effect out."""

import datetime
import random

from sedgepin import _catalog as catalog
from sedgepin import _consensus as consensus
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _configurations
from sedgepin._registrar import _dialect
from sedgepin._registrar import _effects
from sedgepin._registrar import _endpoints
from sedgepin._registrar import _events
from sedgepin._registrar import _load_aggregation
from sedgepin._registrar import _peers
from sedgepin._registrar import _settings
from sedgepin import _storage as storage
from sedgepin import events

Effects = list[_effects.RegistrarEffect]

_HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=100)
_ELECTION_TIMEOUT_MIN = datetime.timedelta(milliseconds=600)
_ELECTION_TIMEOUT_MAX = datetime.timedelta(milliseconds=1000)
# More than the control VMs of any deployment in sight, of which all vote.
_VOTER_LIMIT = 15


class RegistrarReducer:
    """All decisions of one control VM that keeps a register of endpoints.

    >>> reducer = RegistrarReducer(cfg, dialect, recovered, rng, now)
    >>> reducer.handle(TimerFired(), now)
    [Persist(...), SendMessage(...), ...]
    """

    __slots__ = (
        "_configurations",
        "_endpoints",
        "_load_sums",
        "_peers",
        "_raft",
    )

    def __init__(
        self,
        cfg: _settings.RegistrarSettings,
        dialect: _dialect.ControlDialect,
        recovered: storage.Recovered,
        rng: random.Random,
        now: datetime.datetime,
    ) -> None:
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
        self._peers = _peers.Peers(cfg.vm_id, cfg.data_centre, cfg.seeds)
        self._endpoints = _endpoints.Endpoints(
            cfg, self._peers, self._raft, now
        )
        self._load_sums = _load_aggregation.LoadAggregator(now)
        self._configurations = _configurations.Configurations(
            dialect, self._peers, self._raft, self._drive
        )

    @property
    def raft(self) -> consensus.RaftNode:
        """Return the log's member, to read its state."""
        return self._raft

    @property
    def registry(self) -> catalog.Registry:
        """Return the endpoints heard of, to read them."""
        return self._endpoints.registry

    def handle(
        self, event: _events.RegistrarEvent, now: datetime.datetime
    ) -> Effects:
        """Take in one event and return what is to be done, in order."""
        match event:
            case _events.TimerFired():
                return self._tick(now)
            case protocol.PeerMessageReceived(sender, message):
                return self._message(sender, message, now)
            case _events.EndpointRegistered():
                return self._endpoints.register(event, now)
            case _events.EndpointLeft():
                return self._endpoints.leave(event, now)
            case _events.ConfigurationSubmitted():
                return self._configurations.submit(event, now)
            case _events.ConfigurationRead(exchange_id):
                return self._configurations.read(exchange_id, now)
            case _events.EngineInspected():
                return self._endpoints.inspected(event, now)
            case _events.LayerOrderAnswered():
                return self._endpoints.orders.ordered(event, now)
            case protocol.PeerConnected(hello):
                return self._peer_connected(hello, now)
            case protocol.PeerDisconnected(peer_id):
                self._peers.entries.pop(peer_id, None)
                self._load_sums.forget(peer_id)
                return [_log(events.PEER_DISCONNECTED.line(peer=peer_id))]
            case protocol.PeerRefused(address, failure):
                line = events.PEER_REFUSED.line(
                    address=address, failure=failure.detail()
                )
                return [_log(line)]
            case _events.SettingsReloaded(cfg):
                return self._peers.meet(cfg.seeds)
            case _events.DrainRequested():
                handed = consensus.LeadershipTransferRequested()
                return self._drive(handed, now)

    def _tick(self, now: datetime.datetime) -> Effects:
        made = self._drive(consensus.TimerFired(), now)
        made += self._configurations.expire(now)
        made += self._load_sums.tick(now)
        return made + self._endpoints.tick(self._configurations.table, now)

    def _message(
        self,
        sender: model.VmId,
        message: protocol.PeerMessage,
        now: datetime.datetime,
    ) -> Effects:
        match message:
            case protocol.RaftCarried(carried):
                arrived = consensus.PeerMessageReceived(sender, carried)
                return self._drive(arrived, now)
            case protocol.RegistrationsSeen():
                return self._endpoints.merge(message, now)
            case protocol.ConfigurationWanted(have):
                return [
                    self._configurations.configuration_for(sender, have, now)
                ]
            case protocol.ControlsKnown(controls):
                return self._peers.meet(controls)
            case protocol.CommandAsked():
                return self._configurations.ask(sender, message, now)
            case protocol.CommandAnswered():
                return self._configurations.command_answered(message)
            case protocol.EndpointFailed(endpoint_id, incarnation):
                return self._endpoints.check(
                    sender, endpoint_id, incarnation, now
                )
            case protocol.EndpointLost(endpoint_id, incarnation):
                self._endpoints.registry.mark_lost(
                    endpoint_id, incarnation, now
                )
                return []
            case protocol.EndpointPaced(endpoint_id, incarnation, slowness):
                self._endpoints.registry.set_slowdown(
                    endpoint_id, incarnation, slowness
                )
                return []
            case protocol.CrashWitnessed():
                return self._peers.tell_entries(message, but=sender)
            case protocol.LoadReported():
                self._load_sums.record_report(sender, message, now)
                return []
            case protocol.ReadIndexAsked(ask_id):
                return [
                    self._configurations.read_index_for(sender, ask_id, now)
                ]
            case protocol.ReadIndexAnswered(ask_id, index):
                return self._configurations.read_index(ask_id, index)
        return []

    def _peer_connected(
        self, hello: protocol.Hello, now: datetime.datetime
    ) -> Effects:
        made: Effects = [_log(events.PEER_CONNECTED.line(peer=hello.id))]
        if hello.role == "entry":
            self._peers.entries[hello.id] = hello.data_centre
            made.append(self._configurations.push(hello.id, now))
        else:
            made += self._peers.meet((hello.id,))
        words = tuple(known.registration for known in self._endpoints.registry)
        complete = protocol.RegistrationsSeen(words)
        made.append(_effects.SendMessage(hello.id, complete))
        made += [
            _effects.SendMessage(hello.id, one)
            for one in self._endpoints.slow_ones()
        ]
        return made + self._peers.tell_controls()

    def _drive(
        self, event: consensus.Event, now: datetime.datetime
    ) -> Effects:
        """Give the log an event and carry out what follows."""
        made: Effects = []
        pending: list[consensus.Event] = [event]
        while pending:
            for effect in self._raft.handle(pending.pop(0), now):
                made += self._carry_out(effect, pending, now)
        return made + self._configurations.serve_reads()

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
                return self._configurations.apply(effect, now)
            case consensus.RestoreSnapshot(state=raw):
                return self._configurations.restore(raw, now)
            case consensus.RejectProposal(proposal_id):
                return self._configurations.reject(proposal_id)
            case consensus.ChangeLeadership():
                return self._change_leadership(effect, now)
            case consensus.RequestSnapshot(index):
                dumped = self._configurations.ledger.dump()
                pending.append(consensus.SnapshotTaken(index, dumped))
                return []
            case consensus.ChangeMembers():
                members = effect.configuration.members
                return self._peers.meet(tuple(one.vm_id for one in members))

    def _change_leadership(
        self, effect: consensus.ChangeLeadership, now: datetime.datetime
    ) -> Effects:
        if effect.is_self:
            self._endpoints.orders.visit_leadership(now)
        else:
            self._endpoints.orders.leave_leadership()
        line = events.LEADER_CHANGED.line(
            leader=effect.leader_id, term=effect.term
        )
        return [_log(line)]


def _log(line: events.LogLine) -> _effects.WriteLog:
    return _effects.WriteLog(line)
