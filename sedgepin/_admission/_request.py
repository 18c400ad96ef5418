"""A request that asks to be let in, and what is decided about it."""

import dataclasses
import datetime

from sedgepin._admission import _failures
from sedgepin import _model as model


@dataclasses.dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """One request at the door.

    ``cost_tokens`` estimates the tokens that it will take, prompt and
    answer.  ``predicted_service`` is its expected time once it runs.  A
    higher ``priority`` goes first among the same customer's requests.
    """

    request_id: model.RequestId
    customer: model.CustomerId
    priority: int
    cost_tokens: int
    deadline: datetime.datetime
    predicted_service: datetime.timedelta

    @property
    def latest_start(self) -> datetime.datetime:
        """Return the last instant at which a start meets the deadline."""
        return self.deadline - self.predicted_service


@dataclasses.dataclass(slots=True, frozen=True)
class Admit:
    """Dispatch the request now."""

    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """Answer the request now: it was not run and will not be."""

    request_id: model.RequestId
    failure: _failures.NotAdmitted


Decision = Admit | Refuse
