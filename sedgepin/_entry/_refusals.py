"""Refusing requests, and the time limit after which they are refused."""

import datetime

from sedgepin import _admission as admission
from sedgepin._entry import _context
from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin._entry import _failures
from sedgepin import _release as release
from sedgepin import _service_levels as service_levels
from sedgepin import errors
from sedgepin import events

_RETRY_AFTER = datetime.timedelta(seconds=1)


def refuse_and_log(
    context: _context.ReducerContext,
    request: _events.GenerateRequest | _events.ServiceRequest,
    failure: errors.Failure,
    now: datetime.datetime,
) -> list[_effects.EntryEffect]:
    """Return the effects that send a caller its final failure.

    The refusal is also logged and counted.  Callers may name any service, so
    those that do not exist are counted as one.
    """
    fleet = context.follower.fleet
    is_known = fleet is not None and fleet.find_service(request.service)
    context.levels.count_refused(
        request.customer,
        request.service if is_known else service_levels.UNKNOWN,
        failure.code,
        now,
    )
    line = events.REQUEST_REFUSED.line(
        request=request.request_id,
        customer=request.customer,
        code=failure.code,
        outcome=failure.outcome.value,
    )
    return [
        _effects.RefuseCaller(request.request_id, failure),
        _effects.WriteLog(line),
        _effects.CountMetric("requests_refused"),
    ]


def deadline_before_start() -> admission.DeadlineCannotBeMet:
    """Return the failure for a deadline that passed before the request ran."""
    return admission.DeadlineCannotBeMet(_RETRY_AFTER)


def at_end_of_grace(may_have_run: bool) -> errors.Failure:
    """Return the failure of a request that is open when this VM stops."""
    if may_have_run:
        return _failures.DrainEnded()
    return admission.Draining(_RETRY_AFTER)


def effective_timeout(
    context: _context.ReducerContext,
    service: release.Service,
    requested: datetime.timedelta | None,
) -> datetime.timedelta:
    """Return the timeout of a request, from its arrival to its end.

    The caller's timeout replaces the service's default; neither exceeds the
    limit in this VM's settings.
    """
    limit = datetime.timedelta(seconds=context.cfg.limits.request_seconds)
    default = datetime.timedelta(milliseconds=service.deadline_milliseconds)
    return min(limit, default if requested is None else requested)
