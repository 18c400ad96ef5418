"""The client for endpoints that another entry VM connects to."""

import functools

import msgspec
import result
import trio

from sedgepin._entry import _answer_holder
from sedgepin._entry import _answer_limits
from sedgepin._entry import _effects
from sedgepin._entry import _endpoint_headers
from sedgepin._entry import _engine_messages
from sedgepin._entry import _events
from sedgepin._entry import _failures
from sedgepin._entry import _paths
from sedgepin._entry import _unframed_answers
from sedgepin import _forwarding as forwarding
from sedgepin import _http as http
from sedgepin import _memory as memory
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _web as web
from sedgepin import errors

# A forwarder gives the endpoint 0.25 s to accept the connection.
_OPEN_TIMEOUT_SECONDS = 0.5

_Answered = result.Result[tuple[web.AnswerHead, bytes], web.AnswerBroken]
_Opened = result.Result[
    forwarding.ForwardedConnection, forwarding.ForwardFailed
]


class ForwardedClient:
    """Sends attempts, calls and probes through forwarders.

    Cancelling a method closes the connection, upon which the forwarder ends
    the work at the endpoint.  ``budget`` bounds what is held of all answers
    together.
    """

    __slots__ = ("_answer_limit_bytes", "_budget")

    def __init__(
        self,
        answer_limit_bytes: int,
        budget: memory.MemoryBudget | None = None,
    ) -> None:
        self._answer_limit_bytes = answer_limit_bytes
        self._budget = budget

    async def run_stream(
        self,
        effect: _effects.StartStream,
        forwarder: protocol.Forwarder,
        emit: _engine_messages.Emit,
    ) -> None:
        """Run an attempt, and emit its pieces and its end or failure."""
        first = effect.pipeline.stages[0]
        identity = (effect.request_id, effect.attempt, first.endpoint_id)
        opened = await _open(
            forwarder, first.endpoint_id, first.address, effect.request_id
        )
        if isinstance(opened, result.Err):
            failure = _failures.EndpointFailed(opened.err_value.detail())
            link_failure = _link_failure(opened.err_value)
            emit(_events.StreamFailed(*identity, failure, False, link_failure))
            return
        conn = opened.ok_value
        ended: errors.Failure | None = _broken(
            _answer_holder.given_up().detail()
        )
        try:
            with _answer_holder.open_holder(
                self._budget, first.endpoint_id
            ) as holder:
                ended = await _run_attempt(
                    conn, effect, holder, self._answer_limit_bytes, emit
                )
        finally:
            conn.close()
        if isinstance(ended, errors.Failure):
            # An engine that refuses an attempt has not run it.
            crashed = isinstance(ended, web.AnswerBroken)
            if crashed:
                ended = _failures.EndpointFailed(ended.detail())
            emit(_events.StreamFailed(*identity, ended, crashed))

    async def probe(
        self,
        effect: _effects.ProbeStages,
        forwarder: protocol.Forwarder,
        emit: _engine_messages.Emit,
    ) -> None:
        """Request an attempt's state from all stages concurrently."""
        reports: dict[model.EndpointId, _events.StageReport] = {}

        async def probe_stage(stage: model.Stage) -> None:
            endpoint_id = stage.endpoint_id
            reports[endpoint_id] = _events.StageReport(endpoint_id, None)
            with trio.move_on_after(effect.timeout.total_seconds()):
                reports[endpoint_id] = await _probe(effect, stage, forwarder)

        async with trio.open_nursery() as nursery:
            for stage in effect.stages:
                nursery.start_soon(probe_stage, stage)
        ordered = tuple(reports[stage.endpoint_id] for stage in effect.stages)
        emit(
            _events.ProbeAnswered(
                effect.request_id, effect.attempt, effect.probe, ordered
            )
        )

    async def call_service(
        self,
        effect: _effects.CallService,
        forwarder: protocol.Forwarder,
        emit: _engine_messages.Emit,
    ) -> None:
        """Send a call to a plain service once, and emit its result."""
        identity = (effect.request.request_id, effect.attempt)
        with trio.move_on_after(effect.timeout.total_seconds()):
            event = await self._call(effect, forwarder)
            emit(event)
            return
        too_slow = _failures.EndpointTooSlow()
        emit(_events.ServiceFailed(*identity, too_slow, True))

    async def _call(
        self, effect: _effects.CallService, forwarder: protocol.Forwarder
    ) -> _events.ServiceAnswered | _events.ServiceFailed:
        request = effect.request
        identity = (request.request_id, effect.attempt)
        opened = await _open(
            forwarder, effect.endpoint_id, effect.address, request.request_id
        )
        if isinstance(opened, result.Err):
            return _events.ServiceFailed(
                *identity,
                _failures.EndpointUnreachable(),
                False,
                _link_failure(opened.err_value),
            )
        message = web.Request(
            request.method.encode("ascii"),
            request.path.encode("ascii"),
            _headers(effect),
            request.body,
        )
        conn = opened.ok_value
        answered: _Answered = result.Err(
            _broken(_answer_holder.given_up().detail())
        )
        try:
            with _answer_holder.open_holder(
                self._budget, effect.endpoint_id
            ) as holder:
                answered = await _exchange(
                    conn, message, self._answer_limit_bytes, holder
                )
        finally:
            conn.close()
        if isinstance(answered, result.Err):
            failed = _failures.EndpointFailed(answered.err_value.detail())
            return _events.ServiceFailed(*identity, failed, True)
        head, body = answered.ok_value
        if head.ends_with_connection(message.method) and (
            await _unframed_answers.has_ended(
                functools.partial(_refuses_connection, effect, forwarder)
            )
        ):
            failed = _failures.EndpointFailed(_unframed_answers.ENDED_BY_CRASH)
            return _events.ServiceFailed(*identity, failed, True)
        headers = _endpoint_headers.answer_headers(head.headers)
        return _events.ServiceAnswered(*identity, head.status, headers, body)


