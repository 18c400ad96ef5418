"""Commands that this VM sends to the leader of the Raft group.

Every command may be sent again, and to any control VM: the state machine
treats a repeated command like the first one.
"""

import dataclasses
import typing

from sedgepin._entry import _effects
from sedgepin import _model as model
from sedgepin import _protocol as protocol

_REDIRECT_LIMIT = 3


@dataclasses.dataclass(slots=True, frozen=True)
class CommandSent:
    """The command is to be sent with ``effect``; its reply is pending."""

    effect: _effects.SendMessage


@dataclasses.dataclass(slots=True, frozen=True)
class CommandCommitted:
    """The command was committed with the state machine's ``reply``."""

    subject: str
    reply: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class CommandUnconfirmed:
    """No control VM confirmed the command; it may have been committed."""

    subject: str


CommandProgress: typing.TypeAlias = (
    CommandSent | CommandCommitted | CommandUnconfirmed
)


@dataclasses.dataclass(slots=True)
class _PendingCommand:
    subject: str
    command: bytes
    target: model.VmId
    redirects: int = 0


class CommandClient:
    """Finds the leader, follows redirects and matches replies to commands.

    ``subject`` is a name that the caller of ``send`` chooses for what the
    command concerns.  At most one command per subject is pending.
    """

    __slots__ = ("_connected", "_controls", "_leader", "_next_id", "_pending")

    def __init__(self, controls: tuple[model.VmId, ...]) -> None:
        self._controls = controls
        self._connected: set[model.VmId] = set()
        self._leader: model.VmId | None = None
        self._pending: dict[int, _PendingCommand] = {}
        self._next_id = 1

    def record_connected(self, peer_id: model.VmId) -> None:
        """Record that a peer is connected; only control VMs matter here."""
        if peer_id in self._controls:
            self._connected.add(peer_id)

    def record_disconnected(
        self, peer_id: model.VmId
    ) -> list[CommandProgress]:
        """Drop the commands that wait for a reply from a disconnected VM."""
        self._connected.discard(peer_id)
        if self._leader == peer_id:
            self._leader = None
        lost = [
            ask_id
            for ask_id, pending in self._pending.items()
            if pending.target == peer_id
        ]
        return [
            CommandUnconfirmed(self._pending.pop(ask_id).subject)
            for ask_id in lost
        ]

    def send(self, subject: str, command: bytes) -> CommandProgress:
        """Send a command; it replaces a pending one on the same subject."""
        for ask_id, pending in list(self._pending.items()):
            if pending.subject == subject:
                del self._pending[ask_id]
        target = self._target()
        if target is None:
            return CommandUnconfirmed(subject)
        return self._send(_PendingCommand(subject, command, target))

    def handle_reply(
        self, message: protocol.CommandAnswered
    ) -> CommandProgress | None:
        """Match a reply to its command; ``None`` if none is pending."""
        pending = self._pending.pop(message.ask_id, None)
        if pending is None:
            return None
        if message.reply is not None:
            self._leader = pending.target
            return CommandCommitted(pending.subject, message.reply)
        refusal = message.refusal
        leader = None if refusal is None else refusal.leader_id
        self._leader = leader
        may_follow = pending.redirects < _REDIRECT_LIMIT
        if leader is None or leader == pending.target or not may_follow:
            return CommandUnconfirmed(pending.subject)
        if leader in self._connected:
            pending.target = leader
            pending.redirects += 1
            return self._send(pending)
        return CommandUnconfirmed(pending.subject)

    def _target(self) -> model.VmId | None:
        if self._leader in self._connected:
            return self._leader
        return min(self._connected, default=None)

    def _send(self, pending: _PendingCommand) -> CommandSent:
        ask_id = self._next_id
        self._next_id += 1
        self._pending[ask_id] = pending
        message = protocol.CommandAsked(ask_id, pending.command)
        return CommandSent(_effects.SendMessage(pending.target, message))
