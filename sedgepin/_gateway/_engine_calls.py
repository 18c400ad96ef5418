"""Calls to engines beside the requests of callers."""

import collections.abc
import datetime

import result
import trio

from sedgepin._gateway import _calls
from sedgepin._gateway import _dialect
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin import _web as web

# In this time a process that has begun to end closes its listening socket.
_REPEAT_DELAY_SECONDS = 0.02

_Submit = collections.abc.Callable[[_events.GatewayEvent], None]


async def refuses_connections(
    address: str, dialect: _dialect.GatewayDialect, timeout: datetime.timedelta
) -> bool:
    """Return whether no process serves at an engine's address any more.

    An engine that does not answer may be cut off only.  One that is ending may
    reset a connection, and refuses the next one.
    """
    request = dialect.report_request(address)
    seconds = timeout.total_seconds()
    failure = (await web.send_request(address, request, seconds)).err()
    if failure is not None and failure.is_reset:
        await trio.sleep(_REPEAT_DELAY_SECONDS)
        failure = (await web.send_request(address, request, seconds)).err()
    return isinstance(failure, web.ConnectFailed) and failure.is_refused


async def inspect_stalls(
    effect: _effects.InspectStalls,
    dialect: _dialect.GatewayDialect,
    submit: _Submit,
    timeout: datetime.timedelta,
) -> _events.StallsInspected:
    """Request a stall report from a first engine.

    What its answer's head tells is submitted apart.  An engine that resets
    the connection, or answers without a report, is not silent.
    """
    request = dialect.report_request(effect.address)
    response = await web.send_request(
        effect.address, request, timeout.total_seconds()
    )
    report: _calls.StallReport | None = None
    failure = response.err()
    has_answered = isinstance(response, result.Ok) or (
        isinstance(failure, web.AnswerBroken) and not failure.is_timeout
    )
    if isinstance(response, result.Ok):
        metadata = dialect.parse_answer(response.ok_value[0])
        submit(_events.AnswerHeadReceived(effect.endpoint_id, metadata))
        report = dialect.parse_stall_report(*response.ok_value).ok()
    return _events.StallsInspected(effect.endpoint_id, report, has_answered)


async def reroute(
    effect: _effects.Reroute,
    dialect: _dialect.GatewayDialect,
    submit: _Submit,
    timeout: datetime.timedelta,
) -> _events.Rerouted:
    """Order a first engine to continue a request on another pipeline."""
    request = dialect.reroute_request(effect.request_id, effect.pipeline)
    response = await web.send_request(
        effect.address, request, timeout.total_seconds()
    )
    if isinstance(response, result.Err):
        return _events.Rerouted(
            effect.exchange_id, False, attempt=effect.attempt
        )
    first_id = effect.pipeline.stages[0].endpoint_id
    metadata = dialect.parse_answer(response.ok_value[0])
    submit(_events.AnswerHeadReceived(first_id, metadata))
    reroute_result = dialect.parse_reroute_answer(*response.ok_value)
    if isinstance(reroute_result, result.Err):
        return _events.Rerouted(
            effect.exchange_id,
            False,
            reroute_result.err_value or None,
            effect.attempt,
        )
    return _events.Rerouted(effect.exchange_id, True, attempt=effect.attempt)
