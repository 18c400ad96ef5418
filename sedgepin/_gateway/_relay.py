"""Sends one request to endpoints and forwards the answer to the caller.

All decisions are the reducer's; this module does the input and output.
"""

import collections.abc
import dataclasses
import datetime
import math

import result
import trio

from sedgepin import _forwarding as forwarding
from sedgepin._gateway import _calls
from sedgepin._gateway import _dialect
from sedgepin._gateway import _effects
from sedgepin._gateway import _engine_calls
from sedgepin._gateway import _engine_connection
from sedgepin._gateway import _event_stream
from sedgepin._gateway import _events
from sedgepin._gateway import _failures
from sedgepin import _memory as memory
from sedgepin import _service_levels as service_levels
from sedgepin import _web as web

# Answers that are not streams are read completely before they are forwarded,
# so that the request can be retried if one breaks off.  Longer ones fail.
_MAX_WHOLE_ANSWER_BYTES = 1_048_576
_MAX_EVENT_BYTES = 1_048_576
# The first event takes some 100 ms under low load and is due after 500 ms.
# A missing one is reported as a stall before that.
_FIRST_EVENT_TIMEOUT_SECONDS = 0.4
# Events arrive every 20 to 60 ms; the next one is late after 200 ms.  Stalls
# are checked every 50 ms, so they are reported by then.
_NEXT_EVENT_TIMEOUT_SECONDS = 0.15
_ENGINE_TIMEOUT = datetime.timedelta(milliseconds=250)
_FIRST_REDIRECT = 300
_HEAD = b"HEAD"
# Statuses that tell a caller that its request was not run and never will be.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
_FIRST_SERVER_ERROR = 500
# A request that crashes its engine does so at the start of its output.
_SUSTAINED_EVENTS = 16

# An answer and what is sent of it, until the caller has received it.
_COPIES = 2
# Less is not counted: it is either sent at once or small.
_MIN_COUNTED_BYTES = 4096

_ENDED_FOR_MEMORY = "the memory for answers was used up"
_BROKEN_OFF = "the answer has no length and its engine ended or reset it"
_NO_LENGTH_AND_NO_EVENT = "the stream has no length and no event"

_LinkFailure = _events.LinkFailure
_Outcome = _events.AttemptOutcome
_Submit = collections.abc.Callable[[_events.GatewayEvent], None]


@dataclasses.dataclass(slots=True)
class _AttemptResult:
    """The result of an attempt, for ``AttemptEnded``."""

    outcome: _events.AttemptOutcome
    detail: str = ""
    faulty_address: str | None = None
    is_success: bool = True
    is_invalid_answer: bool = False
    link_failure: _events.LinkFailure | None = None


