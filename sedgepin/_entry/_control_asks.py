"""Commands on their way from this VM to the leader of the log.

Every command may be sent again and to any control VM: the state machine
takes a repeated one as the first.
"""

import dataclasses
import typing

from sedgepin._entry import _effects
from sedgepin import _model as model
from sedgepin import _protocol as protocol

_REDIRECT_LIMIT = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Asked:
    """Send the command; nothing is known of it yet."""

    effect: _effects.SendMessage


@dataclasses.dataclass(slots=True, frozen=True)
class Replied:
    """The command was committed; ``reply`` is what it came to."""

    subject: str
    reply: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Unreachable:
    """No control VM took the command, as far as is known."""

    subject: str


Progress: typing.TypeAlias = Asked | Replied | Unreachable


@dataclasses.dataclass(slots=True)
class _Ask:
    subject: str
    command: bytes
    asked: model.VmId
    redirects: int = 0


class ControlAsks:
    """Finds the leader, follows redirects, matches replies to asks.

    ``subject`` is the asker's own name for what a command is about.
    """

    __slots__ = ("_asks", "_connected", "_controls", "_leader", "_next_id")

    def __init__(self, controls: tuple[model.VmId, ...]) -> None:
        self._controls = controls
        self._connected: set[model.VmId] = set()
        self._leader: model.VmId | None = None
        self._asks: dict[int, _Ask] = {}
        self._next_id = 1

    def connected(self, peer_id: model.VmId) -> None:
        """Note that a control VM can be reached."""
        if peer_id in self._controls:
            self._connected.add(peer_id)

    def disconnected(self, peer_id: model.VmId) -> list[Progress]:
        """Give up what was asked of a VM that is gone."""
        self._connected.discard(peer_id)
        if self._leader == peer_id:
            self._leader = None
        lost = [
            ask_id
            for ask_id, ask in self._asks.items()
            if ask.asked == peer_id
        ]
        return [Unreachable(self._asks.pop(ask_id).subject) for ask_id in lost]

    def ask(self, subject: str, command: bytes) -> Progress:
        """Send a command, and forget an earlier one on the same subject."""
        for ask_id, ask in list(self._asks.items()):
            if ask.subject == subject:
                del self._asks[ask_id]
        target = self._target()
        if target is None:
            return Unreachable(subject)
        return self._send(_Ask(subject, command, target))

    def answered(self, message: protocol.CommandAnswered) -> Progress | None:
        """Take in an answer; ``None`` if nobody waits for it any more."""
        ask = self._asks.pop(message.ask_id, None)
        if ask is None:
            return None
        if message.reply is not None:
            self._leader = ask.asked
            return Replied(ask.subject, message.reply)
        refusal = message.refusal
        leader = None if refusal is None else refusal.leader_id
        self._leader = leader
        may_follow = ask.redirects < _REDIRECT_LIMIT
        if leader is None or leader == ask.asked or not may_follow:
            return Unreachable(ask.subject)
        if leader in self._connected:
            ask.asked = leader
            ask.redirects += 1
            return self._send(ask)
        return Unreachable(ask.subject)

    def _target(self) -> model.VmId | None:
        if self._leader in self._connected:
            return self._leader
        return min(self._connected, default=None)

    def _send(self, ask: _Ask) -> Asked:
        ask_id = self._next_id
        self._next_id += 1
        self._asks[ask_id] = ask
        message = protocol.CommandAsked(ask_id, ask.command)
        return Asked(_effects.SendMessage(ask.asked, message))
