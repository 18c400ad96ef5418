"""Calls that publish and read the configuration."""

import collections.abc
import dataclasses
import datetime

from sedgepin import _catalog as catalog
from sedgepin import _consensus as consensus
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _dialect
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin._registrar import _failures
from sedgepin._registrar import _ledger
from sedgepin._registrar import _peers
from sedgepin import events

Effects = list[_effects.RegistrarEffect]
_Drive = collections.abc.Callable[
    [consensus.Event, datetime.datetime], Effects
]

# How long an operator's call waits for the log; operators ask the next VM
# after a second without an answer.
_ANSWER_TIME = datetime.timedelta(milliseconds=900)


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


class Configurations:
    """The configuration in force here, and who waits to write or read it.

    ``drive`` gives the log an event and returns what follows.
    """

    __slots__ = (
        "_asked",
        "_dialect",
        "_drive",
        "_encoded",
        "_next_number",
        "_peers",
        "_proposed",
        "_raft",
        "_reading",
        "ledger",
        "table",
    )

    def __init__(
        self,
        dialect: _dialect.ControlDialect,
        peers: _peers.Peers,
        raft: consensus.RaftNode,
        drive: _Drive,
    ) -> None:
        self._dialect = dialect
        self._peers = peers
        self._raft = raft
        self._drive = drive
        self.ledger = _ledger.ConfigurationLedger()
        self.table: catalog.RouteTable | None = None
        self._encoded = b""
        self._next_number = 1
        self._proposed: dict[int, _Waiting] = {}
        self._asked: dict[int, _Waiting] = {}
        self._reading: list[_PendingRead] = []

    def submit(
        self, event: _events.ConfigurationSubmitted, now: datetime.datetime
    ) -> Effects:
        """Put a configuration into the log, here or at the leader."""
        command = _ledger.encode_command(
            _ledger.PublishConfiguration(
                event.version, _ledger.compress(event.document)
            )
        )
        waiting = _Waiting(event.exchange_id, now + _ANSWER_TIME)
        if self._raft.is_leader:
            return self.propose(command, waiting, now)
        leader = self._raft.leader_id
        if leader is None:
            failure = _failures.NoQuorum()
            return [_effects.Refuse(event.exchange_id, failure)]
        ask_id = self._number()
        self._asked[ask_id] = waiting
        message = protocol.CommandAsked(ask_id, command)
        return [_effects.SendMessage(leader, message)]

    def propose(
        self, command: bytes, waiting: _Waiting, now: datetime.datetime
    ) -> Effects:
        """Put a command into the log that someone waits for."""
        proposal_id = self._number()
        self._proposed[proposal_id] = waiting
        proposal = consensus.Proposal(proposal_id, command)
        return self._drive(consensus.CommandsProposed((proposal,)), now)

    def settle(self, waiting: _Waiting, is_committed: bool) -> Effects:
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

    def command_answered(self, message: protocol.CommandAnswered) -> Effects:
        """Take in what the leader made of a command."""
        waiting = self._asked.pop(message.ask_id, None)
        if waiting is None:
            return []
        return self.settle(waiting, message.refusal is None)

    def read(self, exchange_id: int, now: datetime.datetime) -> Effects:
        """Show the configuration, if it is sure to be the newest."""
        if self._raft.holds_lease(now):
            return [self._show(exchange_id)]
        leader = self._raft.leader_id
        if leader is None or self._raft.is_leader:
            failure = _failures.NoQuorum()
            return [_effects.Refuse(exchange_id, failure)]
        ask_id = self._number()
        self._asked[ask_id] = _Waiting(exchange_id, now + _ANSWER_TIME)
        message = protocol.ReadIndexAsked(ask_id)
        return [_effects.SendMessage(leader, message)]

    def read_index_for(
        self, sender: model.VmId, ask_id: int, now: datetime.datetime
    ) -> _effects.RegistrarEffect:
        """Answer a control VM that asks how far the log is."""
        index = None
        if self._raft.holds_lease(now):
            index = self._raft.commit_index
        answer = protocol.ReadIndexAnswered(ask_id, index)
        return _effects.SendMessage(sender, answer)

    def read_index(self, ask_id: int, index: int | None) -> Effects:
        """Take in how far the leader's log is."""
        waiting = self._asked.pop(ask_id, None)
        if waiting is None:
            return []
        if index is None:
            failure = _failures.NoQuorum()
            return [_effects.Refuse(waiting.number, failure)]
        self._reading.append(
            _PendingRead(waiting.number, index, waiting.deadline)
        )
        return self.serve_reads()

    def serve_reads(self) -> Effects:
        """Answer the reads for which this replica is far enough."""
        if not self._reading:
            return []
        reached = self._raft.commit_index
        ready = [one for one in self._reading if one.index <= reached]
        self._reading = [one for one in self._reading if one.index > reached]
        return [self._show(one.exchange_id) for one in ready]

    def _show(self, exchange_id: int) -> _effects.RegistrarEffect:
        if self.ledger.is_empty:
            failure = _failures.NothingPublished()
            return _effects.Refuse(exchange_id, failure)
        return _effects.ShowConfiguration(exchange_id, self.ledger.text())

    def expire(self, now: datetime.datetime) -> Effects:
        """Refuse what the log did not answer in time."""
        made: Effects = []
        for waiters in (self._proposed, self._asked):
            for number, waiting in list(waiters.items()):
                if now >= waiting.deadline:
                    del waiters[number]
                    made += self.settle(waiting, is_committed=False)
        for read in [one for one in self._reading if now >= one.deadline]:
            self._reading.remove(read)
            failure = _failures.NoQuorum()
            made.append(_effects.Refuse(read.exchange_id, failure))
        return made

    def configuration_for(
        self, peer_id: model.VmId, have: int, now: datetime.datetime
    ) -> _effects.RegistrarEffect:
        """Return the message that brings a peer up to date."""
        is_news = not self.ledger.is_empty and self.ledger.version > have
        message = protocol.ConfigurationPublished(
            self.ledger.version,
            self._raft.holds_lease(now) and not self.ledger.is_empty,
            self._encoded if is_news else b"",
        )
        return _effects.SendMessage(peer_id, message)

    def follow(self, now: datetime.datetime) -> Effects:
        """Put the ledger's configuration in force here and tell entries."""
        read = self._dialect.parse_configuration(self.ledger.text())
        if read.is_err():
            # It was valid where it was accepted, by another version.
            line = events.CONFIGURATION_REFUSED.line(
                version=self.ledger.version,
                failure=read.unwrap_err().detail(),
            )
            return [_effects.WriteLog(line)]
        configuration = read.unwrap()
        self.table = catalog.RouteTable(configuration)
        self._encoded = catalog.encode(configuration)
        line = events.CONFIGURATION_FOLLOWED.line(
            version=configuration.version,
            index=self._raft.commit_index,
            routes=len(configuration.routes),
        )
        made: Effects = [_effects.WriteLog(line)]
        for entry in sorted(self._peers.entries):
            made.append(self.push(entry, now))
        return made

    def push(
        self, entry: model.VmId, now: datetime.datetime
    ) -> _effects.RegistrarEffect:
        """Return the message that tells an entry VM of a configuration.

        One in another data centre is told the version alone, and asks for
        the rest if no control VM near it sends that first.
        """
        have = -1 if self._peers.is_near(entry) else self.ledger.version
        return self.configuration_for(entry, have, now)

    def ask(
        self,
        sender: model.VmId,
        message: protocol.CommandAsked,
        now: datetime.datetime,
    ) -> Effects:
        """Put a command into the log that another control VM took."""
        waiting = _Waiting(message.ask_id, now + _ANSWER_TIME, sender)
        return self.propose(message.command, waiting, now)

    def apply(
        self, effect: consensus.ApplyEntry, now: datetime.datetime
    ) -> Effects:
        """Apply a committed command, and tell whoever waits for it."""
        command = _ledger.decode_command(effect.command)
        made: Effects = []
        if self.ledger.apply(command):
            made += self.follow(now)
        if effect.proposal_id is not None:
            waiting = self._proposed.pop(effect.proposal_id, None)
            if waiting is not None:
                made += self.settle(waiting, is_committed=True)
        return made

    def reject(self, proposal_id: int) -> Effects:
        """Tell whoever waits that a command's fate is not known."""
        waiting = self._proposed.pop(proposal_id, None)
        if waiting is None:
            return []
        return self.settle(waiting, is_committed=False)

    def restore(self, raw: bytes, now: datetime.datetime) -> Effects:
        """Take over the state of a snapshot."""
        self.ledger = _ledger.ConfigurationLedger.load(raw)
        return [] if self.ledger.is_empty else self.follow(now)

    def _number(self) -> int:
        number = self._next_number
        self._next_number += 1
        return number
