"""Who waits for which proposal."""

import dataclasses
import typing

from sedgepin import _consensus as consensus
from sedgepin._control import _effects
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _state as state
from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class PeerWaits:
    """A peer asked, under a number of its own."""

    peer_id: model.VmId
    ask_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class OperatorWaits:
    """An operator asked, over HTTP."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class NobodyWaits:
    """The leader proposed it by itself."""


Waiter: typing.TypeAlias = PeerWaits | OperatorWaits | NobodyWaits


class Proposals:
    """Matches what was committed or rejected to who asked for it."""

    __slots__ = ("_next_id", "_waiters")

    def __init__(self) -> None:
        self._next_id = 1
        self._waiters: dict[int, Waiter] = {}

    def visit(
        self, command: state.Command, waiter: Waiter
    ) -> consensus.Proposal:
        """Return the proposal for a command that ``waiter`` waits for."""
        proposal_id = self._next_id
        self._next_id += 1
        self._waiters[proposal_id] = waiter
        raw = state.encode_command(command)
        return consensus.Proposal(proposal_id, raw)

    def leave(
        self, proposal_id: int | None, reply: state.Reply
    ) -> list[_effects.ControlEffect]:
        """Tell whoever waits what the command came to."""
        if proposal_id is None:
            return []
        match self._waiters.pop(proposal_id, NobodyWaits()):
            case PeerWaits(peer_id, ask_id):
                raw = state.encode_reply(reply)
                answer = protocol.CommandAnswered(ask_id, raw)
                return [_effects.SendMessage(peer_id, answer)]
            case OperatorWaits(exchange_id):
                return [_effects.AnswerOperator(exchange_id, reply)]
        return []

    def reject(
        self, proposal_id: int, failure: errors.Failure
    ) -> list[_effects.ControlEffect]:
        """Tell whoever waits that the command was not committed here."""
        match self._waiters.pop(proposal_id, NobodyWaits()):
            case PeerWaits(peer_id, ask_id):
                return [refusal_to_peer(peer_id, ask_id, failure)]
            case OperatorWaits(exchange_id):
                return [_effects.AnswerOperator(exchange_id, failure)]
        return []


def refusal_to_peer(
    peer_id: model.VmId, ask_id: int, failure: errors.Failure
) -> _effects.SendMessage:
    """Return the message that tells a peer why its command was refused."""
    leader = None
    if isinstance(failure, consensus.NotLeader):
        leader = failure.leader_id
    refusal = protocol.CommandRefusal(
        failure.code,
        leader,
        failure.outcome is errors.Outcome.UNKNOWN,
    )
    answer = protocol.CommandAnswered(ask_id, None, refusal)
    return _effects.SendMessage(peer_id, answer)
