"""The entry daemon of deployments whose endpoints speak plain HTTP.

It forwards callers' requests unchanged to endpoints that registered with the
control VMs, and brings their signed answers back.  How the messages look is
the business of a ``GatewayDialect``.
"""

from sedgepin._gateway._calls import AnswerMarks
from sedgepin._gateway._calls import CallerRequest
from sedgepin._gateway._calls import Dispatch
from sedgepin._gateway._calls import Stall
from sedgepin._gateway._calls import StallReport
from sedgepin._gateway._calls import TokenUsage
from sedgepin._gateway._daemon import run
from sedgepin._gateway._dialect import GatewayDialect
from sedgepin._gateway._failures import RequestRefused
from sedgepin._gateway._settings import GatewaySettings
from sedgepin._gateway._settings import RetrySettings

__all__ = [
    "AnswerMarks",
    "CallerRequest",
    "Dispatch",
    "GatewayDialect",
    "GatewaySettings",
    "RequestRefused",
    "RetrySettings",
    "Stall",
    "StallReport",
    "TokenUsage",
    "run",
]
