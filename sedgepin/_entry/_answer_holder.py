"""What is held of one endpoint's answer, within the bound for all."""

import collections.abc
import contextlib

import trio

from sedgepin._entry import _failures
from sedgepin import _memory as memory
from sedgepin import _model as model


class AnswerHolder:
    """The bytes that are held of one answer of an endpoint.

    They are those that complete no part of it yet, and those that are kept.
    At the bound for all the answer is given up: ``is_ended`` is set.
    """

    __slots__ = ("_account", "_kept_bytes", "_unparsed_bytes")

    def __init__(self, account: memory.Account | None = None) -> None:
        self._account = account
        self._unparsed_bytes = 0
        self._kept_bytes = 0

    @property
    def is_ended(self) -> bool:
        """Return whether the answer was given up."""
        return self._account is not None and self._account.is_ended

    def add_unparsed(self, received_bytes: int) -> None:
        """Count bytes that have arrived."""
        self._unparsed_bytes += received_bytes
        self._state_held_bytes()

    def keep(self, kept_bytes: int) -> None:
        """State how many bytes are kept of all that has arrived."""
        self._unparsed_bytes = 0
        self._kept_bytes = kept_bytes
        self._state_held_bytes()

    def _state_held_bytes(self) -> None:
        if self._account is not None:
            self._account.hold(self._unparsed_bytes + self._kept_bytes)


@contextlib.contextmanager
def open_holder(
    budget: memory.MemoryBudget | None, endpoint_id: model.EndpointId
) -> collections.abc.Iterator[AnswerHolder]:
    """Cancel the block when its holder is told to end."""
    if budget is None:
        yield AnswerHolder()
        return
    with (
        trio.CancelScope() as scope,
        budget.open(
            memory.HolderKind.ANSWER, endpoint_id, scope.cancel
        ) as account,
    ):
        yield AnswerHolder(account)


def given_up() -> _failures.EndpointFailed:
    """Return the failure of an answer that was told to end."""
    return _failures.EndpointFailed("the memory for open answers is used up")
