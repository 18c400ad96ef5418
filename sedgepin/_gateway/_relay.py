"""Carrying one request to endpoints and the answer back, byte by byte.

Everything that is to be decided is asked of the reducer; this is only the
way of the bytes.
"""

import collections.abc
import dataclasses
import datetime
import math

import result
import trio

from sedgepin._gateway import _calls
from sedgepin._gateway import _dialect
from sedgepin._gateway import _effects
from sedgepin._gateway import _event_stream
from sedgepin._gateway import _events
from sedgepin import _web as web

# Engines and entry VMs are within a millisecond of each other; a connection
# that takes this long goes to a VM that is down, or over a cut link.
_CONNECT_TIMEOUT_SECONDS = 0.25
# Whole answers of plain services are held up to this size, so that one that
# breaks off can be replaced; longer ones are passed on as they come.
_HELD_ANSWER_BYTES = 1_048_576
# An event that is larger than this is not one.
_EVENT_LIMIT_BYTES = 1_048_576
# The first event takes some 100 ms on a calm day and is due after 500 ms.
_FIRST_EVENT_SECONDS = 0.4
# Events come every 20 to 60 ms; pauses count as late after 200 ms.
_NEXT_EVENT_SECONDS = 0.15
_FIRST_SERVER_ERROR = 500

_Outcome = _events.AttemptOutcome
_Submit = collections.abc.Callable[[_events.GatewayEvent], None]


@dataclasses.dataclass(slots=True)
class _Ended:
    """How an attempt ended, before the reducer is told."""

    outcome: _events.AttemptOutcome
    detail: str = ""
    faulty_address: str | None = None


