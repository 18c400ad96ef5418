"""Final failures, and how long a request may take before one."""

import datetime

from sedgepin import _admission as admission
from sedgepin._entry import _effects
from sedgepin._entry import _surroundings
from sedgepin import _model as model
from sedgepin import _release as release
from sedgepin import errors
from sedgepin import events

_COME_BACK_SOON = datetime.timedelta(seconds=1)


def refuse_and_log(
    request_id: model.RequestId,
    customer: model.CustomerId,
    failure: errors.Failure,
) -> list[_effects.EntryEffect]:
    """Return the effects that give a caller its final failure."""
    line = events.REQUEST_REFUSED.line(
        request=request_id,
        customer=customer,
        code=failure.code,
        outcome=failure.outcome.value,
    )
    return [
        _effects.RefuseCaller(request_id, failure),
        _effects.WriteLog(line),
        _effects.CountMetric("requests_refused"),
    ]


def never_started() -> admission.DeadlineCannotBeMet:
    """Return the failure of a request whose time ended before it ran."""
    return admission.DeadlineCannotBeMet(_COME_BACK_SOON)


def allowed_time(
    around: _surroundings.Surroundings,
    service: release.Service,
    asked: datetime.timedelta | None,
) -> datetime.timedelta:
    """Return how long a request may take."""
    limit = datetime.timedelta(seconds=around.cfg.limits.request_seconds)
    usual = datetime.timedelta(milliseconds=service.deadline_milliseconds)
    return min(limit, usual if asked is None else asked)