async def _open(
    forwarder: protocol.Forwarder,
    endpoint_id: model.EndpointId,
    address: str,
    request_id: str,
) -> _Opened:
    return await forwarding.ForwardedConnection.open(
        forwarder,
        endpoint_id,
        None,
        _paths.forwarded_address(address) or address,
        _OPEN_TIMEOUT_SECONDS,
        request_id,
    )


async def _refuses_connection(
    effect: _effects.CallService, forwarder: protocol.Forwarder
) -> bool:
    """Return whether an endpoint refuses a connection of the forwarder."""
    opened = await _open(
        forwarder,
        effect.endpoint_id,
        effect.address,
        effect.request.request_id,
    )
    if isinstance(opened, result.Err):
        return opened.err_value.is_refused
    opened.ok_value.close()
    return False


async def _run_attempt(
    conn: forwarding.ForwardedConnection,
    effect: _effects.StartStream,
    holder: _answer_holder.AnswerHolder,
    limit_bytes: int,
    emit: _engine_messages.Emit,
) -> errors.Failure | None:
    """Pass a stream's events on; return why it ended, if not at its end."""
    body = msgspec.json.encode(_engine_messages.pipeline_run(effect))
    host = _host(effect.pipeline.stages[0].address)
    headers = ((b"host", host), (b"content-type", b"application/json"))
    sent = await conn.send(
        web.Request(b"POST", b"/v1/pipeline", headers, body)
    )
    if isinstance(sent, result.Err):
        return sent.err_value
    head = await conn.read_head()
    if isinstance(head, result.Err):
        return head.err_value
    if head.ok_value.status != 200:
        return _engine_messages.refusal(head.ok_value.status)
    reader = _engine_messages.LineReader(effect, emit, holder, limit_bytes)
    while not reader.is_complete:
        data = await conn.read_data()
        if isinstance(data, result.Err):
            return data.err_value
        if data.ok_value is None:
            return _broken("the stream ended without an end marker")
        try:
            await reader.feed(data.ok_value)
        except msgspec.DecodeError as exc:
            return _broken(f"cannot decode a line of the stream: {exc}")
    return None


async def _probe(
    effect: _effects.ProbeStages,
    stage: model.Stage,
    forwarder: protocol.Forwarder,
) -> _events.StageReport:
    endpoint_id = stage.endpoint_id
    opened = await _open(
        forwarder, endpoint_id, stage.address, effect.request_id
    )
    if isinstance(opened, result.Err):
        return _events.StageReport(
            endpoint_id, None, link_failure=_link_failure(opened.err_value)
        )
    conn = opened.ok_value
    target = f"/v1/attempts/{effect.request_id}/{effect.attempt}"
    headers = ((b"host", _host(stage.address)),)
    message = web.Request(b"GET", target.encode("ascii"), headers)
    try:
        answered = await _exchange(
            conn,
            message,
            _engine_messages.MAX_STATE_BYTES,
            _answer_holder.AnswerHolder(),
        )
    finally:
        conn.close()
    if isinstance(answered, result.Ok):
        body = answered.ok_value[1]
        return _engine_messages.stage_report(endpoint_id, body)
    # The forwarder may have died rather than the stage.
    lost = _events.LinkFailure.FORWARDER if conn.is_lost else None
    return _events.StageReport(endpoint_id, None, link_failure=lost)


async def _exchange(
    conn: forwarding.ForwardedConnection,
    message: web.Request,
    limit_bytes: int,
    holder: _answer_holder.AnswerHolder,
) -> _Answered:
    sent = await conn.send(message)
    if isinstance(sent, result.Err):
        return sent
    head = await conn.read_head()
    if isinstance(head, result.Err):
        return head
    body = _answer_limits.BodyCollector(limit_bytes, holder)
    while True:
        data = await conn.read_data()
        if isinstance(data, result.Err):
            return data
        if data.ok_value is None:
            return result.Ok((head.ok_value, body.join()))
        if not await body.add_piece(data.ok_value):
            return result.Err(
                _broken(
                    f"the answer is longer than {limit_bytes} bytes or in "
                    "too many pieces"
                )
            )


def _broken(reason: str) -> web.AnswerBroken:
    return web.AnswerBroken("through a forwarder", reason)


def _headers(effect: _effects.CallService) -> web.Headers:
    fields: list[http.HeaderField] = list(effect.request.headers)
    host = (b"host", _host(effect.address))
    return (host, *_endpoint_headers.end_to_end_headers(fields))


def _host(address: str) -> bytes:
    return (_paths.forwarded_address(address) or address).encode("ascii")


def _link_failure(failure: forwarding.ForwardFailed) -> _events.LinkFailure:
    if failure.is_unknown:
        return _events.LinkFailure.UNKNOWN
    if failure.is_beyond and failure.is_sound is None:
        return _events.LinkFailure.BEYOND
    if failure.is_beyond:
        return (
            _events.LinkFailure.ENDPOINT
            if failure.is_sound
            else _events.LinkFailure.UNPROVEN
        )
    return _events.LinkFailure.FORWARDER
