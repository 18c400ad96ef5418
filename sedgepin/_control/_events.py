"""Everything that can happen to a control VM."""

import dataclasses
import typing

from sedgepin import _protocol as protocol
from sedgepin import _release as release
from sedgepin import _state as state


@dataclasses.dataclass(slots=True, frozen=True)
class OperatorProposed:
    """An operator wants a command in the log."""

    exchange_id: int
    command: state.Command


@dataclasses.dataclass(slots=True, frozen=True)
class OrderCompleted:
    """An endpoint answered an order, or did not."""

    order: release.Order
    outcome: release.OrderOutcome


@dataclasses.dataclass(slots=True, frozen=True)
class TimerFired:
    """A tick passed."""


@dataclasses.dataclass(slots=True, frozen=True)
class DrainRequested:
    """The VM is told to leave (SIGTERM)."""


ControlEvent: typing.TypeAlias = (
    OperatorProposed
    | OrderCompleted
    | TimerFired
    | DrainRequested
    | protocol.PeerEvent
)
