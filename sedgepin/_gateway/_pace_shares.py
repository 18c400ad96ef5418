"""What this entry VM may send to endpoints that have a limit."""

import collections
import collections.abc
import dataclasses
import datetime
import random

from sedgepin._gateway import _own_load
from sedgepin import _model as model
from sedgepin import _pace as pace
from sedgepin import _protocol as protocol

# Three sums that have not come; another control VM is selected then.
_SUM_TTL = datetime.timedelta(milliseconds=600)
# Without sums for longer, nothing is known of the endpoints any more.
_LIMIT_TTL = datetime.timedelta(seconds=30)
# How long a part of a limit without a recent sum is not drawn again.
_DRAW_INTERVAL = datetime.timedelta(seconds=1)
# By this time, a sum names an endpoint that this VM has just learned of.
_UNNAMED_TTL = datetime.timedelta(seconds=1)
_SUM_INTERVAL_SECONDS = 0.2


@dataclasses.dataclass(slots=True)
class _Share:
    """The part of a limit that this VM may use.

    ``allowance`` is how many requests it may send until the next sum.
    ``bound`` is how many it may have unanswered without a recent sum, drawn at
    ``drawn_at``.  ``added_at`` is set while no sum has named the endpoint.
    """

    incarnation: int
    limit: int
    allowance: int = 0
    bound: int = 0
    drawn_at: datetime.datetime | None = None
    added_at: datetime.datetime | None = None


