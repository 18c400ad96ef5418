"""Limits of requests that endpoints name for all VMs together."""

from sedgepin._rate_limits._coordinator import Leadership
from sedgepin._rate_limits._coordinator import PermitCoordinator
from sedgepin._rate_limits._coordinator import PermitMessage
from sedgepin._rate_limits._ledger import LimitUsage
from sedgepin._rate_limits._ledger import PermitDecision
from sedgepin._rate_limits._ledger import PermitLedger
from sedgepin._rate_limits._ledger import PermitRequest
from sedgepin._rate_limits._ledger import remove_ended
from sedgepin._rate_limits._limits import change_line
from sedgepin._rate_limits._limits import LimitChange
from sedgepin._rate_limits._limits import RequestLimit
from sedgepin._rate_limits._limits import RequestLimits
from sedgepin._rate_limits._permits import Ask
from sedgepin._rate_limits._permits import Permission
from sedgepin._rate_limits._permits import Permits

__all__ = [
    "Ask",
    "Leadership",
    "LimitChange",
    "LimitUsage",
    "Permission",
    "PermitCoordinator",
    "PermitDecision",
    "PermitLedger",
    "PermitMessage",
    "PermitRequest",
    "Permits",
    "RequestLimit",
    "RequestLimits",
    "change_line",
    "remove_ended",
]
