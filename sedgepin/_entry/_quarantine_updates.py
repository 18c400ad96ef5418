"""Updates for the quarantine that result from handling an event.

They are queued while the event is handled and applied after it.
"""

import dataclasses
import typing

from sedgepin._entry import _open_answer
from sedgepin import _model as model


@dataclasses.dataclass(slots=True, frozen=True)
class TrialReady:
    """A suspect request was admitted and has to run in an isolated trial."""

    answer: _open_answer.OpenAnswer


@dataclasses.dataclass(slots=True, frozen=True)
class TrialPassed:
    """A request on trial ran past where it last stopped, or completed."""

    answer: _open_answer.OpenAnswer


@dataclasses.dataclass(slots=True, frozen=True)
class RequestClosed:
    """A request ended, whether it succeeded or not."""

    request_id: model.RequestId


QuarantineUpdate: typing.TypeAlias = TrialReady | TrialPassed | RequestClosed