class Relay:
    """Runs the attempts of one exchange in sequence and sends its answer."""

    __slots__ = (
        "_account",
        "_attempt_scope",
        "_budget",
        "_delivery_scope",
        "_dialect",
        "_effect_channel",
        "_ending",
        "_event_count",
        "_exchange",
        "_exchange_scope",
        "_has_numbered_event",
        "_held_account",
        "_held_answer",
        "_is_cancelled",
        "_is_cut",
        "_is_evicted",
        "_is_holding",
        "_is_overdue",
        "_is_request_evicted",
        "_is_sending",
        "_is_sustained",
        "_last_output_at",
        "_output_count",
        "_pause_monitor",
        "_pause_target_seconds",
        "_position",
        "_request",
        "_stream_head",
        "_submit",
        "exchange_id",
        "stalled_at",
    )

    def __init__(
        self,
        exchange_id: int,
        exchange: web.Exchange,
        request: _calls.CallerRequest,
        dialect: _dialect.GatewayDialect,
        submit: _Submit,
        budget: memory.MemoryBudget | None = None,
    ) -> None:
        self.exchange_id = exchange_id
        # Without one, a share of the VM's memory for this relay alone.
        self._budget = budget or memory.MemoryBudget(
            memory.default_held_bytes()
        )
        # What is held of the answer beside what its connection holds.
        self._account: memory.Account | None = None
        self._exchange = exchange
        self._request = request
        self._dialect = dialect
        self._submit = submit
        self._position = request.resume_after
        self._held_answer: _calls.Answer | None = None
        # Of the held answer, which is gone once this has ended.
        self._held_account: memory.Account | None = None
        self._delivery_scope = trio.CancelScope()
        self._exchange_scope = trio.CancelScope()
        self._attempt_scope: trio.CancelScope | None = None
        # The effect that ends the exchange, once it was received.
        self._ending: (
            _effects.FailExchange | _effects.DeliverHeldAnswer | None
        ) = None
        self._is_cancelled = False
        # Whether the attempt was ended for its memory.
        self._is_evicted = False
        self._is_holding = False
        # Whether an eviction has interrupted an answer that was being sent.
        self._is_cut = False
        self._is_overdue = False
        self._is_request_evicted = False
        self._is_sending = False
        # The events that the attempt has sent, comments included.
        self._event_count = 0
        # Whether the attempt has sent an event with an id.
        self._has_numbered_event = False
        # Head of the stream that the caller gets.
        self._stream_head: web.AnswerHead | None = None
        self._is_sustained = False
        # Rises whenever the caller gets output, which comments are not.
        self._output_count = 0
        self._last_output_at = -math.inf
        self._pause_monitor = service_levels.PauseMonitor[float]()
        self._pause_target_seconds = math.inf
        # When the next bytes of a stream count as late, by trio's clock.
        self.stalled_at = math.inf
        sender, receiver = trio.open_memory_channel[_effects.GatewayEffect](8)
        self._effect_channel = (sender, receiver)

    def handle_effect(self, effect: _effects.GatewayEffect) -> None:
        """Apply an effect of this exchange, or queue it for ``run``."""
        match effect:
            case _effects.SetDeadline(_, time_left):
                seconds = time_left.total_seconds()
                self._exchange_scope.deadline = trio.current_time() + seconds
            case _effects.CancelAttempt():
                self._cancel_attempt()
            case _effects.StartAttempt():
                # A cancellation may come before the attempt begins.
                self._is_cancelled = False
                self._effect_channel[0].send_nowait(effect)
            case _:
                self._effect_channel[0].send_nowait(effect)

    def check_progress(self, time: float) -> None:
        """Report a stall if the next bytes of the stream are late.

        The daemon calls this for all streams at each tick, which costs less
        than a timer for each event.
        """
        # While a caller is slow to receive, the pause is its own.
        if self._exchange.has_started and not self._is_sending:
            self._check_pause(time)
        if time >= self.stalled_at:
            self.stalled_at = time + _NEXT_EVENT_TIMEOUT_SECONDS
            self._submit(_events.StreamStalled(self.exchange_id))

    def _check_pause(self, time: float) -> None:
        """Report a pause that has become late, once."""
        if self._pause_monitor.check(
            self._output_count,
            self._last_output_at,
            time - self._pause_target_seconds,
        ):
            self._submit(_events.PauseLate(self.exchange_id))

    def _evict_request(self) -> None:
        """End the exchange, as its request is not held any longer."""
        self._is_request_evicted = True
        self._exchange_scope.cancel()

    def _cancel_attempt(self) -> None:
        """Cancel the attempt, unless it is sending to the caller.

        The next attempt resumes after the last event that was sent
        completely.  If the end of the answer is being sent, the attempt
        succeeds instead.
        """
        self._is_cancelled = True
        if self._attempt_scope is not None and not self._is_sending:
            self._attempt_scope.cancel()

    async def _start_sending(self) -> None:
        """Let nothing cancel the attempt from now on.

        A cancellation in the turn in which its output arrived takes effect
        here.  Within the send it would end the caller's connection.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        self._is_sending = True

    def _evict(self) -> None:
        """End the attempt, even one that is sending to the caller.

        Nothing can follow on a connection whose send was interrupted.
        """
        self._is_evicted = True
        if self._attempt_scope is not None:
            self._attempt_scope.cancel()

    def _evict_held_answer(self) -> None:
        self._held_answer = None
        self._delivery_scope.cancel()

    def _hold(self, held_bytes: int) -> None:
        """State what is held of the answer beside its connection."""
        if self._account is not None:
            self._is_holding = held_bytes > _MIN_COUNTED_BYTES
            self._account.hold(held_bytes if self._is_holding else 0)

    async def run(self) -> None:
        """Run the exchange until it is answered, failed or abandoned."""
        arrival = _events.RequestArrived(self.exchange_id, self._request)
        self._exchange.on_eviction = self._evict_request
        if self._request.time_left is not None:
            # It must end even if the reducer has failed and forgets it.
            seconds = self._request.time_left.total_seconds()
            self._exchange_scope.deadline = trio.current_time() + seconds
        is_over = False
        try:
            with self._exchange_scope:
                self._submit(arrival)
                await self._follow_effects()
                is_over = True
            if not is_over:
                self._is_overdue = True
                if self._is_request_evicted:
                    self._submit(_events.RequestEvicted(self.exchange_id))
                else:
                    self._submit(_events.DeadlineReached(self.exchange_id))
                await self._follow_effects()
                is_over = True
        finally:
            if self._held_account is not None:
                self._held_account.close()
            if not is_over or self._is_cut:
                self._submit(
                    _events.CallerDisconnected(
                        self.exchange_id,
                        self._exchange.has_caller_closed,
                        memory.MemoryExhausted.code if self._is_cut else None,
                    )
                )

    async def _follow_effects(self) -> None:
        """Carry out the reducer's effects until the exchange ends."""
        while True:
            effect = await self._effect_channel[1].receive()
            match effect:
                case _effects.StartAttempt() if self._is_overdue:
                    # It was due in the same turn as the deadline.
                    continue
                case _effects.StartAttempt():
                    await self._run_attempt(effect)
                    if self._is_cut:
                        return
                case _effects.FailExchange() | _effects.DeliverHeldAnswer():
                    self._ending = effect
                    await self._end_exchange(effect)
                    return
                case _effects.FinishExchange():
                    # The deadline may have come before its first byte.
                    if self._ending is not None and (
                        not self._exchange.has_started
                    ):
                        await self._end_exchange(self._ending)
                    return

    async def _end_exchange(
        self, effect: _effects.FailExchange | _effects.DeliverHeldAnswer
    ) -> None:
        """Send the failure or the held answer that ends the exchange."""
        if isinstance(effect, _effects.FailExchange):
            if self._exchange.has_started:
                self._exchange.cut(effect.failure.code)
                return
            head, body = self._dialect.error_response(
                self._request.request_id, effect.failure
            )
            await self._exchange.answer(head, body)
            return
        if self._held_account is None or self._exchange.has_started:
            self._exchange.cut("engine_failed")
            return
        await self._deliver_held_answer(self._held_account)

    async def _deliver_held_answer(self, account: memory.Account) -> None:
        """Send the held answer, or the failure that it is gone."""
        self._delivery_scope = trio.CancelScope()
        if self._held_answer is not None:
            account.hold(len(self._held_answer[1]) * _COPIES)
        if self._held_answer is not None:
            with self._delivery_scope:
                await self._exchange.answer(*self._held_answer)
                return
        if self._exchange.has_started:
            self._exchange.cut(memory.MemoryExhausted.code)
            return
        failure = _failures.OutcomeUnknown(_ENDED_FOR_MEMORY)
        head, body = self._dialect.error_response(
            self._request.request_id, failure
        )
        await self._exchange.answer(head, body)

    async def _run_attempt(self, start: _effects.StartAttempt) -> None:
        """Run one attempt and report its result to the reducer."""
        attempt_result = _AttemptResult(
            _Outcome.CANCELLED, "the gateway cancelled the attempt"
        )
        self._is_sending = False
        self._event_count = 0
        self._has_numbered_event = False
        self._is_sustained = False
        self._is_evicted = False
        if start.pause_target is not None:
            self._pause_target_seconds = start.pause_target.total_seconds()
        with trio.CancelScope() as scope:
            self._attempt_scope = scope
            if self._is_cancelled:
                scope.cancel()
            attempt_result = await self._send_request(start)
        self._attempt_scope = None
        self.stalled_at = math.inf
        if scope.cancelled_caught and self._is_evicted:
            if self._is_sending and self._exchange.has_started:
                self._exchange.cut(memory.MemoryExhausted.code)
                self._is_cut = True
                return
            if not self._is_cancelled:
                # A sound answer of the engine clears the suspicion again.
                attempt_result = _invalid(_ENDED_FOR_MEMORY)
        self._submit(
            _events.AttemptEnded(
                self.exchange_id,
                attempt_result.outcome,
                attempt_result.detail,
                self._position,
                attempt_result.faulty_address,
                start.dispatch.endpoint_id,
                attempt_result.is_success,
                attempt_result.is_invalid_answer,
                attempt_result.link_failure,
            )
        )
        if attempt_result.outcome is _Outcome.ANSWERED:
            self._effect_channel[0].send_nowait(
                _effects.FinishExchange(self.exchange_id)
            )

    async def _send_request(
        self, start: _effects.StartAttempt
    ) -> _AttemptResult:
        address = start.dispatch.address
        kind = memory.HolderKind.ANSWER
        with (
            self._budget.open(kind, address, self._evict) as received,
            self._budget.open(kind, address, self._evict) as account,
        ):
            self._account = account
            return await self._exchange_messages(start, received)

    async def _exchange_messages(
        self, start: _effects.StartAttempt, received: memory.Account
    ) -> _AttemptResult:
        """Send the request and pass its answer on.

        The connection holds what was received in an account of its own.
        """
        dispatch = start.dispatch
        connect_result = await _engine_connection.connect(
            dispatch.endpoint_id,
            dispatch.incarnation,
            dispatch.address,
            dispatch.forwarder,
            self._request.request_id,
            received,
            self._exchange_scope.deadline,
        )
        if isinstance(connect_result, result.Err):
            failure = connect_result.err_value
            return _AttemptResult(
                _Outcome.NOT_SENT,
                failure.detail(),
                link_failure=_engine_connection.link_failure(failure),
            )
        self._submit(
            _events.EndpointReached(dispatch.endpoint_id, dispatch.forwarder)
        )
        connection = connect_result.ok_value
        message = self._dialect.endpoint_request(self._request, dispatch)
        try:
            async with trio.open_nursery() as nursery:
                sent = await connection.send(message, nursery)
                if isinstance(sent, result.Err):
                    return _AttemptResult(
                        _Outcome.UNKNOWN, sent.err_value.detail()
                    )
                attempt_result = await self._receive_answer(connection, start)
                nursery.cancel_scope.cancel()
                if _has_lost_forwarder(connection):
                    attempt_result.link_failure = _LinkFailure.FORWARDER
                return attempt_result
        finally:
            connection.close()

    async def _receive_answer(
        self, connection: web.AnswerConnection, start: _effects.StartAttempt
    ) -> _AttemptResult:
        head = await self._read_head(connection, start)
        if isinstance(head, _AttemptResult):
            return head
        metadata = self._dialect.parse_answer(head)
        dispatch = start.dispatch
        is_begun = self._begins_whole_answer(head, metadata, start)
        self._submit(
            _events.AnswerHeadReceived(
                dispatch.endpoint_id,
                metadata,
                dispatch.incarnation,
                begun_exchange_id=self.exchange_id if is_begun else None,
            )
        )
        # A faulty endpoint may send an earlier refusal once more.
        if metadata.request_id not in (None, self._request.request_id):
            return _AttemptResult(
                _Outcome.UNKNOWN,
                "the answer is for another request",
            )
        detail = f"the endpoint answered with status {head.status}"
        if metadata.is_not_run:
            return _AttemptResult(
                _Outcome.NOT_RUN, detail, metadata.faulty_address
            )
        if head.status in _NOT_RUN_STATUSES:
            # Callers would take it for the statement that is missing.
            return _AttemptResult(_Outcome.UNKNOWN, detail)
        if not self._is_stream(head, start):
            return await self._forward_whole_answer(
                connection, head, metadata, start
            )
        if not metadata.is_signed:
            return _AttemptResult(_Outcome.UNKNOWN, "the answer is not signed")
        if self._stream_head is not None and not _is_of_same_kind(
            self._stream_head, head
        ):
            return _invalid("the answer is no continuation of the stream")
        return await self._forward_stream(connection, head, start)

    def _is_stream(
        self, head: web.AnswerHead, start: _effects.StartAttempt
    ) -> bool:
        """Return whether an answer is a stream of events, not one piece."""
        return (
            start.is_stream
            and self._request.message.method != _HEAD
            and head.status < _FIRST_REDIRECT
        )

    def _begins_whole_answer(
        self,
        head: web.AnswerHead,
        metadata: _calls.AnswerMetadata,
        start: _effects.StartAttempt,
    ) -> bool:
        """Return whether a head begins an answer in one piece.

        Refusals and server errors do not, nor what is not from the endpoint.
        """
        return (
            not self._is_stream(head, start)
            and head.status < _FIRST_SERVER_ERROR
            and head.status not in _NOT_RUN_STATUSES
            and not metadata.is_not_run
            and metadata.request_id in (None, self._request.request_id)
            and (metadata.is_signed or head.status >= _FIRST_REDIRECT)
        )

    async def _read_head(
        self, connection: web.AnswerConnection, start: _effects.StartAttempt
    ) -> web.AnswerHead | _AttemptResult:
        limit = start.answer_timeout
        seconds = math.inf if limit is None else limit.total_seconds()
        if start.dispatch.pipeline is not None:
            self.stalled_at = (
                trio.current_time() + _FIRST_EVENT_TIMEOUT_SECONDS
            )
        while True:
            with trio.move_on_after(seconds):
                head = await connection.read_head()
                if isinstance(head, result.Err):
                    return _broken(head.err_value)
                return head.ok_value
            self._submit(_events.AnswerHeadLate(self.exchange_id))

    async def _forward_whole_answer(
        self,
        connection: web.AnswerConnection,
        head: web.AnswerHead,
        metadata: _calls.AnswerMetadata,
        start: _effects.StartAttempt,
    ) -> _AttemptResult:
        """Read the complete answer, then send it to the caller."""
        body = await connection.read_body(_MAX_WHOLE_ANSWER_BYTES)
        if isinstance(body, result.Err):
            return _broken(body.err_value)
        self._hold(len(body.ok_value))
        if head.status < _FIRST_REDIRECT and not metadata.is_signed:
            return _AttemptResult(_Outcome.UNKNOWN, "the answer is not signed")
        if await self._was_broken_off(connection, head, start):
            return _AttemptResult(_Outcome.UNKNOWN, _BROKEN_OFF)
        forwarded = web.AnswerHead(
            head.status, web.end_to_end_headers(head.headers)
        )
        if self._exchange.has_started:
            detail = f"the endpoint answered with status {head.status}"
            return _AttemptResult(_Outcome.UNKNOWN, detail)
        if head.status >= _FIRST_SERVER_ERROR:
            self._hold(0)
            self._keep_answer((forwarded, body.ok_value), start)
            detail = f"the endpoint answered with status {head.status}"
            return _AttemptResult(
                _Outcome.FAILED, detail, metadata.faulty_address
            )
        self._hold(len(body.ok_value) * _COPIES)
        await self._start_sending()
        self._submit(_events.AnswerReady(self.exchange_id))
        await self._exchange.answer(forwarded, body.ok_value)
        is_success = head.status < _FIRST_REDIRECT
        return _AttemptResult(_Outcome.ANSWERED, is_success=is_success)

    def _keep_answer(
        self, answer: _calls.Answer, start: _effects.StartAttempt
    ) -> None:
        """Keep an answer that the caller gets if no other attempt follows."""
        if self._held_account is not None:
            self._held_account.close()
        self._held_account = self._budget.open(
            memory.HolderKind.ANSWER,
            start.dispatch.address,
            self._evict_held_answer,
        )
        self._held_answer = answer
        self._held_account.hold(len(answer[1]))

    async def _forward_stream(
        self,
        connection: web.AnswerConnection,
        head: web.AnswerHead,
        start: _effects.StartAttempt,
    ) -> _AttemptResult:
        """Forward complete events to the caller, each once and in order."""
        splitter = _event_stream.EventSplitter()
        timer = web.PartTimer()
        has_event = False
        self.stalled_at = trio.current_time() + _NEXT_EVENT_TIMEOUT_SECONDS
        while True:
            data = await connection.read_data()
            if isinstance(data, result.Err):
                return _broken(data.err_value)
            if data.ok_value is None:
                break
            events = splitter.feed(data.ok_value)
            if splitter.buffered_bytes > _MAX_EVENT_BYTES:
                return _invalid(f"an event exceeds {_MAX_EVENT_BYTES} bytes")
            held_bytes = splitter.held_bytes
            problem = await self._forward_events(head, events, held_bytes)
            if held_bytes or self._is_holding:
                self._hold(held_bytes)
            if problem is not None:
                return _AttemptResult(_Outcome.UNKNOWN, problem)
            has_event = has_event or not all(
                event.is_comment for event in events
            )
            # Bytes that complete no event are no progress.
            time = trio.current_time()
            if any(event.has_content for event in events):
                timer.reset()
                self.stalled_at = time + _NEXT_EVENT_TIMEOUT_SECONDS
            elif timer.add_bytes(time):
                return _invalid("an event has no end")
        if splitter.has_incomplete_event or not self._exchange.has_started:
            return _AttemptResult(
                _Outcome.UNKNOWN,
                "the stream ended with an incomplete event or none",
            )
        if self._ends_with_connection(head) and not has_event:
            # Its engine may have stopped after the head.
            return _AttemptResult(_Outcome.UNKNOWN, _NO_LENGTH_AND_NO_EVENT)
        if await self._was_broken_off(connection, head, start):
            return _AttemptResult(_Outcome.UNKNOWN, _BROKEN_OFF)
        await self._start_sending()
        await self._exchange.finish()
        return _AttemptResult(_Outcome.ANSWERED)

    async def _was_broken_off(
        self,
        connection: web.AnswerConnection,
        head: web.AnswerHead,
        start: _effects.StartAttempt,
    ) -> bool:
        """Return whether an answer without a length was broken off.

        The connections of an engine that crashes are closed like those of one
        that has finished, but the former refuses a new one.
        """
        if not self._ends_with_connection(head):
            return False
        self.stalled_at = math.inf
        has_crashed = await _engine_calls.refuses_connections(
            start.dispatch, self._dialect, _ENGINE_TIMEOUT, self._budget
        )
        # A reset may have come meanwhile.
        return has_crashed or connection.was_reset()

    def _ends_with_connection(self, head: web.AnswerHead) -> bool:
        return head.ends_with_connection(self._request.message.method)

    async def _forward_events(
        self,
        head: web.AnswerHead,
        events: list[_event_stream.StreamEvent],
        held_bytes: int,
    ) -> str | None:
        """Forward events; return the problem that ends the attempt, if any.

        ``held_bytes`` are held beside them.
        """
        forwarded = bytearray()
        problem: str | None = None
        has_output = False
        position = self._position
        for event in events:
            problem = self._find_problem(event)
            if problem is not None:
                break
            if event.event_id is not None and position is not None:
                if event.event_id <= position:
                    continue
                if event.event_id != position + 1:
                    problem = (
                        f"event {event.event_id} follows event {position}"
                    )
                    break
            if event.event_id is not None:
                position = event.event_id
                has_output = True
            elif not has_output:
                has_output = not event.is_comment
            forwarded += event.data
            self._event_count += 1
        if forwarded:
            if len(forwarded) > _MIN_COUNTED_BYTES:
                self._hold(held_bytes + len(forwarded) * _COPIES)
            await self._start_sending()
            await self._start_answer(head)
            await self._exchange.send(bytes(forwarded))
            self._is_sending = False
            self._position = position
            if has_output:
                self._output_count += 1
                self._last_output_at = trio.current_time()
            self._report_sustained_output()
            if self._is_cancelled:
                self._cancel_attempt()
        return problem

    def _find_problem(self, event: _event_stream.StreamEvent) -> str | None:
        """Return why an event does not belong to the stream, if it does not.

        Where a stream goes on at another endpoint, its first event tells by
        its id that it does.
        """
        if not event.is_valid:
            return "the bytes between two blank lines are no event"
        if event.event_id is not None:
            self._has_numbered_event = True
        elif (
            self._stream_head is not None
            and not self._has_numbered_event
            and not event.is_comment
        ):
            return "an event without an id follows a stream that broke off"
        return None

    def _report_sustained_output(self) -> None:
        """Report once for each attempt that it has sent many events."""
        if self._event_count >= _SUSTAINED_EVENTS and not self._is_sustained:
            self._is_sustained = True
            self._submit(_events.OutputSustained(self.exchange_id))

    async def _start_answer(self, head: web.AnswerHead) -> None:
        if self._exchange.has_started:
            return
        forwarded = web.AnswerHead(
            head.status, web.end_to_end_headers(head.headers)
        )
        await self._exchange.start(forwarded)
        self._stream_head = head
        self._has_numbered_event = True
        self._submit(_events.OutputStarted(self.exchange_id))


def _is_of_same_kind(begun: web.AnswerHead, head: web.AnswerHead) -> bool:
    """Return whether an answer may continue a stream that has begun.

    Endpoints of different versions may name other parameters of the content
    type, or none.
    """
    types = {_media_type(begun), _media_type(head)} - {None}
    return begun.status == head.status and len(types) < 2


def _media_type(head: web.AnswerHead) -> bytes | None:
    content_type = head.find_header(b"content-type")
    if content_type is None:
        return None
    return content_type.partition(b";")[0].strip().lower()


def _broken(failure: web.AnswerBroken) -> _AttemptResult:
    return _AttemptResult(
        _Outcome.UNKNOWN,
        failure.detail(),
        is_invalid_answer=failure.is_invalid,
    )


def _invalid(detail: str) -> _AttemptResult:
    return _AttemptResult(_Outcome.UNKNOWN, detail, is_invalid_answer=True)


def _has_lost_forwarder(connection: web.AnswerConnection) -> bool:
    return (
        isinstance(connection, forwarding.ForwardedConnection)
        and connection.is_lost
    )
