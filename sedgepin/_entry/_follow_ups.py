"""What an event meant for suspects, told to the quarantine after it."""

import dataclasses
import typing

from sedgepin._entry import _open_answer
from sedgepin import _model as model


@dataclasses.dataclass(slots=True, frozen=True)
class TrialDue:
    """A suspect was let in and has to run alone."""

    answer: _open_answer.OpenAnswer


@dataclasses.dataclass(slots=True, frozen=True)
class TrialOutrun:
    """A suspect ran past the point of its last death."""

    answer: _open_answer.OpenAnswer


@dataclasses.dataclass(slots=True, frozen=True)
class RequestOver:
    """A request is closed."""

    request_id: model.RequestId


FollowUp: typing.TypeAlias = TrialDue | TrialOutrun | RequestOver
