"""How control VMs decide on permits, whichever system they serve.

The leader grants them.  A VM asks the control VM that it is connected to,
which passes its question on.
"""

import collections.abc
import dataclasses
import datetime

import msgspec

from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._rate_limits import _ledger
from sedgepin._rate_limits import _limits


@dataclasses.dataclass(slots=True, frozen=True)
class Leadership:
    """Whether this VM leads with a valid lease, and who else does."""

    is_self: bool
    leader_id: model.VmId | None


@dataclasses.dataclass(slots=True, frozen=True)
class PermitMessage:
    """A message that a coordinator sends."""

    recipient: model.VmId
    message: (
        protocol.PermitAsked
        | protocol.PermitAnswered
        | protocol.PermitReturned
    )


class PermitCoordinator:
    """Grants permits as the leader, and passes messages on otherwise.

    >>> coordinator = PermitCoordinator(limits, entries)
    >>> coordinator.ask(entry, PermitAsked(...), Leadership(True, own_id), now)
    [PermitMessage(entry, PermitAnswered(...))]
    """

    __slots__ = ("_entries", "_ledger", "_limits")

    def __init__(
        self,
        limits: _limits.RequestLimits,
        entries: collections.abc.Container[model.VmId],
    ) -> None:
        self._limits = limits
        self._entries = entries
        self._ledger = _ledger.PermitLedger(limits)

    def usage(self) -> list[_ledger.LimitUsage]:
        """Return how the limits are used; on the leader only."""
        return self._ledger.usage()

    def ask(
        self,
        sender: model.VmId,
        message: protocol.PermitAsked,
        leadership: Leadership,
        now: datetime.datetime,
    ) -> list[PermitMessage]:
        """Decide on a permit, or let the leader do it."""
        if not leadership.is_self:
            if message.entry:
                return []
            forwarded = msgspec.structs.replace(message, entry=sender)
            return _send_to_leader(leadership, forwarded)
        self._limits.adopt(
            message.endpoint_id,
            message.incarnation,
            message.requests_per_second,
            now,
        )
        request = _ledger.PermitRequest(
            message.entry or sender,
            message.ask_id,
            message.endpoint_id,
            message.incarnation,
            datetime.timedelta(milliseconds=message.max_wait_milliseconds),
            message.priority,
            sender if message.entry else None,
        )
        return _answer(self._ledger.ask(request, now))

    def pass_on(
        self, message: protocol.PermitAnswered, leadership: Leadership
    ) -> list[PermitMessage]:
        """Pass on the leader's decision to the entry VM that asked."""
        if message.entry in self._entries:
            return [PermitMessage(message.entry, message)]
        if not message.is_granted:
            return []
        returned = protocol.PermitReturned(
            message.endpoint_id, message.incarnation
        )
        return _send_to_leader(leadership, returned)

    def take_back(
        self,
        message: protocol.PermitReturned,
        leadership: Leadership,
        now: datetime.datetime,
    ) -> list[PermitMessage]:
        """Take back a permit that was not used."""
        if not leadership.is_self:
            return _send_to_leader(leadership, message)
        return _answer(
            self._ledger.put_back(
                message.endpoint_id, message.incarnation, now
            )
        )

    def tick(
        self, leadership: Leadership, now: datetime.datetime
    ) -> list[PermitMessage]:
        """Grant what can be granted now; forget all without the lease."""
        if not leadership.is_self:
            self._ledger.clear()
            return []
        return _answer(self._ledger.tick(now))


def _send_to_leader(
    leadership: Leadership,
    message: protocol.PermitAsked | protocol.PermitReturned,
) -> list[PermitMessage]:
    if leadership.leader_id is None:
        return []
    return [PermitMessage(leadership.leader_id, message)]


def _answer(
    decisions: list[_ledger.PermitDecision],
) -> list[PermitMessage]:
    return [
        PermitMessage(
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