class Relay:
    """One exchange: attempts, one after the other, and one answer."""

    __slots__ = (
        "_attempt_scope",
        "_dialect",
        "_exchange",
        "_held",
        "_inbox",
        "_is_given_up",
        "_is_sending",
        "_overdue_at",
        "_position",
        "_request",
        "_scope",
        "_submit",
        "exchange_id",
    )

    def __init__(
        self,
        exchange_id: int,
        exchange: web.Exchange,
        request: _calls.CallerRequest,
        dialect: _dialect.GatewayDialect,
        submit: _Submit,
    ) -> None:
        self.exchange_id = exchange_id
        self._exchange = exchange
        self._request = request
        self._dialect = dialect
        self._submit = submit
        self._position = request.resume_after
        self._held: _calls.Answer | None = None
        self._scope = trio.CancelScope()
        self._attempt_scope: trio.CancelScope | None = None
        self._is_given_up = False
        self._is_sending = False
        # When the next bytes of a stream are late, by trio's clock.
        self._overdue_at = math.inf
        sender, receiver = trio.open_memory_channel[_effects.GatewayEffect](8)
        self._inbox = (sender, receiver)

    def handle_effect(self, effect: _effects.GatewayEffect) -> None:
        """Take an effect that is meant for this exchange."""
        match effect:
            case _effects.SetDeadline(_, time_left):
                seconds = time_left.total_seconds()
                self._scope.deadline = trio.current_time() + seconds
            case _effects.CancelAttempt():
                self._give_up_attempt()
            case _:
                self._inbox[0].send_nowait(effect)

    def check_progress(self, time: float) -> None:
        """Tell the reducer if a stream has made no progress for too long.

        One check for all streams costs less than a timer for every event.
        """
        if time >= self._overdue_at:
            self._overdue_at = time + _NEXT_EVENT_SECONDS
            self._submit(_events.StreamStalled(self.exchange_id))

    def _give_up_attempt(self) -> None:
        """End the attempt, but not in the middle of an event's sending.

        Its successor goes on after the last event that was sent whole.  An
        answer whose end is being sent needs none.
        """
        self._is_given_up = True
        if self._attempt_scope is not None and not self._is_sending:
            self._attempt_scope.cancel()

    async def run(self) -> None:
        """Bring the request to its end."""
        arrived = _events.RequestArrived(self.exchange_id, self._request)
        is_over = False
        try:
            with self._scope:
                self._submit(arrived)
                await self._follow_effects()
                is_over = True
            if not is_over:
                self._submit(_events.DeadlineReached(self.exchange_id))
                await self._follow_effects()
                is_over = True
        finally:
            if not is_over:
                self._submit(_events.CallerDisconnected(self.exchange_id))

    async def _follow_effects(self) -> None:
        """Carry out what the reducer asks until the exchange is over."""
        while True:
            effect = await self._inbox[1].receive()
            match effect:
                case _effects.StartAttempt():
                    await self._attempt(effect)
                case _effects.FailExchange(_, failure):
                    if self._exchange.has_started:
                        return
                    head, body = self._dialect.failure_answer(
                        self._request.request_id, failure
                    )
                    await self._exchange.answer(head, body)
                    return
                case _effects.DeliverHeldAnswer():
                    if self._held is not None:
                        await self._exchange.answer(*self._held)
                    return
                case _effects.FinishExchange():
                    return

    async def _attempt(self, start: _effects.StartAttempt) -> None:
        """Run one attempt and tell the reducer how it ended."""
        ended = _Ended(_Outcome.CANCELLED, "it was given up")
        self._is_given_up = False
        self._is_sending = False
        with trio.CancelScope() as scope:
            self._attempt_scope = scope
            ended = await self._send(start)
        self._attempt_scope = None
        self._overdue_at = math.inf
        self._submit(
            _events.AttemptEnded(
                self.exchange_id,
                ended.outcome,
                ended.detail,
                self._position,
                ended.faulty_address,
                start.dispatch.endpoint_id,
            )
        )
        if ended.outcome is _Outcome.ANSWERED:
            self._inbox[0].send_nowait(
                _effects.FinishExchange(self.exchange_id)
            )

    async def _send(self, start: _effects.StartAttempt) -> _Ended:
        dispatch = start.dispatch
        opened = await web.ClientConnection.open(
            dispatch.address, _CONNECT_TIMEOUT_SECONDS
        )
        if isinstance(opened, result.Err):
            return _Ended(_Outcome.NOT_SENT, opened.err_value.detail())
        conn = opened.ok_value
        message = self._dialect.endpoint_request(self._request, dispatch)
        try:
            async with trio.open_nursery() as nursery:
                sent = await conn.send(message, nursery)
                if isinstance(sent, result.Err):
                    return _Ended(_Outcome.UNKNOWN, sent.err_value.detail())
                ended = await self._receive(conn, start)
                nursery.cancel_scope.cancel()
                return ended
        finally:
            conn.close()

    async def _receive(
        self, conn: web.ClientConnection, start: _effects.StartAttempt
    ) -> _Ended:
        head = await self._read_head(conn, start)
        if isinstance(head, _Ended):
            return head
        marks = self._dialect.read_answer(head)
        endpoint_id = start.dispatch.endpoint_id
        self._submit(_events.EndpointLoadReported(endpoint_id, marks))
        if marks.is_not_run:
            detail = f"the endpoint answered {head.status}"
            return _Ended(_Outcome.NOT_RUN, detail, marks.faulty_address)
        if marks.request_id not in (None, self._request.request_id):
            return _Ended(_Outcome.UNKNOWN, "the answer is another request's")
        is_success = head.status < 300
        if not is_success or not start.is_stream:
            return await self._take_whole(conn, head, marks)
        if not marks.is_signed:
            return _Ended(_Outcome.UNKNOWN, "the answer is not signed")
        return await self._pass_stream(conn, head)

    async def _read_head(
        self, conn: web.ClientConnection, start: _effects.StartAttempt
    ) -> web.AnswerHead | _Ended:
        limit = start.answer_within
        seconds = math.inf if limit is None else limit.total_seconds()
        if start.dispatch.pipeline is not None:
            self._overdue_at = trio.current_time() + _FIRST_EVENT_SECONDS
        with trio.move_on_after(seconds):
            head = await conn.read_head()
            if isinstance(head, result.Err):
                return _Ended(_Outcome.UNKNOWN, head.err_value.detail())
            return head.ok_value
        return _Ended(_Outcome.UNKNOWN, "no answer within its target")

    async def _take_whole(
        self,
        conn: web.ClientConnection,
        head: web.AnswerHead,
        marks: _calls.AnswerMetadata,
    ) -> _Ended:
        """Read an answer whole, then give it to the caller."""
        body = await conn.read_body(_HELD_ANSWER_BYTES)
        if isinstance(body, result.Err):
            return _Ended(_Outcome.UNKNOWN, body.err_value.detail())
        if head.status < 300 and not marks.is_signed:
            return _Ended(_Outcome.UNKNOWN, "the answer is not signed")
        passed = web.AnswerHead(
            head.status, web.end_to_end_headers(head.headers)
        )
        if self._exchange.has_started:
            detail = f"the endpoint answered {head.status}"
            return _Ended(_Outcome.UNKNOWN, detail)
        if head.status >= _FIRST_SERVER_ERROR:
            self._held = (passed, body.ok_value)
            detail = f"the endpoint answered {head.status}"
            return _Ended(_Outcome.FAILED, detail, marks.faulty_address)
        self._is_sending = True
        await self._exchange.answer(passed, body.ok_value)
        return _Ended(_Outcome.ANSWERED)

    async def _pass_stream(
        self, conn: web.ClientConnection, head: web.AnswerHead
    ) -> _Ended:
        """Pass on whole events, each once and in order."""
        splitter = _event_stream.EventSplitter()
        while True:
            self._overdue_at = trio.current_time() + _NEXT_EVENT_SECONDS
            data = await conn.read_data()
            if isinstance(data, result.Err):
                return _Ended(_Outcome.UNKNOWN, data.err_value.detail())
            if data.ok_value is None:
                break
            found = splitter.feed(data.ok_value)
            if splitter.buffered_bytes > _EVENT_LIMIT_BYTES:
                return _Ended(_Outcome.UNKNOWN, "an event has no end")
            problem = await self._pass_events(head, found)
            if problem is not None:
                return _Ended(_Outcome.UNKNOWN, problem)
        if splitter.has_rest or not self._exchange.has_started:
            return _Ended(_Outcome.UNKNOWN, "the stream ended in an event")
        self._is_sending = True
        await self._exchange.finish()
        return _Ended(_Outcome.ANSWERED)

    async def _pass_events(
        self, head: web.AnswerHead, found: list[_event_stream.StreamEvent]
    ) -> str | None:
        """Send events on; return what is wrong with them, if anything."""
        passed = bytearray()
        problem: str | None = None
        position = self._position
        for event in found:
            if event.event_id is not None and position is not None:
                if event.event_id <= position:
                    continue
                if event.event_id != position + 1:
                    problem = f"event {event.event_id} is out of order"
                    break
            if event.event_id is not None:
                position = event.event_id
            passed += event.data
        if passed:
            self._is_sending = True
            await self._begin(head)
            await self._exchange.send(bytes(passed))
            self._is_sending = False
            self._position = position
            if self._is_given_up:
                self._give_up_attempt()
        return problem

    async def _begin(self, head: web.AnswerHead) -> None:
        if self._exchange.has_started:
            return
        passed = web.AnswerHead(
            head.status, web.end_to_end_headers(head.headers)
        )
        await self._exchange.start(passed)
        self._submit(_events.OutputStarted(self.exchange_id))


