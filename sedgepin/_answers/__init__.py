"""Assembles answers from pieces, resumes them and detects failed streams."""

from sedgepin._answers._assembly import AnswerAssembly
from sedgepin._answers._assembly import AnswerComplete
from sedgepin._answers._assembly import AnswerEnd
from sedgepin._answers._assembly import AnswerIncomplete
from sedgepin._answers._assembly import FinishReason
from sedgepin._answers._assembly import MAX_BUFFERED_PIECES
from sedgepin._answers._assembly import ResumePoint
from sedgepin._answers._attempts import AttemptPlan
from sedgepin._answers._attempts import CacheExport
from sedgepin._answers._attempts import CacheImport
from sedgepin._answers._attempts import FailedAttempt
from sedgepin._answers._attempts import ImportOrPrefill
from sedgepin._answers._attempts import MAX_ATTEMPTS
from sedgepin._answers._attempts import required_positions
from sedgepin._answers._attempts import ResumePolicy
from sedgepin._answers._failure_detector import DeclareConnectionDead
from sedgepin._answers._failure_detector import DeclareEndpointDead
from sedgepin._answers._failure_detector import DeclareStreamStalled
from sedgepin._answers._failure_detector import FailureDetectorEffect
from sedgepin._answers._failure_detector import FailureDetectorEvent
from sedgepin._answers._failure_detector import FailureDetectorSettings
from sedgepin._answers._failure_detector import HeartbeatReceived
from sedgepin._answers._failure_detector import ProbeEndpoint
from sedgepin._answers._failure_detector import ProbeFailed
from sedgepin._answers._failure_detector import ProbeSucceeded
from sedgepin._answers._failure_detector import StreamFailureDetector
from sedgepin._answers._failure_detector import StreamState
from sedgepin._answers._failure_detector import TimerFired
from sedgepin._answers._failure_detector import TokenReceived
from sedgepin._answers._failures import AnswerClosed
from sedgepin._answers._failures import AttemptsExhausted
from sedgepin._answers._failures import DropReason
from sedgepin._answers._failures import PieceDropped
from sedgepin._answers._progress import ProgressDeadline
from sedgepin._answers._progress import ProgressSettings

__all__ = [
    "AnswerAssembly",
    "AnswerClosed",
    "AnswerComplete",
    "AnswerEnd",
    "AnswerIncomplete",
    "AttemptPlan",
    "AttemptsExhausted",
    "CacheExport",
    "CacheImport",
    "DeclareConnectionDead",
    "DeclareEndpointDead",
    "DeclareStreamStalled",
    "DropReason",
    "FailedAttempt",
    "FailureDetectorEffect",
    "FailureDetectorEvent",
    "FailureDetectorSettings",
    "FinishReason",
    "HeartbeatReceived",
    "ImportOrPrefill",
    "MAX_ATTEMPTS",
    "MAX_BUFFERED_PIECES",
    "PieceDropped",
    "ProbeEndpoint",
    "ProbeFailed",
    "ProbeSucceeded",
    "ProgressDeadline",
    "ProgressSettings",
    "ResumePoint",
    "ResumePolicy",
    "StreamFailureDetector",
    "StreamState",
    "TimerFired",
    "TokenReceived",
    "required_positions",
]
