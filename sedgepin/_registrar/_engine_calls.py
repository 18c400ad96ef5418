"""The calls that a control VM sends to engines."""

import functools
import typing

import result
import trio

from sedgepin import _memory as memory
from sedgepin._registrar import _dialect
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin import _web as web
from sedgepin import containment
from sedgepin import errors
from sedgepin import events
from sedgepin import logs

# Engines respond to a report request within milliseconds.  An engine that does
# not respond must not delay orders to other engines.
_TIMEOUT_SECONDS = 1.0
# An engine that did not answer within that time has been silent for as long.
_REPEATED_CHECK_TIMEOUT_SECONDS = 0.5
# In this time a process that has begun to end closes its listening socket.
_REPEAT_DELAY_SECONDS = 0.02

_Inspection: typing.TypeAlias = result.Result[
    tuple[web.AnswerHead, bytes], web.ConnectFailed | web.AnswerBroken
]


class EngineCalls:
    """Sends calls to engines, and submits their outcomes as events.

    Answers count in ``budget`` while they are read.
    """

    __slots__ = ("_budget", "_dialect", "_submit")

    def __init__(
        self,
        dialect: _dialect.ControlDialect,
        budget: memory.MemoryBudget,
        submit: typing.Callable[[_events.RegistrarEvent], None],
    ) -> None:
        self._dialect = dialect
        self._budget = budget
        self._submit = submit

    async def inspect(self, effect: _effects.InspectEngine) -> None:
        """Request the report of an engine, and submit what it tells."""
        with containment.contain("inspection"):
            await self._request_report(effect)

    async def _request_report(self, effect: _effects.InspectEngine) -> None:
        request = self._dialect.report_request(effect.address)
        response = await _send_inspection(effect, request, self._budget)
        report: _events.EngineReport | None = None
        failure: errors.Failure | None = None
        if response.is_err():
            failure = response.unwrap_err()
        else:
            self._submit_notice(effect, response.unwrap()[0])
            parsed = self._dialect.parse_report(*response.unwrap())
            failure = parsed.err()
            report = parsed.ok()
        # Any answer to a check tells that the engine runs; one that runs no
        # model has no report.
        is_sound = effect.is_check and response.is_ok()
        if failure is not None and not (is_sound or effect.is_repeated):
            line = events.ENDPOINT_SUSPECTED.line(
                endpoint=effect.endpoint_id, failure=failure.detail()
            )
            logs.write(line)
        self._submit(
            _events.EngineInspected(
                effect.endpoint_id,
                effect.incarnation,
                report,
                _has_answered(response.err()),
                not _is_refusal(response.err()),
                effect.is_check,
                effect.is_repeated,
            )
        )

    async def order_layers(self, order: _effects.OrderLayers) -> None:
        """Send an order to load or drop layers, and submit its answer."""
        with containment.contain("order"):
            await self._send_order(order)

    async def _send_order(self, order: _effects.OrderLayers) -> None:
        request = self._dialect.layer_order_request(order)
        response = await web.send_request(
            order.address,
            request,
            _TIMEOUT_SECONDS,
            budget=self._budget,
        )
        if response.is_err():
            failure = response.unwrap_err()
            line = events.ORDER_FAILED.line(
                endpoint=order.endpoint_id, failure=failure.detail()
            )
            logs.write(line)
            order_answer = _events.LayerOrderAnswered(
                order.endpoint_id, order.incarnation, False, False
            )
        else:
            head, _body = response.unwrap()
            self._submit_notice(order, head)
            order_answer = self._dialect.parse_order_answer(order, head)
        self._submit(order_answer)

    def _submit_notice(
        self,
        effect: _effects.InspectEngine | _effects.OrderLayers,
        head: web.AnswerHead,
    ) -> None:
        """Submit what an engine says of itself in the head of an answer."""
        self._submit(
            _events.NoticeReceived(
                effect.endpoint_id,
                effect.incarnation,
                self._dialect.parse_notice(head),
            )
        )


async def _send_inspection(
    effect: _effects.InspectEngine,
    request: web.Request,
    budget: memory.MemoryBudget,
) -> _Inspection:
    """Send a report request; repeat a check if the connection was only closed.

    An engine that is ending may close it, and then refuses the next one.  One
    that goes on may have had as many connections as it accepts.
    """
    timeout_seconds = _TIMEOUT_SECONDS
    if effect.is_repeated:
        timeout_seconds = _REPEATED_CHECK_TIMEOUT_SECONDS
    send = functools.partial(
        web.send_request,
        effect.address,
        request,
        timeout_seconds,
        budget=budget,
    )
    response = await send()
    if not effect.is_check or not _was_closed(response.err()):
        return response
    await trio.sleep(_REPEAT_DELAY_SECONDS)
    repeated = await send()
    is_decided = repeated.is_ok() or _is_refusal(repeated.err())
    return repeated if is_decided else response


def _has_answered(failure: errors.Failure | None) -> bool:
    """Return whether a process serves at the address that was called.

    It does if it sent a byte, or has closed or reset the connection.
    """
    if isinstance(failure, web.AnswerBroken) and failure.has_data:
        return True
    return failure is None or _was_closed(failure)


def _was_closed(failure: errors.Failure | None) -> bool:
    """Return whether a connection was closed or reset without an answer."""
    return (
        isinstance(failure, (web.ConnectFailed, web.AnswerBroken))
        and failure.is_reset
    )


def _is_refusal(failure: errors.Failure | None) -> bool:
    """Return whether no process serves at the address that was called.

    A connection that is accepted and then reset may only be one too many.
    """
    return isinstance(failure, web.ConnectFailed) and failure.is_refused
