"""Accounts of the bytes that are held for callers, endpoints and peers."""

import collections.abc
import dataclasses
import enum
import types

# One sender holds at most this share, however little the others hold.
_SENDER_SHARE = 0.5


class HolderKind(enum.Enum):
    """What bytes are held for."""

    REQUEST = "request"
    ANSWER = "answer"
    FORWARDED_REQUEST = "forwarded_request"
    FORWARDED_ANSWER = "forwarded_answer"
    CALL = "call"
    PEER_MESSAGE = "peer_message"


@dataclasses.dataclass(slots=True, frozen=True)
class Eviction:
    """A holder that was ended, and what was held by all before that."""

    kind: HolderKind
    sender: str
    held_bytes: int
    total_bytes: int


class Account:
    """The bytes that are held for one message from one sender.

    To be closed when nothing is held any more; a ``with`` block does so.

    >>> with budget.open(HolderKind.ANSWER, "10.0.0.9:80", scope.cancel) as a:
    ...     a.hold(65_536)
    ...     a.is_ended
    False
    """

    __slots__ = ("_budget", "_end", "held_bytes", "is_ended", "kind", "sender")

    def __init__(
        self,
        budget: "MemoryBudget",
        kind: HolderKind,
        sender: str,
        end: collections.abc.Callable[[], None],
    ) -> None:
        self._budget = budget
        self._end = end
        self.kind = kind
        self.sender = sender
        self.held_bytes = 0
        # Set once the holder was told to let go of its bytes.
        self.is_ended = False

    def hold(self, held_bytes: int) -> None:
        """State how many bytes are held now.

        At the limit this ends the largest holder, which may be this one.
        """
        if held_bytes == self.held_bytes or self.is_ended:
            return
        self._budget.change(self, held_bytes)

    def close(self) -> None:
        """State that nothing is held any more."""
        self.hold(0)

    def end(self) -> None:
        """Tell the holder to let go of its bytes; they count no longer."""
        self.is_ended = True
        self.held_bytes = 0
        self._end()

    def __enter__(self) -> "Account":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self.close()


class MemoryBudget:
    """Bounds the bytes that a process holds for others, all together.

    At the limit the largest holder of the sender that holds most is ended, so
    that one that sends without end does not take the place of the others.

    ``on_eviction`` is called for each holder that was ended, after that.

    >>> budget = MemoryBudget(40_000_000)
    >>> account = budget.open(HolderKind.REQUEST, "10.0.0.7", scope.cancel)
    >>> account.hold(1_048_576)
    >>> budget.total_bytes
    1048576
    """

    __slots__ = (
        "_accounts",
        "_limit_bytes",
        "_on_eviction",
        "_sender_bytes",
        "total_bytes",
    )

    def __init__(
        self,
        limit_bytes: int,
        on_eviction: collections.abc.Callable[[Eviction], None] | None = None,
    ) -> None:
        self._limit_bytes = limit_bytes
        self._on_eviction = on_eviction
        # Those that hold something, by sender.
        self._accounts: dict[str, set[Account]] = {}
        self._sender_bytes: dict[str, int] = {}
        self.total_bytes = 0

    def open(
        self,
        kind: HolderKind,
        sender: str,
        end: collections.abc.Callable[[], None],
    ) -> Account:
        """Return an account for a message from ``sender``.

        ``end`` is called at most once, inside a call of ``Account.hold`` of
        any holder; it must let the holder let go of its bytes soon, and must
        not raise.  ``scope.cancel`` of a ``trio`` scope does.
        """
        return Account(self, kind, sender, end)

    def change(self, account: Account, held_bytes: int) -> None:
        """Change what an account holds; end others while over the limit."""
        growth = held_bytes - account.held_bytes
        self._set(account, held_bytes)
        if growth < 0:
            return
        while self._sender_bytes.get(account.sender, 0) > (
            self._limit_bytes * _SENDER_SHARE
        ):
            self._evict_from(account.sender)
        while self.total_bytes > self._limit_bytes:
            self._evict_from(
                max(self._sender_bytes, key=self._sender_bytes.__getitem__)
            )

    def _set(self, account: Account, held_bytes: int) -> None:
        sender = account.sender
        growth = held_bytes - account.held_bytes
        account.held_bytes = held_bytes
        self.total_bytes += growth
        sender_bytes = self._sender_bytes.get(sender, 0) + growth
        if held_bytes:
            self._accounts.setdefault(sender, set()).add(account)
            self._sender_bytes[sender] = sender_bytes
            return
        accounts = self._accounts.get(sender, set())
        accounts.discard(account)
        if accounts:
            self._sender_bytes[sender] = sender_bytes
            return
        self._accounts.pop(sender, None)
        self._sender_bytes.pop(sender, None)

    def _evict_from(self, sender: str) -> None:
        """End the largest holder of a sender."""
        account = max(self._accounts[sender], key=lambda one: one.held_bytes)
        eviction = Eviction(
            account.kind, sender, account.held_bytes, self.total_bytes
        )
        self._set(account, 0)
        account.end()
        if self._on_eviction is not None:
            self._on_eviction(eviction)
