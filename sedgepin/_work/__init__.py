"""Bounds the work that connections may cause in a turn and in total."""

from sedgepin._work._arrivals import ArrivalSchedule
from sedgepin._work._failures import MessageTooFragmented
from sedgepin._work._failures import WorkExhausted
from sedgepin._work._limits import WorkLimits
from sedgepin._work._load import MessageLoad
from sedgepin._work._schedule import WorkSchedule
from sedgepin._work._turns import connections_to_accept
from sedgepin._work._turns import new_load
from sedgepin._work._turns import pass_head
from sedgepin._work._turns import pass_turn
from sedgepin._work._turns import start
from sedgepin._work._turns import turn
from sedgepin._work._turns import WorkEnded

__all__ = [
    "ArrivalSchedule",
    "MessageLoad",
    "MessageTooFragmented",
    "WorkEnded",
    "WorkExhausted",
    "WorkLimits",
    "WorkSchedule",
    "connections_to_accept",
    "new_load",
    "pass_head",
    "pass_turn",
    "start",
    "turn",
]
