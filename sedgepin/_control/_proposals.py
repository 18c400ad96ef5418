"""Returns the results of Raft proposals to those who proposed them."""

import dataclasses
import typing

from sedgepin import _consensus as consensus
from sedgepin._control import _effects
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _state as state
from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class PeerOrigin:
    """A peer proposed the command, under its own ``ask_id``."""

    peer_id: model.VmId
    ask_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class OperatorOrigin:
    """An operator proposed the command, over HTTP."""

    exchange_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class InternalOrigin:
    """The leader proposed the command itself; nobody waits for it."""


ProposalOrigin: typing.TypeAlias = PeerOrigin | OperatorOrigin | InternalOrigin


class Proposals:
    """Maps each open proposal of this VM to its origin."""

    __slots__ = ("_next_id", "_origins")

    def __init__(self) -> None:
        self._next_id = 1
        self._origins: dict[int, ProposalOrigin] = {}

    def add(
        self, command: state.Command, origin: ProposalOrigin
    ) -> consensus.Proposal:
        """Return a proposal for a command and remember its origin."""
        proposal_id = self._next_id
        self._next_id += 1
        self._origins[proposal_id] = origin
        raw = state.encode_command(command)
        return consensus.Proposal(proposal_id, raw)

    def complete(
        self, proposal_id: int | None, reply: state.Reply
    ) -> list[_effects.ControlEffect]:
        """Return the effects that send the reply to the proposal's origin."""
        if proposal_id is None:
            return []
        match self._origins.pop(proposal_id, InternalOrigin()):
            case PeerOrigin(peer_id, ask_id):
                raw = state.encode_reply(reply)
                answer = protocol.CommandAnswered(ask_id, raw)
                return [_effects.SendMessage(peer_id, answer)]
            case OperatorOrigin(exchange_id):
                return [_effects.AnswerOperator(exchange_id, reply)]
        return []

    def reject(
        self, proposal_id: int, failure: errors.Failure
    ) -> list[_effects.ControlEffect]:
        """Return the effects that send a failure to the proposal's origin.

        The command was not committed by this VM.
        """
        match self._origins.pop(proposal_id, InternalOrigin()):
            case PeerOrigin(peer_id, ask_id):
                return [error_reply(peer_id, ask_id, failure)]
            case OperatorOrigin(exchange_id):
                return [_effects.AnswerOperator(exchange_id, failure)]
        return []


def error_reply(
    peer_id: model.VmId, ask_id: int, failure: errors.Failure
) -> _effects.SendMessage:
    """Return the message that refuses a peer's command.

    It names the leader if the failure does, and says whether the command may
    still be committed.
    """
    leader_id = None
    if isinstance(failure, consensus.NotLeader):
        leader_id = failure.leader_id
    refusal = protocol.CommandRefusal(
        failure.code,
        leader_id,
        failure.outcome is errors.Outcome.UNKNOWN,
    )
    answer = protocol.CommandAnswered(ask_id, None, refusal)
    return _effects.SendMessage(peer_id, answer)
