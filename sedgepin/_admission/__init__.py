"""Admission control, retry budgets and quarantine of crashing requests."""

from sedgepin._admission._controller import AdmissionController
from sedgepin._admission._controller import RequestAlreadyOpen
from sedgepin._admission._failures import DeadlineCannotBeMet
from sedgepin._admission._failures import Draining
from sedgepin._admission._failures import NoCapacity
from sedgepin._admission._failures import NotAdmitted
from sedgepin._admission._failures import QueueFull
from sedgepin._admission._failures import RateExceeded
from sedgepin._admission._failures import TooManyOpenRequests
from sedgepin._admission._quarantine import Quarantine
from sedgepin._admission._quarantine_types import AnswerQuarantined
from sedgepin._admission._quarantine_types import BroadcastRumour
from sedgepin._admission._quarantine_types import CancelCopies
from sedgepin._admission._quarantine_types import EndpointDied
from sedgepin._admission._quarantine_types import InFlightRequest
from sedgepin._admission._quarantine_types import PromptHeldBack
from sedgepin._admission._quarantine_types import QuarantineDecision
from sedgepin._admission._quarantine_types import QuarantineEffect
from sedgepin._admission._quarantine_types import QuarantineRefusal
from sedgepin._admission._quarantine_types import QuarantineSettings
from sedgepin._admission._quarantine_types import RequestOnTrial
from sedgepin._admission._quarantine_types import RequestQuarantined
from sedgepin._admission._quarantine_types import ResumeAnywhere
from sedgepin._admission._quarantine_types import RunNormally
from sedgepin._admission._quarantine_types import RunOnTrial
from sedgepin._admission._quarantine_types import StartTrial
from sedgepin._admission._quarantine_types import TRIAL_MARGIN_TOKENS
from sedgepin._admission._request import AdmissionRequest
from sedgepin._admission._request import Admit
from sedgepin._admission._request import Decision
from sedgepin._admission._request import Refuse
from sedgepin._admission._retries import RetryBudget
from sedgepin._admission._retries import RetryRefusalReason
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
from sedgepin._admission._trial_endpoints import choose_trial_endpoints

__all__ = [
    "AdmissionController",
    "AdmissionRequest",
    "AdmissionSettings",
    "Admit",
    "AnswerQuarantined",
    "BroadcastRumour",
    "CancelCopies",
    "CustomerLimits",
    "DeadlineCannotBeMet",
    "DeathId",
    "DeathMark",
    "Decision",
    "Draining",
    "EndpointDied",
    "Fingerprint",
    "InFlightRequest",
    "NoCapacity",
    "NotAdmitted",
    "PromptHeldBack",
    "Quarantine",
    "QuarantineDecision",
    "QuarantineEffect",
    "QuarantineRefusal",
    "QuarantineSettings",
    "QueueFull",
    "RateExceeded",
    "Refuse",
    "RequestAlreadyOpen",
    "RequestOnTrial",
    "RequestQuarantined",
    "ResumeAnywhere",
    "RetryBudget",
    "RetryRefusalReason",
    "RetryRefused",
    "RetryRequest",
    "RetrySettings",
    "Rumour",
    "RunNormally",
    "RunOnTrial",
    "StartTrial",
    "TRIAL_MARGIN_TOKENS",
    "TooManyOpenRequests",
    "Trial",
    "choose_trial_endpoints",
]
