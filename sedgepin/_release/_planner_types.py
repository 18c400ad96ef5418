"""What the order planner is told, and what it wants done."""

import dataclasses
import datetime
import enum

from sedgepin import _model
from sedgepin._release import _fleet
from sedgepin._release import _order


class OrderVerdict(enum.Enum):
    """An engine's answer to an order; silence counts as ``FAILED``."""

    ACCEPTED = "accepted"
    REFUSED_FENCING = "refused_fencing"
    FAILED = "failed"


@dataclasses.dataclass(slots=True, frozen=True)
class FleetChanged:
    """A note was accepted; an older fleet than the one known is ignored."""

    fleet: _fleet.Fleet


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointsObserved:
    """The latest announcement of every endpoint whose lease runs."""

    announcements: tuple[_model.Announcement, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class OrderAnswered:
    """An engine answered an order, or did not."""

    order: _order.Order
    verdict: OrderVerdict


@dataclasses.dataclass(slots=True, frozen=True)
class LeadershipGained:
    """This VM was elected; ``epoch`` is higher than any before."""

    epoch: int


@dataclasses.dataclass(slots=True, frozen=True)
class LeadershipLost:
    """This VM leads no more."""


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """The instant last asked for by ``StartTimer`` has come."""


PlannerEvent = (
    FleetChanged
    | EndpointsObserved
    | OrderAnswered
    | LeadershipGained
    | LeadershipLost
    | TimerFired
)


@dataclasses.dataclass(slots=True, frozen=True)
class GiveOrder:
    """Send the order, as long as the lease is held when it is sent."""

    order: _order.Order


@dataclasses.dataclass(slots=True, frozen=True)
class ReportFencingRefused:
    """Put in the audit trail that an engine has seen a higher token."""

    order: _order.Order


@dataclasses.dataclass(slots=True, frozen=True)
class StartTimer:
    """Send ``TimerFired`` at ``due``, in place of any timer before."""

    due: datetime.datetime


PlannerEffect = GiveOrder | ReportFencingRefused | StartTimer


@dataclasses.dataclass(slots=True, frozen=True)
class Withheld:
    """An order that would take the last serving copy of some layers away."""

    endpoint_id: _model.EndpointId
    model: _model.ModelName
    version: str


@dataclasses.dataclass(slots=True, frozen=True)
class PlannerSettings:
    """The pace of orders.

    A data centre's weight store gives ``loads_per_second`` after a burst of
    ``load_burst``.  An order that the engine's announcement does not follow
    within ``follow_within`` is given again, then after twice that, up to
    ``follow_limit``; one that failed, after ``retry_interval``, likewise.
    For ``settle_time`` after an election nothing that serves is taken away,
    so that orders of the leader before show in announcements first.  Copies
    of a version that has lacked a layer for ``incomplete_time`` are no
    longer protected: no request can be served from them.
    """

    loads_per_second: float = 1.0
    load_burst: int = 2
    follow_within: datetime.timedelta = datetime.timedelta(seconds=60)
    follow_limit: datetime.timedelta = datetime.timedelta(minutes=10)
    retry_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    settle_time: datetime.timedelta = datetime.timedelta(seconds=3)
    incomplete_time: datetime.timedelta = datetime.timedelta(seconds=30)
