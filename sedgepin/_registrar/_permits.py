"""Permits for requests to endpoints that have named a limit."""

import datetime

from sedgepin import _consensus as consensus
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _rate_limits as rate_limits
from sedgepin._registrar import _effects
from sedgepin._registrar import _peers

Effects = list[_effects.RegistrarEffect]


class PermitManager:
    """Passes messages on permits to a coordinator, and sends its own."""

    __slots__ = ("_coordinator", "_raft")

    def __init__(
        self,
        limits: rate_limits.RequestLimits,
        peers: _peers.Peers,
        raft: consensus.RaftNode,
    ) -> None:
        self._coordinator = rate_limits.PermitCoordinator(
            limits, peers.entries
        )
        self._raft = raft

    def handle_message(
        self,
        sender: model.VmId,
        message: protocol.PermitAsked
        | protocol.PermitAnswered
        | protocol.PermitReturned,
        now: datetime.datetime,
    ) -> Effects:
        """Decide on a permit, or pass a message on."""
        leadership = self._leadership(now)
        match message:
            case protocol.PermitAsked():
                return _send(
                    self._coordinator.ask(sender, message, leadership, now)
                )
            case protocol.PermitAnswered():
                return _send(self._coordinator.pass_on(message, leadership))
            case protocol.PermitReturned():
                return _send(
                    self._coordinator.take_back(message, leadership, now)
                )

    def usage(self) -> list[rate_limits.LimitUsage]:
        """Return how the limits are used; on the leader only."""
        return self._coordinator.usage()

    def tick(self, now: datetime.datetime) -> Effects:
        """Grant the permits that are there now."""
        return _send(self._coordinator.tick(self._leadership(now), now))

    def _leadership(self, now: datetime.datetime) -> rate_limits.Leadership:
        return rate_limits.Leadership(
            self._raft.holds_lease(now), self._raft.leader_id
        )


def _send(messages: list[rate_limits.PermitMessage]) -> Effects:
    return [
        _effects.SendMessage(item.recipient, item.message) for item in messages
    ]
