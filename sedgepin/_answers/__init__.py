"""Answers: pieces put in order, attempts followed, silence noticed."""

from sedgepin._answers._assembly import AnswerAssembly
from sedgepin._answers._assembly import AnswerComplete
from sedgepin._answers._assembly import AnswerEnd
from sedgepin._answers._assembly import AnswerIncomplete
from sedgepin._answers._assembly import FinishReason
from sedgepin._answers._assembly import HELD_PIECES_LIMIT
from sedgepin._answers._assembly import ResumePoint
from sedgepin._answers._attempts import AttemptPlan
from sedgepin._answers._attempts import AttemptPolicy
from sedgepin._answers._attempts import ATTEMPTS_LIMIT
from sedgepin._answers._attempts import CacheExport
from sedgepin._answers._attempts import CacheImport
from sedgepin._answers._attempts import ImportOrPrefill
from sedgepin._answers._attempts import positions_needed
from sedgepin._answers._attempts import StageLoss
from sedgepin._answers._failures import AnswerClosed
from sedgepin._answers._failures import AttemptsExhausted
from sedgepin._answers._failures import DropReason
from sedgepin._answers._failures import PieceDropped
from sedgepin._answers._progress import ProgressSettings
from sedgepin._answers._progress import ProgressWatch
from sedgepin._answers._silence import DeclareConnectionDead
from sedgepin._answers._silence import DeclareEndpointDead
from sedgepin._answers._silence import DeclareStreamStalled
from sedgepin._answers._silence import HeartbeatSeen
from sedgepin._answers._silence import ProbeEndpoint
from sedgepin._answers._silence import ProbeFailed
from sedgepin._answers._silence import ProbeSucceeded
from sedgepin._answers._silence import ProgressSeen
from sedgepin._answers._silence import SilenceEffect
from sedgepin._answers._silence import SilenceEvent
from sedgepin._answers._silence import SilenceSettings
from sedgepin._answers._silence import SilenceWatch
from sedgepin._answers._silence import StreamState
from sedgepin._answers._silence import TimerFired

__all__ = [
    "ATTEMPTS_LIMIT",
    "AnswerAssembly",
    "AnswerClosed",
    "AnswerComplete",
    "AnswerEnd",
    "AnswerIncomplete",
    "AttemptPlan",
    "AttemptPolicy",
    "AttemptsExhausted",
    "CacheExport",
    "CacheImport",
    "DeclareConnectionDead",
    "DeclareEndpointDead",
    "DeclareStreamStalled",
    "DropReason",
    "FinishReason",
    "HELD_PIECES_LIMIT",
    "HeartbeatSeen",
    "ImportOrPrefill",
    "PieceDropped",
    "ProbeEndpoint",
    "ProbeFailed",
    "ProbeSucceeded",
    "ProgressSeen",
    "ProgressSettings",
    "ProgressWatch",
    "ResumePoint",
    "SilenceEffect",
    "SilenceEvent",
    "SilenceSettings",
    "SilenceWatch",
    "StageLoss",
    "StreamState",
    "TimerFired",
    "positions_needed",
]