class PaceShares:
    """Applies this VM's part of the limits, and records outcomes.

    Each sum grants the free part of a limit to the entry VMs that are expected
    to send anything until the next sum, in equal parts.  Without a recent
    sum, each entry VM may have its part of the whole limit unanswered.

    >>> shares = PaceShares(random.Random(1))
    >>> shares.set_limits((PaceLimit("a", 1, 4, 0),), lambda _: 0.0, 1, now)
    >>> shares.may_send("a", 1, now)
    True
    """

    __slots__ = (
        "_is_applied",
        "_outcomes",
        "_rng",
        "_shares",
        "_stated_slots",
        "_summed_at",
        "_unanswered",
        "entry_count",
        "has_unreported",
    )

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.entry_count = 1
        # Whether something has happened since the last report.
        self.has_unreported = False
        # Whether the last sum stated limits, if only that there are none.
        self._is_applied = False
        self._summed_at: datetime.datetime | None = None
        self._shares: dict[model.EndpointId, _Share] = {}
        self._unanswered: collections.Counter[model.EndpointId] = (
            collections.Counter()
        )
        self._outcomes: dict[tuple[model.EndpointId, int], pace.Outcomes] = {}
        self._stated_slots: dict[model.EndpointId, tuple[int, int]] = {}

    def has_limit(self, endpoint_id: model.EndpointId) -> bool:
        """Return whether an endpoint has a limit."""
        return endpoint_id in self._shares

    def add_load(self, load: _own_load.RequestLoad) -> None:
        """Count a request that its first endpoint has not begun to answer."""
        if load.is_unanswered and load.endpoint_ids:
            self._unanswered[load.endpoint_ids[0]] += 1

    def remove_load(self, load: _own_load.RequestLoad) -> None:
        """Count a request no more that was added."""
        if load.is_unanswered and load.endpoint_ids:
            endpoint_id = load.endpoint_ids[0]
            self._unanswered[endpoint_id] -= 1
            if self._unanswered[endpoint_id] <= 0:
                del self._unanswered[endpoint_id]

    def add_endpoint(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> None:
        """Limit a new or returned endpoint until a sum may have named it."""
        if self._is_applied:
            self._shares[endpoint_id] = _Share(
                incarnation, pace.SMALLEST_LIMIT, added_at=now
            )

    def set_limits(
        self,
        limits: tuple[protocol.PaceLimit, ...] | None,
        expected_sends: collections.abc.Callable[[model.EndpointId], float],
        now: datetime.datetime,
    ) -> None:
        """Take the limits of a sum; ``None`` if no limits apply.

        ``expected_sends`` returns how many requests a second all VMs may send
        to an endpoint.
        """
        self._is_applied = limits is not None
        self._summed_at = now
        before, self._shares = self._shares, {}
        if limits is None:
            return
        for limit in limits:
            entries = pace.active_entries(
                self.entry_count,
                expected_sends(limit.endpoint_id) * _SUM_INTERVAL_SECONDS,
            )
            free = pace.grant(limit.limit, limit.unanswered)
            self._shares[limit.endpoint_id] = _Share(
                limit.incarnation,
                limit.limit,
                pace.draw(free / entries, self._rng),
            )
        for endpoint_id, share in before.items():
            if (
                share.added_at is not None
                and now - share.added_at < _UNNAMED_TTL
                and endpoint_id not in self._shares
            ):
                self._shares[endpoint_id] = share

    def may_send(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int | None,
        now: datetime.datetime,
    ) -> bool:
        """Return whether an endpoint may get one more request from here."""
        share = self._shares.get(endpoint_id)
        if share is None or share.incarnation != incarnation:
            return True
        age = datetime.timedelta()
        if self._summed_at is not None:
            age = now - self._summed_at
        if share.added_at is None and age <= _SUM_TTL:
            return share.allowance > 0
        if age > _LIMIT_TTL:
            self._shares.clear()
            return True
        if share.drawn_at is None or now - share.drawn_at >= _DRAW_INTERVAL:
            share.drawn_at = now
            part = share.limit / max(1, self.entry_count)
            share.bound = pace.draw(part, self._rng)
        return self._unanswered[endpoint_id] < share.bound

    def record_sent(self, endpoint_id: model.EndpointId) -> bool:
        """Count a request; return whether its endpoint has a limit."""
        share = self._shares.get(endpoint_id)
        if share is None:
            return False
        share.allowance -= 1
        return True

    def record_begun(
        self, endpoint_id: model.EndpointId, incarnation: int, is_late: bool
    ) -> None:
        """Record that an endpoint has begun to answer a request."""
        share = self._shares.get(endpoint_id)
        if share is None or share.incarnation != incarnation:
            return
        outcomes = self._count(endpoint_id, incarnation)
        outcomes.late += is_late
        outcomes.in_time += not is_late

    def record_refused(
        self, endpoint_id: model.EndpointId, incarnation: int
    ) -> None:
        """Record that an endpoint refused a request or a connection."""
        self._count(endpoint_id, incarnation).refused += 1

    def record_stated_slots(
        self, endpoint_id: model.EndpointId, incarnation: int, slots: int
    ) -> None:
        """Record the slots that an endpoint stated in an answer."""
        if self._stated_slots.get(endpoint_id) != (incarnation, slots):
            self._stated_slots[endpoint_id] = (incarnation, slots)
            self._count(endpoint_id, incarnation)

    def take_progress(
        self,
        find_incarnation: collections.abc.Callable[
            [model.EndpointId], int | None
        ],
    ) -> tuple[protocol.EndpointProgress, ...]:
        """Return what is to be reported, and forget what has happened."""
        outcomes, self._outcomes = self._outcomes, {}
        self.has_unreported = False
        for endpoint_id in list(self._stated_slots):
            if find_incarnation(endpoint_id) is None:
                del self._stated_slots[endpoint_id]
        limited = {
            (endpoint_id, share.incarnation): pace.Outcomes()
            for endpoint_id, share in self._shares.items()
            if endpoint_id in self._unanswered
        }
        return tuple(
            protocol.EndpointProgress(
                endpoint_id,
                incarnation,
                self._unanswered.get(endpoint_id, 0),
                counts.in_time,
                counts.late,
                counts.refused,
                self.stated_slots(endpoint_id, incarnation),
            )
            for (endpoint_id, incarnation), counts in {
                **limited,
                **outcomes,
            }.items()
        )

    def stated_slots(
        self, endpoint_id: model.EndpointId, incarnation: int
    ) -> int:
        """Return the slots that an endpoint stated in an answer, or 0."""
        stated = self._stated_slots.get(endpoint_id)
        if stated is None or stated[0] != incarnation:
            return 0
        return stated[1]

    def _count(
        self, endpoint_id: model.EndpointId, incarnation: int
    ) -> pace.Outcomes:
        self.has_unreported = True
        return self._outcomes.setdefault(
            (endpoint_id, incarnation), pace.Outcomes()
        )
