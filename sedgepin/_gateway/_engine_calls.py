"""Calls to engines beside the requests of callers."""

import collections.abc
import datetime

import result
import trio

from sedgepin import _forwarding as forwarding
from sedgepin._gateway import _calls
from sedgepin._gateway import _dialect
from sedgepin._gateway import _effects
from sedgepin._gateway import _engine_connection
from sedgepin._gateway import _events
from sedgepin import _memory as memory
from sedgepin import _web as web

# In this time a process that has begun to end closes its listening socket.
_REPEAT_DELAY_SECONDS = 0.02

_Submit = collections.abc.Callable[[_events.GatewayEvent], None]


async def refuses_connections(
    dispatch: _calls.Dispatch,
    dialect: _dialect.GatewayDialect,
    timeout: datetime.timedelta,
    budget: memory.MemoryBudget | None = None,
) -> bool:
    """Return whether no process serves at an engine's address any more.

    An engine that does not answer may be cut off only.  One that is ending may
    reset a connection, and refuses the next one.
    """
    failure = await _find_failure(dispatch, dialect, timeout, budget)
    if isinstance(failure, web.AnswerBroken | web.ConnectFailed) and (
        failure.is_reset
    ):
        await trio.sleep(_REPEAT_DELAY_SECONDS)
        failure = await _find_failure(dispatch, dialect, timeout, budget)
    return (
        isinstance(failure, web.ConnectFailed | forwarding.ForwardFailed)
        and failure.is_refused
    )


async def _find_failure(
    dispatch: _calls.Dispatch,
    dialect: _dialect.GatewayDialect,
    timeout: datetime.timedelta,
    budget: memory.MemoryBudget | None = None,
) -> web.ConnectFailed | forwarding.ForwardFailed | web.AnswerBroken | None:
    """Return why an engine that was called does not answer, if so."""
    response = await _engine_connection.call(
        dispatch.endpoint_id,
        dispatch.incarnation,
        dispatch.address,
        dispatch.forwarder,
        dialect.report_request(dispatch.address),
        timeout,
        budget,
    )
    return response.err()


async def probe(
    effect: _effects.ProbeEndpoint,
    dialect: _dialect.GatewayDialect,
    timeout: datetime.timedelta,
    budget: memory.MemoryBudget | None = None,
) -> _events.EndpointProbed:
    """Call an endpoint, to learn whether it can be reached again."""
    response = await _engine_connection.call(
        effect.endpoint_id,
        effect.incarnation,
        effect.address,
        effect.forwarder,
        dialect.report_request(effect.address),
        timeout,
        budget,
    )
    failure: _events.LinkFailure | None = None
    if isinstance(response, result.Err):
        failure = _engine_connection.link_failure(response.err_value)
    return _events.EndpointProbed(
        effect.endpoint_id, response.is_ok(), effect.forwarder, failure
    )


async def inspect_stalls(
    effect: _effects.InspectStalls,
    dialect: _dialect.GatewayDialect,
    submit: _Submit,
    timeout: datetime.timedelta,
    budget: memory.MemoryBudget | None = None,
) -> _events.StallsInspected:
    """Request a stall report from a first engine.

    What its answer's head tells is submitted apart.  An engine that resets
    the connection, or answers without a report, is not silent.
    """
    response = await _engine_connection.call(
        effect.endpoint_id,
        effect.incarnation,
        effect.address,
        effect.forwarder,
        dialect.report_request(effect.address),
        timeout,
        budget,
    )
    if isinstance(response, result.Err):
        failure = response.err_value
        return _events.StallsInspected(
            effect.endpoint_id,
            None,
            isinstance(failure, web.AnswerBroken) and not failure.is_timeout,
            effect.forwarder,
            _engine_connection.link_failure(failure),
        )
    metadata = dialect.parse_answer(response.ok_value[0])
    submit(
        _events.AnswerHeadReceived(
            effect.endpoint_id, metadata, effect.incarnation, is_check=True
        )
    )
    report = dialect.parse_stall_report(*response.ok_value).ok()
    return _events.StallsInspected(effect.endpoint_id, report, True)


async def reroute(
    effect: _effects.Reroute,
    dialect: _dialect.GatewayDialect,
    submit: _Submit,
    timeout: datetime.timedelta,
    budget: memory.MemoryBudget | None = None,
) -> _events.Rerouted:
    """Order a first engine to continue a request on another pipeline."""
    first_id = effect.pipeline.stages[0].endpoint_id
    response = await _engine_connection.call(
        first_id,
        effect.incarnation,
        effect.address,
        effect.forwarder,
        dialect.reroute_request(effect.request_id, effect.pipeline),
        timeout,
        budget,
    )
    if isinstance(response, result.Err):
        return _events.Rerouted(
            effect.exchange_id, False, attempt=effect.attempt
        )
    metadata = dialect.parse_answer(response.ok_value[0])
    submit(
        _events.AnswerHeadReceived(
            first_id, metadata, effect.incarnation, is_check=True
        )
    )
    reroute_result = dialect.parse_reroute_answer(*response.ok_value)
    if isinstance(reroute_result, result.Err):
        return _events.Rerouted(
            effect.exchange_id,
            False,
            reroute_result.err_value or None,
            effect.attempt,
        )
    return _events.Rerouted(effect.exchange_id, True, attempt=effect.attempt)
