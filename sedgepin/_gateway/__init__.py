"""The entry daemon for deployments whose endpoints serve plain HTTP.

It forwards callers' requests unchanged to endpoints that have registered with
the control VMs, and returns their signed answers.  A ``GatewayDialect``
defines the format of the messages.
"""

from sedgepin._gateway._calls import AnswerMetadata
from sedgepin._gateway._calls import CallerRequest
from sedgepin._gateway._calls import Dispatch
from sedgepin._gateway._calls import Stall
from sedgepin._gateway._calls import StallReport
from sedgepin._gateway._calls import TokenUsage
from sedgepin._gateway._daemon import run
from sedgepin._gateway._dialect import GatewayDialect
from sedgepin._gateway._effects import CancelAttempt
from sedgepin._gateway._effects import FailExchange
from sedgepin._gateway._effects import SendMessage
from sedgepin._gateway._effects import StartAttempt
from sedgepin._gateway._events import AttemptEnded
from sedgepin._gateway._events import AttemptOutcome
from sedgepin._gateway._events import GatewayEvent
from sedgepin._gateway._events import OutputStarted
from sedgepin._gateway._events import RequestArrived
from sedgepin._gateway._events import TimerFired
from sedgepin._gateway._failures import RequestRefused
from sedgepin._gateway._reducer import GatewayReducer
from sedgepin._gateway._settings import GatewaySettings
from sedgepin._gateway._settings import RetrySettings

__all__ = [
    "AnswerMetadata",
    "AttemptEnded",
    "AttemptOutcome",
    "CallerRequest",
    "CancelAttempt",
    "Dispatch",
    "FailExchange",
    "GatewayDialect",
    "GatewayEvent",
    "GatewayReducer",
    "GatewaySettings",
    "OutputStarted",
    "RequestArrived",
    "RequestRefused",
    "RetrySettings",
    "SendMessage",
    "Stall",
    "StallReport",
    "StartAttempt",
    "TimerFired",
    "TokenUsage",
    "run",
]
