"""What a server holds for one request, within the bound for all."""

import collections.abc
import contextlib

import trio

from sedgepin._http import _caller_stream
from sedgepin import _memory as memory


class RequestHolder:
    """The bytes that are held for one request of a caller.

    At the bound for all it is told to end: ``is_ended`` is set and the scope
    of the innermost ``ends`` block is cancelled.  Without a budget nothing is
    bounded.

    >>> holder.open("customer-1")
    >>> with trio.CancelScope() as scope, holder.ends(scope):
    ...     holder.hold(len(body))
    ...     await answer(body)
    """

    __slots__ = (
        "_account",
        "_budget",
        "_head_bytes",
        "_scope",
        "_stream",
        "has_finished_answer",
        "has_started_answer",
        "is_ended",
    )

    def __init__(
        self, budget: memory.MemoryBudget | None = None, head_bytes: int = 0
    ) -> None:
        self._budget = budget
        self._head_bytes = head_bytes
        self._account: memory.Account | None = None
        self._scope: trio.CancelScope | None = None
        self._stream: _caller_stream.CallerStream | None = None
        self.has_started_answer = False
        self.has_finished_answer = False
        self.is_ended = False

    def follow(self, stream: _caller_stream.CallerStream) -> None:
        """State which connection the request came on."""
        self._stream = stream
        stream.begin_request()

    def open(self, sender: str) -> None:
        """State who has sent the request, before the first ``hold``."""
        if self._budget is not None and self._account is None:
            self._account = self._budget.open(
                memory.HolderKind.REQUEST, sender, self._end
            )

    def hold(self, held_bytes: int) -> None:
        """State how many bytes are held now, beside the request's head."""
        if self._account is not None:
            self._account.hold(self._head_bytes + held_bytes)

    def close(self) -> None:
        """State that nothing is held any more."""
        if self._stream is not None:
            self._stream.end_request()
        if self._account is not None:
            self._account.close()

    @contextlib.contextmanager
    def ends(self, scope: trio.CancelScope) -> collections.abc.Iterator[None]:
        """Cancel ``scope`` if the holder is ended within the block."""
        outer, self._scope = self._scope, scope
        if self.is_ended:
            scope.cancel()
        try:
            yield
        finally:
            self._scope = outer

    def _end(self) -> None:
        self.is_ended = True
        if self._stream is not None:
            self._stream.cut_send()
        if self._scope is not None:
            self._scope.cancel()
