"""Events that the reducer of a control VM handles."""

import dataclasses
import typing

from sedgepin import _protocol as protocol
from sedgepin import _release as release
from sedgepin import _state as state


@dataclasses.dataclass(slots=True, frozen=True)
class OperatorProposed:
    """An operator proposed a command; the answer names ``exchange_id``."""

    exchange_id: int
    command: state.Command


@dataclasses.dataclass(slots=True, frozen=True)
class OrderCompleted:
    """An endpoint answered an order, or sending it failed."""

    order: release.Order
    outcome: release.OrderOutcome


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """The interval of the daemon's timer passed."""


@dataclasses.dataclass(slots=True, frozen=True)
class DrainRequested:
    """The process received SIGTERM."""


@dataclasses.dataclass(slots=True, frozen=True)
class DiskFilled:
    """The disk refused a write, which waits with the effects after it."""

    failure: str


@dataclasses.dataclass(slots=True, frozen=True)
class DiskFreed:
    """All effects that waited for space have been carried out."""


ControlEvent: typing.TypeAlias = (
    OperatorProposed
    | OrderCompleted
    | TimerFired
    | DiskFilled
    | DiskFreed
    | DrainRequested
    | protocol.PeerEvent
)
