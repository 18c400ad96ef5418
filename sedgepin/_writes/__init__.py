"""Writes: calls that run at most once, identified by idempotency keys."""

from sedgepin._writes._attempt import CoordinatorSettings
from sedgepin._writes._coordinator import WriteCoordinator
from sedgepin._writes._events import AnswerCaller
from sedgepin._writes._events import AttemptEvent
from sedgepin._writes._events import CallerDisconnected
from sedgepin._writes._events import ControlAnswered
from sedgepin._writes._events import ControlUnreachable
from sedgepin._writes._events import DispatchWrite
from sedgepin._writes._events import Effect
from sedgepin._writes._events import EndpointAnswered
from sedgepin._writes._events import EndpointConnectFailed
from sedgepin._writes._events import EndpointFailedAfterSend
from sedgepin._writes._events import Event
from sedgepin._writes._events import ProposeCommand
from sedgepin._writes._events import StartTimer
from sedgepin._writes._events import TimerFired
from sedgepin._writes._events import WriteRequested
from sedgepin._writes._failures import AnswerNotKept
from sedgepin._writes._failures import ChangeRefused
from sedgepin._writes._failures import ControlUnavailable
from sedgepin._writes._failures import EndpointNotReached
from sedgepin._writes._failures import failure_with_code
from sedgepin._writes._failures import HolderLost
from sedgepin._writes._failures import IdempotencyKeyReused
from sedgepin._writes._failures import KeyFutureDated
from sedgepin._writes._failures import KeyMalformed
from sedgepin._writes._failures import KeyTooOld
from sedgepin._writes._failures import OutcomeUnknown
from sedgepin._writes._failures import StillInProgress
from sedgepin._writes._failures import UndatedKeysFull
from sedgepin._writes._failures import WriteAbandoned
from sedgepin._writes._failures import WriteFailure
from sedgepin._writes._key import key_date_milliseconds
from sedgepin._writes._key import MAX_KEY_CHARACTERS
from sedgepin._writes._messages import AbandonWrite
from sedgepin._writes._messages import BeginWrite
from sedgepin._writes._messages import FinishWrite
from sedgepin._writes._messages import MarkWriteUnknown
from sedgepin._writes._messages import WriteChanged
from sedgepin._writes._messages import WriteCommand
from sedgepin._writes._messages import WriteFinished
from sedgepin._writes._messages import WriteGranted
from sedgepin._writes._messages import WriteInProgress
from sedgepin._writes._messages import WriteRefused
from sedgepin._writes._messages import WriteReply
from sedgepin._writes._record import Header
from sedgepin._writes._record import StoredAnswer
from sedgepin._writes._record import WriteHolder
from sedgepin._writes._record import WritePolicy
from sedgepin._writes._record import WriteRecord
from sedgepin._writes._record import WriteState
from sedgepin._writes._records import BeginReply
from sedgepin._writes._records import RecordsContents
from sedgepin._writes._records import WriteRecords

__all__ = [
    "AbandonWrite",
    "AnswerCaller",
    "AnswerNotKept",
    "AttemptEvent",
    "BeginReply",
    "BeginWrite",
    "CallerDisconnected",
    "ChangeRefused",
    "ControlAnswered",
    "ControlUnavailable",
    "ControlUnreachable",
    "CoordinatorSettings",
    "DispatchWrite",
    "Effect",
    "EndpointAnswered",
    "EndpointConnectFailed",
    "EndpointFailedAfterSend",
    "EndpointNotReached",
    "Event",
    "FinishWrite",
    "Header",
    "HolderLost",
    "IdempotencyKeyReused",
    "KeyFutureDated",
    "KeyMalformed",
    "KeyTooOld",
    "MAX_KEY_CHARACTERS",
    "MarkWriteUnknown",
    "OutcomeUnknown",
    "ProposeCommand",
    "RecordsContents",
    "StartTimer",
    "StillInProgress",
    "StoredAnswer",
    "TimerFired",
    "UndatedKeysFull",
    "WriteAbandoned",
    "WriteChanged",
    "WriteCommand",
    "WriteCoordinator",
    "WriteFailure",
    "WriteFinished",
    "WriteGranted",
    "WriteHolder",
    "WriteInProgress",
    "WritePolicy",
    "WriteRecord",
    "WriteRecords",
    "WriteRefused",
    "WriteReply",
    "WriteRequested",
    "WriteState",
    "failure_with_code",
    "key_date_milliseconds",
]
