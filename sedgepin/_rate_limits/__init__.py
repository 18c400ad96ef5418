"""Limits of requests that endpoints name for all VMs together."""

from sedgepin._rate_limits._limits import change_line
from sedgepin._rate_limits._limits import LimitChange
from sedgepin._rate_limits._limits import RequestLimit
from sedgepin._rate_limits._limits import RequestLimits

__all__ = [
    "LimitChange",
    "RequestLimit",
    "RequestLimits",
    "change_line",
]
