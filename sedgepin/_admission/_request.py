"""Requests to admission control, and the decisions on them."""

import dataclasses
import datetime

from sedgepin._admission import _failures
from sedgepin import _model as model


@dataclasses.dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """A request submitted to admission control.

    ``cost_tokens`` is the estimated number of prompt and answer tokens.
    ``predicted_service`` is the expected running time.  Among requests of
    one customer, those with a higher ``priority`` run first.
    """

    request_id: model.RequestId
    customer: model.CustomerId
    priority: int
    cost_tokens: int
    deadline: datetime.datetime
    predicted_service: datetime.timedelta

    @property
    def latest_start(self) -> datetime.datetime:
        """Return the latest start that meets the deadline."""
        return self.deadline - self.predicted_service


@dataclasses.dataclass(slots=True, frozen=True)
class Admit:
    """Dispatch the request now."""

    request_id: model.RequestId


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """Answer the request with ``failure``: it has not run and will not."""

    request_id: model.RequestId
    failure: _failures.NotAdmitted


Decision = Admit | Refuse
