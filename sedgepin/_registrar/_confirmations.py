"""Confirming the pushed configuration to entry VMs that may have none.

An entry VM without a configuration puts only one in force that a leader has
confirmed.  What a follower pushes is unconfirmed.  It therefore asks the
leader once for all entry VMs that have connected whether it has the latest
version, and tells them.
"""

import datetime

from sedgepin import _consensus as consensus
from sedgepin import _model as model

# A request or its answer may be lost, and a leader without a lease has no
# answer yet.
_ASK_INTERVAL = datetime.timedelta(milliseconds=100)


class PushConfirmations:
    """The entry VMs that were sent no confirmed configuration yet.

    Entry VMs that connect while a request is under way wait for the next one,
    because its answer may be older than what they have been told elsewhere.
    """

    __slots__ = ("_asked", "_asked_at", "_ask_id", "_index", "_waiting")

    def __init__(self) -> None:
        self._waiting: set[model.VmId] = set()
        self._asked: set[model.VmId] = set()
        self._ask_id: int | None = None
        self._asked_at: datetime.datetime | None = None
        self._index: int | None = None

    def add(self, entry: model.VmId) -> None:
        """Add an entry VM that has connected."""
        self._waiting.add(entry)

    def remove(self, entry: model.VmId) -> None:
        """Remove an entry VM that has disconnected."""
        self._waiting.discard(entry)
        self._asked.discard(entry)

    def is_due(self, now: datetime.datetime) -> bool:
        """Return whether to ask the leader for its read index."""
        if self._asked_at is None:
            return bool(self._waiting)
        if now - self._asked_at < _ASK_INTERVAL:
            return False
        return bool(self._waiting) or bool(self._asked)

    def start(self, ask_id: int, now: datetime.datetime) -> None:
        """Record that the leader is asked for all entry VMs that wait."""
        self._waiting |= self._asked
        self._asked, self._waiting = self._waiting, set()
        self._ask_id, self._asked_at, self._index = ask_id, now, None

    def record_index(self, ask_id: int, index: int | None) -> bool:
        """Record the leader's answer; return whether it is one to ``start``.

        The entry VMs wait for another request if there is no index.
        """
        if ask_id != self._ask_id:
            return False
        self._ask_id = None
        self._index = index
        if index is None:
            self._waiting |= self._asked
            self._asked.clear()
        return True

    def take_confirmed(
        self, raft: consensus.RaftNode, now: datetime.datetime
    ) -> list[model.VmId]:
        """Return the entry VMs to tell that this VM has the latest version.

        They are removed.
        """
        if raft.holds_lease(now):
            confirmed = sorted(self._waiting | self._asked)
            self._waiting.clear()
        elif self._index is not None and self._index <= raft.commit_index:
            confirmed = sorted(self._asked)
        else:
            return []
        self._asked.clear()
        self._index = None
        return confirmed
