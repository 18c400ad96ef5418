"""Publishing and reading the configuration through the Raft log."""

import collections.abc
import copy
import dataclasses
import datetime

from sedgepin import _catalog as catalog
from sedgepin import _consensus as consensus
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _confirmations
from sedgepin._registrar import _dialect
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin._registrar import _failures
from sedgepin._registrar import _ledger
from sedgepin._registrar import _peers
from sedgepin import events

Effects = list[_effects.RegistrarEffect]
_StepRaft = collections.abc.Callable[
    [consensus.Event, datetime.datetime], Effects
]

# Time that a call may wait for the log.  Operators retry at the next VM after
# 1 s without a response.
_LOG_TIMEOUT = datetime.timedelta(milliseconds=900)


@dataclasses.dataclass(slots=True, frozen=True)
class _PendingCall:
    """A call that waits for the log.

    ``number`` is the exchange id of an operator's call.  For a call that a
    control VM forwarded, ``origin`` is that VM and ``number`` its own number
    for the call.
    """

    number: int
    deadline: datetime.datetime
    origin: model.VmId | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class _PendingRead:
    """A read that waits until this replica has committed the read index."""

    exchange_id: int
    index: int
    deadline: datetime.datetime


@dataclasses.dataclass(slots=True)
class _PendingConfirmation:
    """An entry VM without a configuration that waits for a confirmed one.

    ``held_version`` is the one that it holds unconfirmed.  ``index`` is the
    leader's read index once it is known.
    """

    entry: model.VmId
    held_version: int
    deadline: datetime.datetime
    index: int | None = None


