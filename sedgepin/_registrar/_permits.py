"""Permits for requests to endpoints that have named a limit.

The leader grants them.  An entry VM asks the control VM that it is connected
to, which passes its question on.
"""

import datetime

import msgspec

from sedgepin import _consensus as consensus
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _rate_limits as rate_limits
from sedgepin._registrar import _effects
from sedgepin._registrar import _peers

Effects = list[_effects.RegistrarEffect]


class PermitManager:
    """Grants permits as the leader, and passes messages on otherwise."""

    __slots__ = ("_ledger", "_limits", "_peers", "_raft")

    def __init__(
        self,
        limits: rate_limits.RequestLimits,
        peers: _peers.Peers,
        raft: consensus.RaftNode,
    ) -> None:
        self._limits = limits
        self._ledger = rate_limits.PermitLedger(limits)
        self._peers = peers
        self._raft = raft

    def ask(
        self,
        sender: model.VmId,
        message: protocol.PermitAsked,
        now: datetime.datetime,
    ) -> Effects:
        """Decide on a permit, or let the leader do it."""
        if not self._raft.holds_lease(now):
            if message.entry:
                return []
            return self._send_to_leader(
                msgspec.structs.replace(message, entry=sender)
            )
        self._limits.learn(
            message.endpoint_id,
            message.incarnation,
            message.requests_per_second,
            now,
        )
        request = rate_limits.PermitRequest(
            message.entry or sender,
            message.ask_id,
            message.endpoint_id,
            message.incarnation,
            datetime.timedelta(milliseconds=message.max_wait_milliseconds),
            message.priority,
            sender if message.entry else None,
        )
        return _answer(self._ledger.ask(request, now))

    def answer(self, message: protocol.PermitAnswered) -> Effects:
        """Pass on the leader's decision to the entry VM that asked."""
        if message.entry not in self._peers.entries:
            if not message.is_granted:
                return []
            return self._send_to_leader(
                protocol.PermitReturned(
                    message.endpoint_id, message.incarnation
                )
            )
        return [_effects.SendMessage(message.entry, message)]

    def take_back(
        self, message: protocol.PermitReturned, now: datetime.datetime
    ) -> Effects:
        """Take back a permit that was not used."""
        if not self._raft.holds_lease(now):
            return self._send_to_leader(message)
        return _answer(
            self._ledger.put_back(
                message.endpoint_id, message.incarnation, now
            )
        )

    def tick(self, now: datetime.datetime) -> Effects:
        """Grant what can be granted now; forget all without the lease."""
        if not self._raft.holds_lease(now):
            self._ledger.clear()
            return []
        return _answer(self._ledger.tick(now))

    def _send_to_leader(self, message: protocol.PeerMessage) -> Effects:
        leader = self._raft.leader_id
        if leader is None or leader not in self._peers.connected_controls:
            return []
        return [_effects.SendMessage(leader, message)]


def _answer(decisions: list[rate_limits.PermitDecision]) -> Effects:
    return [
        _effects.SendMessage(
            decision.request.relay or decision.request.entry,
            protocol.PermitAnswered(
                decision.request.endpoint_id,
                decision.request.incarnation,
                decision.request.ask_id,
                decision.is_granted,
                int(decision.wait.total_seconds() * 1000),
                decision.request.entry,
            ),
        )
        for decision in decisions
    ]
