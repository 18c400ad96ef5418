"""Counts of requests by customer and route: served, refused, late."""

from sedgepin._service_levels._counters import OTHERS
from sedgepin._service_levels._counters import ServiceLevels
from sedgepin._service_levels._counters import UNKNOWN
from sedgepin._service_levels._pauses import PauseMonitor
from sedgepin._service_levels._report import Level
from sedgepin._service_levels._report import Report
from sedgepin._service_levels._report import REPORT_PATH
from sedgepin._service_levels._summary import Row
from sedgepin._service_levels._summary import summarize

__all__ = [
    "Level",
    "OTHERS",
    "PauseMonitor",
    "REPORT_PATH",
    "Report",
    "Row",
    "ServiceLevels",
    "UNKNOWN",
    "summarize",
]