class ConfigurationManager:
    """The configuration in force, and the calls that wait for the log.

    ``step_raft`` passes an event to the Raft node and returns the effects.
    """

    __slots__ = (
        "_confirmations",
        "_dialect",
        "_encoded_configuration",
        "_forwarded_calls",
        "_next_number",
        "_peers",
        "_pending_reads",
        "_proposed_calls",
        "_push_confirmations",
        "_raft",
        "_step_raft",
        "_unactivated",
        "ledger",
        "table",
    )

    def __init__(
        self,
        dialect: _dialect.ControlDialect,
        peers: _peers.Peers,
        raft: consensus.RaftNode,
        step_raft: _StepRaft,
    ) -> None:
        self._dialect = dialect
        self._peers = peers
        self._raft = raft
        self._step_raft = step_raft
        self.ledger = _ledger.ConfigurationLedger()
        self.table: catalog.RouteTable | None = None
        self._encoded_configuration = b""
        # Committed configurations that are not in force yet, in log order.
        self._unactivated: list[_ledger.ConfigurationLedger] = []
        self._next_number = 1
        self._proposed_calls: dict[int, _PendingCall] = {}
        self._forwarded_calls: dict[int, _PendingCall] = {}
        self._pending_reads: list[_PendingRead] = []
        self._confirmations: dict[int, _PendingConfirmation] = {}
        self._push_confirmations = _confirmations.PushConfirmations()

    def submit(
        self, event: _events.ConfigurationSubmitted, now: datetime.datetime
    ) -> Effects:
        """Propose a configuration to the log, or forward it to the leader.

        Responds with ``NoQuorum`` if no leader is known.
        """
        command = _ledger.encode_command(
            _ledger.PublishConfiguration(
                event.version, _ledger.compress(event.document)
            )
        )
        call = _PendingCall(event.exchange_id, now + _LOG_TIMEOUT)
        if self._raft.is_leader:
            return self.propose(command, call, now)
        leader = self._raft.leader_id
        if leader is None:
            failure = _failures.NoQuorum()
            return [_effects.RespondWithFailure(event.exchange_id, failure)]
        ask_id = self._allocate_number()
        self._forwarded_calls[ask_id] = call
        message = protocol.CommandAsked(ask_id, command)
        return [_effects.SendMessage(leader, message)]

    def propose(
        self, command: bytes, call: _PendingCall, now: datetime.datetime
    ) -> Effects:
        """Propose a command to the log, on behalf of a call."""
        proposal_id = self._allocate_number()
        self._proposed_calls[proposal_id] = call
        proposal = consensus.Proposal(proposal_id, command)
        return self._step_raft(consensus.CommandsProposed((proposal,)), now)

    def complete(self, call: _PendingCall, is_committed: bool) -> Effects:
        """Respond to a call, or to the control VM that forwarded it.

        Without ``is_committed`` the response is ``CommitUnknown``, because the
        command may still be committed later.
        """
        if call.origin is not None:
            refusal = None
            if not is_committed:
                code = _failures.CommitUnknown.code
                refusal = protocol.CommandRefusal(code, None, True)
            answer = protocol.CommandAnswered(
                call.number, b"" if is_committed else None, refusal
            )
            return [_effects.SendMessage(call.origin, answer)]
        if is_committed:
            return [_effects.Acknowledge(call.number)]
        return [
            _effects.RespondWithFailure(call.number, _failures.CommitUnknown())
        ]

    def handle_command_answer(
        self, message: protocol.CommandAnswered
    ) -> Effects:
        """Respond to the call whose command the leader has answered."""
        call = self._forwarded_calls.pop(message.ask_id, None)
        if call is None:
            return []
        return self.complete(call, message.refusal is None)

    def read(self, exchange_id: int, now: datetime.datetime) -> Effects:
        """Respond with the latest committed configuration.

        Reads are linearizable: a leader with a valid lease responds at once,
        other VMs ask the leader for its read index first.
        """
        if self._raft.holds_lease(now):
            return [self._answer_read(exchange_id)]
        leader = self._raft.leader_id
        if leader is None or self._raft.is_leader:
            failure = _failures.NoQuorum()
            return [_effects.RespondWithFailure(exchange_id, failure)]
        ask_id = self._allocate_number()
        self._forwarded_calls[ask_id] = _PendingCall(
            exchange_id, now + _LOG_TIMEOUT
        )
        message = protocol.ReadIndexAsked(ask_id)
        return [_effects.SendMessage(leader, message)]

    def answer_read_index(
        self, sender: model.VmId, ask_id: int, now: datetime.datetime
    ) -> _effects.RegistrarEffect:
        """Answer a follower's read-index request.

        The index is ``None`` unless this VM is a leader with a valid lease.
        """
        index = None
        if self._raft.holds_lease(now):
            index = self._raft.commit_index
        answer = protocol.ReadIndexAnswered(ask_id, index)
        return _effects.SendMessage(sender, answer)

    def connect_entry(
        self, entry: model.VmId, now: datetime.datetime
    ) -> Effects:
        """Announce the configuration to an entry VM that has connected."""
        self._push_confirmations.add(entry)
        if self._raft.may_lose_applied:
            return []
        return [self.announcement(entry, now), *self.confirm_pushes(now)]

    def disconnect_entry(self, entry: model.VmId) -> None:
        """Forget an entry VM whose connection has ended."""
        self._push_confirmations.remove(entry)

    def confirm_pushes(self, now: datetime.datetime) -> Effects:
        """Tell entry VMs once that what was pushed to them is the latest.

        Asks the leader first if this VM is a follower.
        """
        if self.ledger.is_empty or self._raft.may_lose_applied:
            return []
        confirmed = self._push_confirmations.take_confirmed(self._raft, now)
        message = protocol.ConfigurationPublished(self.ledger.version, True)
        effects: Effects = [
            _effects.SendMessage(entry, message) for entry in confirmed
        ]
        leader = self._raft.leader_id
        if (
            leader is not None
            and not self._raft.is_leader
            and self._push_confirmations.is_due(now)
        ):
            ask_id = self._allocate_number()
            self._push_confirmations.start(ask_id, now)
            request = protocol.ReadIndexAsked(ask_id)
            effects.append(_effects.SendMessage(leader, request))
        return effects

    def handle_read_index(self, ask_id: int, index: int | None) -> Effects:
        """Continue a read with the leader's read index.

        Without an index the read fails with ``NoQuorum``.
        """
        if self._push_confirmations.record_index(ask_id, index):
            return []
        confirmation = self._confirmations.get(ask_id)
        if confirmation is not None:
            if index is None:
                del self._confirmations[ask_id]
                return [self._send(confirmation, False)]
            confirmation.index = index
            return self.serve_reads()
        call = self._forwarded_calls.pop(ask_id, None)
        if call is None:
            return []
        if index is None:
            failure = _failures.NoQuorum()
            return [_effects.RespondWithFailure(call.number, failure)]
        self._pending_reads.append(
            _PendingRead(call.number, index, call.deadline)
        )
        return self.serve_reads()

    def serve_reads(self) -> Effects:
        """Respond to the reads whose read index has been committed here."""
        committed = self._raft.commit_index
        effects: Effects = []
        for ask_id, confirmation in list(self._confirmations.items()):
            if confirmation.index is None or confirmation.index > committed:
                continue
            del self._confirmations[ask_id]
            effects.append(self._send(confirmation, True))
        if not self._pending_reads:
            return effects
        ready = [
            read for read in self._pending_reads if read.index <= committed
        ]
        self._pending_reads = [
            read for read in self._pending_reads if read.index > committed
        ]
        return effects + [
            self._answer_read(read.exchange_id) for read in ready
        ]

    def _answer_read(self, exchange_id: int) -> _effects.RegistrarEffect:
        if self.ledger.is_empty:
            failure = _failures.NothingPublished()
            return _effects.RespondWithFailure(exchange_id, failure)
        return _effects.RespondWithConfiguration(
            exchange_id, self.ledger.text()
        )

    def expire(self, now: datetime.datetime) -> Effects:
        """Respond with a failure to the calls that have waited too long."""
        effects: Effects = []
        for pending in (self._proposed_calls, self._forwarded_calls):
            for number, call in list(pending.items()):
                if now >= call.deadline:
                    del pending[number]
                    effects += self.complete(call, is_committed=False)
        for read in [
            read for read in self._pending_reads if now >= read.deadline
        ]:
            self._pending_reads.remove(read)
            failure = _failures.NoQuorum()
            effects.append(
                _effects.RespondWithFailure(read.exchange_id, failure)
            )
        for ask_id, confirmation in list(self._confirmations.items()):
            if now >= confirmation.deadline:
                del self._confirmations[ask_id]
                effects.append(self._send(confirmation, False))
        return effects

    def answer_wanted(
        self,
        entry: model.VmId,
        wanted: protocol.ConfigurationWanted,
        now: datetime.datetime,
    ) -> Effects:
        """Answer an entry VM that asked for a configuration.

        One that has none yet needs a confirmed configuration to start with.
        It may be connected to no leader, so a follower asks the leader
        whether its configuration is the latest.  There is no answer while a
        restart may lose the configuration.
        """
        if self._raft.may_lose_applied:
            return []
        leader = self._raft.leader_id
        if wanted.have >= 0 or self._raft.is_leader or leader is None:
            version = max(wanted.have, wanted.held)
            return [self.configuration_message(entry, version, now)]
        ask_id = self._allocate_number()
        self._confirmations[ask_id] = _PendingConfirmation(
            entry, wanted.held, now + _LOG_TIMEOUT
        )
        message = protocol.ReadIndexAsked(ask_id)
        return [_effects.SendMessage(leader, message)]

    def _send(
        self, confirmation: _PendingConfirmation, is_confirmed: bool
    ) -> _effects.RegistrarEffect:
        """Return the message with the configuration, unless it is held."""
        is_held = confirmation.held_version == self.ledger.version
        message = protocol.ConfigurationPublished(
            self.ledger.version,
            is_confirmed and not self.ledger.is_empty,
            b"" if is_held else self._encoded_configuration,
        )
        return _effects.SendMessage(confirmation.entry, message)

    def configuration_message(
        self, peer_id: model.VmId, peer_version: int, now: datetime.datetime
    ) -> _effects.RegistrarEffect:
        """Return the message that updates a peer from ``peer_version``.

        It contains the configuration only if the peer's version is older.
        """
        is_newer = (
            not self.ledger.is_empty and self.ledger.version > peer_version
        )
        message = protocol.ConfigurationPublished(
            self.ledger.version,
            self._raft.holds_lease(now) and not self.ledger.is_empty,
            self._encoded_configuration if is_newer else b"",
        )
        return _effects.SendMessage(peer_id, message)

    def activate(self, now: datetime.datetime) -> Effects:
        """Put the newest valid committed configuration in force, if any.

        Call it once after all entries that were committed together, since a
        control VM that starts replays its whole log.
        """
        effects: Effects = []
        while self._unactivated:
            committed = self._unactivated.pop()
            parsed = self._dialect.parse_configuration(committed.text())
            if parsed.is_ok():
                self._unactivated.clear()
                return effects + self._announce(parsed.unwrap(), now)
            # The VM that accepted it runs another software version, which
            # considers it valid.
            line = events.CONFIGURATION_REFUSED.line(
                version=committed.version,
                failure=parsed.unwrap_err().detail(),
            )
            effects.append(_effects.WriteLog(line))
        return effects

    def _announce(
        self, configuration: catalog.Configuration, now: datetime.datetime
    ) -> Effects:
        self.table = catalog.RouteTable(configuration)
        self._encoded_configuration = catalog.encode(configuration)
        line = events.CONFIGURATION_FOLLOWED.line(
            version=configuration.version,
            index=self._raft.commit_index,
            routes=len(configuration.routes),
        )
        effects: Effects = [_effects.WriteLog(line)]
        for entry in sorted(self._peers.entries):
            effects.append(self.announcement(entry, now))
        return effects

    def announcement(
        self, entry: model.VmId, now: datetime.datetime
    ) -> _effects.RegistrarEffect:
        """Return the message that announces the configuration to an entry VM.

        An entry VM in another data centre is sent the version only, to save
        traffic between data centres.  It requests the configuration if no
        control VM in its own data centre sends it first.
        """
        if self._raft.holds_lease(now) and not self.ledger.is_empty:
            # The announcement is confirmed.
            self._push_confirmations.remove(entry)
        peer_version = (
            -1
            if self._peers.is_in_own_data_centre(entry)
            else self.ledger.version
        )
        return self.configuration_message(entry, peer_version, now)

    def propose_for_peer(
        self,
        sender: model.VmId,
        message: protocol.CommandAsked,
        now: datetime.datetime,
    ) -> Effects:
        """Propose a command that another control VM forwarded."""
        call = _PendingCall(message.ask_id, now + _LOG_TIMEOUT, sender)
        return self.propose(message.command, call, now)

    def apply(self, effect: consensus.ApplyEntry) -> Effects:
        """Apply a committed command; respond to the call that proposed it."""
        command = _ledger.decode_command(effect.command)
        effects: Effects = []
        if self.ledger.apply(command):
            self._unactivated.append(copy.copy(self.ledger))
        if effect.proposal_id is not None:
            call = self._proposed_calls.pop(effect.proposal_id, None)
            if call is not None:
                effects += self.complete(call, is_committed=True)
        return effects

    def reject(self, proposal_id: int) -> Effects:
        """Respond with ``CommitUnknown`` to the call of a failed proposal."""
        call = self._proposed_calls.pop(proposal_id, None)
        if call is None:
            return []
        return self.complete(call, is_committed=False)

    def restore(self, raw: bytes) -> None:
        """Replace the state by that of a snapshot."""
        self.ledger = _ledger.ConfigurationLedger.load(raw)
        self._unactivated.clear()
        if not self.ledger.is_empty:
            self._unactivated.append(copy.copy(self.ledger))

    def _allocate_number(self) -> int:
        number = self._next_number
        self._next_number += 1
        return number