async def inspect_stalls(
    effect: _effects.InspectStalls,
    dialect: _dialect.GatewayDialect,
    timeout: datetime.timedelta,
) -> _events.StallsInspected:
    """Ask a first engine which requests wait, and for what."""
    request = dialect.report_request(effect.address)
    asked = await web.send_request(
        effect.address, request, timeout.total_seconds()
    )
    report: _calls.StallReport | None = None
    if isinstance(asked, result.Ok):
        report = dialect.read_stalls(*asked.ok_value).ok()
    return _events.StallsInspected(effect.endpoint_id, report)


async def reroute(
    effect: _effects.Reroute,
    dialect: _dialect.GatewayDialect,
    timeout: datetime.timedelta,
) -> _events.Rerouted:
    """Order a first engine to go on with another pipeline."""
    request = dialect.reroute_request(effect.request_id, effect.pipeline)
    asked = await web.send_request(
        effect.address, request, timeout.total_seconds()
    )
    if isinstance(asked, result.Err):
        return _events.Rerouted(effect.exchange_id, False)
    read = dialect.read_reroute_answer(*asked.ok_value)
    if isinstance(read, result.Err):
        return _events.Rerouted(
            effect.exchange_id, False, read.err_value or None
        )
    return _events.Rerouted(effect.exchange_id, True)
