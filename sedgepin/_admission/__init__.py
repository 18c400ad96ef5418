"""Limits: fair share, deadlines, retries, suspect requests."""

from sedgepin._admission._admission import Admission
from sedgepin._admission._admission import RequestAlreadyOpen
from sedgepin._admission._failures import DeadlineCannotBeMet
from sedgepin._admission._failures import Draining
from sedgepin._admission._failures import NoCapacity
from sedgepin._admission._failures import NotAdmitted
from sedgepin._admission._failures import QueueFull
from sedgepin._admission._failures import RateExceeded
from sedgepin._admission._failures import TooManyOpenRequests
from sedgepin._admission._quarantine import Quarantine
from sedgepin._admission._retries import RetryBudget
from sedgepin._admission._retries import RetryReason
from sedgepin._admission._retries import RetryRefused
from sedgepin._admission._retries import RetryRequest
from sedgepin._admission._retries import RetrySettings
from sedgepin._admission._rumour import DeathId
from sedgepin._admission._rumour import DeathMark
from sedgepin._admission._rumour import Fingerprint
from sedgepin._admission._rumour import Rumour
from sedgepin._admission._rumour import Trial
from sedgepin._admission._settings import AdmissionSettings
from sedgepin._admission._settings import CustomerLimits
from sedgepin._admission._suspicion import Aboard
from sedgepin._admission._suspicion import AnswerQuarantined
from sedgepin._admission._suspicion import EndpointDied
from sedgepin._admission._suspicion import QuarantineEffect
from sedgepin._admission._suspicion import QuarantineRefusal
from sedgepin._admission._suspicion import QuarantineSettings
from sedgepin._admission._suspicion import QuarantineVerdict
from sedgepin._admission._suspicion import RecallCopies
from sedgepin._admission._suspicion import RequestOnTrial
from sedgepin._admission._suspicion import RequestQuarantined
from sedgepin._admission._suspicion import ResumeFreely
from sedgepin._admission._suspicion import RunFreely
from sedgepin._admission._suspicion import RunOnTrial
from sedgepin._admission._suspicion import ShareRumour
from sedgepin._admission._suspicion import StartTrial
from sedgepin._admission._suspicion import TRIAL_MARGIN_TOKENS
from sedgepin._admission._ticket import Admit
from sedgepin._admission._ticket import Decision
from sedgepin._admission._ticket import Refuse
from sedgepin._admission._ticket import Ticket
from sedgepin._admission._trial_endpoints import choose_for_trial

__all__ = [
    "Aboard",
    "Admission",
    "AdmissionSettings",
    "Admit",
    "AnswerQuarantined",
    "CustomerLimits",
    "DeadlineCannotBeMet",
    "DeathId",
    "DeathMark",
    "Decision",
    "Draining",
    "EndpointDied",
    "Fingerprint",
    "NoCapacity",
    "NotAdmitted",
    "Quarantine",
    "QuarantineEffect",
    "QuarantineRefusal",
    "QuarantineSettings",
    "QuarantineVerdict",
    "QueueFull",
    "RateExceeded",
    "RecallCopies",
    "Refuse",
    "RequestAlreadyOpen",
    "RequestOnTrial",
    "RequestQuarantined",
    "ResumeFreely",
    "RetryBudget",
    "RetryReason",
    "RetryRefused",
    "RetryRequest",
    "RetrySettings",
    "Rumour",
    "RunFreely",
    "RunOnTrial",
    "ShareRumour",
    "StartTrial",
    "Ticket",
    "TRIAL_MARGIN_TOKENS",
    "TooManyOpenRequests",
    "Trial",
    "choose_for_trial",
]
