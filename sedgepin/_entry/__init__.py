"""The entry VM: its reducer and the daemon that runs it.

The reducer can be used without the daemon: pass events to
``EntryReducer.handle`` and carry out the effects that it returns.
"""

from sedgepin._entry._daemon import EntryDaemon
from sedgepin._entry._daemon import run
from sedgepin._entry._effects import AnswerCall
from sedgepin._entry._effects import CallService
from sedgepin._entry._effects import CancelCall
from sedgepin._entry._effects import CancelStream
from sedgepin._entry._effects import CountMetric
from sedgepin._entry._effects import DeliverPieces
from sedgepin._entry._effects import EndAnswer
from sedgepin._entry._effects import EntryEffect
from sedgepin._entry._effects import ProbePath
from sedgepin._entry._effects import ProbeStages
from sedgepin._entry._effects import RefuseAnnouncement
from sedgepin._entry._effects import RefuseCaller
from sedgepin._entry._effects import ReplyAnnouncement
from sedgepin._entry._effects import SendMessage
from sedgepin._entry._effects import StartStream
from sedgepin._entry._effects import WriteLog
from sedgepin._entry._endpoint_client import EndpointClient
from sedgepin._entry._events import AnnouncementReceived
from sedgepin._entry._events import CallerDisconnected
from sedgepin._entry._events import DrainNoticeEnded
from sedgepin._entry._events import DrainRequested
from sedgepin._entry._events import EngineHeartbeatReceived
from sedgepin._entry._events import EntryEvent
from sedgepin._entry._events import GenerateRequest
from sedgepin._entry._events import GenerateRequested
from sedgepin._entry._events import GracePeriodEnded
from sedgepin._entry._events import LinkFailure
from sedgepin._entry._events import PathProbed
from sedgepin._entry._events import PieceReceived
from sedgepin._entry._events import ProbeAnswered
from sedgepin._entry._events import ServiceAnswered
from sedgepin._entry._events import ServiceCallRequested
from sedgepin._entry._events import ServiceFailed
from sedgepin._entry._events import ServiceRequest
from sedgepin._entry._events import StageReport
from sedgepin._entry._events import StreamEnded
from sedgepin._entry._events import StreamFailed
from sedgepin._entry._events import TimerFired
from sedgepin._entry._reducer import EntryReducer
from sedgepin._entry._reducer import EntryStatus

__all__ = [
    "AnnouncementReceived",
    "AnswerCall",
    "CallService",
    "CallerDisconnected",
    "CancelCall",
    "CancelStream",
    "CountMetric",
    "DeliverPieces",
    "DrainNoticeEnded",
    "DrainRequested",
    "EndAnswer",
    "EndpointClient",
    "EngineHeartbeatReceived",
    "EntryDaemon",
    "EntryEffect",
    "EntryEvent",
    "EntryReducer",
    "EntryStatus",
    "GenerateRequest",
    "GenerateRequested",
    "GracePeriodEnded",
    "LinkFailure",
    "PathProbed",
    "PieceReceived",
    "ProbeAnswered",
    "ProbePath",
    "ProbeStages",
    "RefuseAnnouncement",
    "RefuseCaller",
    "ReplyAnnouncement",
    "SendMessage",
    "ServiceAnswered",
    "ServiceCallRequested",
    "ServiceFailed",
    "ServiceRequest",
    "StageReport",
    "StartStream",
    "StreamEnded",
    "StreamFailed",
    "TimerFired",
    "WriteLog",
    "run",
]
