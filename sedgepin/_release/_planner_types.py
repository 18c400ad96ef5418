"""Events, effects and settings of the order planner."""

import dataclasses
import datetime
import enum

from sedgepin import _model
from sedgepin._release import _fleet
from sedgepin._release import _order


class OrderOutcome(enum.Enum):
    """Result of sending an order; no answer counts as ``FAILED``."""

    ACCEPTED = "accepted"
    REFUSED_FENCING = "refused_fencing"
    FAILED = "failed"


@dataclasses.dataclass(slots=True, frozen=True)
class FleetChanged:
    """A note was accepted; a fleet older than the current one is ignored."""

    fleet: _fleet.Fleet


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointsObserved:
    """The latest announcement of every live endpoint."""

    announcements: tuple[_model.Announcement, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class OrderCompleted:
    """An engine answered an order, or sending it failed."""

    order: _order.Order
    outcome: OrderOutcome


@dataclasses.dataclass(slots=True, frozen=True)
class LeadershipGained:
    """This VM was elected; ``epoch`` is its term, higher than any before."""

    epoch: int


@dataclasses.dataclass(slots=True, frozen=True)
class LeadershipLost:
    """This VM is no longer the leader."""


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """The timer of the last ``StartTimer`` expired."""


PlannerEvent = (
    FleetChanged
    | EndpointsObserved
    | OrderCompleted
    | LeadershipGained
    | LeadershipLost
    | TimerFired
)


@dataclasses.dataclass(slots=True, frozen=True)
class SendOrder:
    """Send the order, unless the lease has expired when it is sent."""

    order: _order.Order


@dataclasses.dataclass(slots=True, frozen=True)
class ReportFencingRefused:
    """Report that an engine refused an order: it saw a higher token."""

    order: _order.Order


@dataclasses.dataclass(slots=True, frozen=True)
class StartTimer:
    """Send ``TimerFired`` at ``due``; replaces any earlier timer."""

    due: datetime.datetime


PlannerEffect = SendOrder | ReportFencingRefused | StartTimer


@dataclasses.dataclass(slots=True, frozen=True)
class WithheldOrder:
    """An order held back: it would stop the last copy of some layers."""

    endpoint_id: _model.EndpointId
    model: _model.ModelName
    version: str


@dataclasses.dataclass(slots=True, frozen=True)
class PlannerSettings:
    """Rates and intervals of the order planner.

    ``loads_per_second`` and ``load_burst`` limit the loads from the weight
    store of each data centre.  An order that the engine's announcement does
    not reflect within ``resend_interval`` is sent again; a failed or refused
    one, after ``retry_interval``.  Both intervals double with every attempt,
    up to ``max_resend_interval``.

    For ``settle_time`` after an election no serving copy is stopped, so that
    orders of the former leader show up in announcements first.  Copies of a
    version that has lacked a layer for ``incomplete_version_timeout`` may be
    stopped: no request can be served from them.
    """

    loads_per_second: float = 1.0
    load_burst: int = 2
    resend_interval: datetime.timedelta = datetime.timedelta(seconds=60)
    max_resend_interval: datetime.timedelta = datetime.timedelta(minutes=10)
    retry_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    settle_time: datetime.timedelta = datetime.timedelta(seconds=3)
    incomplete_version_timeout: datetime.timedelta = datetime.timedelta(
        seconds=30
    )
