"""Adaptive limits on the requests that endpoints have not begun to answer."""

from sedgepin._pace._controller import Outcomes
from sedgepin._pace._controller import PaceController
from sedgepin._pace._controller import SMALLEST_LIMIT
from sedgepin._pace._shares import active_entries
from sedgepin._pace._shares import draw
from sedgepin._pace._shares import grant
from sedgepin._pace._table import change_line
from sedgepin._pace._table import PaceChange
from sedgepin._pace._table import PacedEndpoint
from sedgepin._pace._table import PaceTable

__all__ = [
    "Outcomes",
    "PaceChange",
    "PaceController",
    "PaceTable",
    "PacedEndpoint",
    "SMALLEST_LIMIT",
    "active_entries",
    "change_line",
    "draw",
    "grant",
]
