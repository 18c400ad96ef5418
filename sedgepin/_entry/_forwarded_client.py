"""The client for endpoints that another entry VM connects to."""

import result
import trio

from sedgepin._entry import _effects
from sedgepin._entry import _endpoint_client
from sedgepin._entry import _endpoint_headers
from sedgepin._entry import _events
from sedgepin._entry import _failures
from sedgepin._entry import _paths
from sedgepin import _forwarding as forwarding
from sedgepin import _http as http
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _web as web

# A forwarder gives the endpoint 0.25 s to accept the connection.
_OPEN_TIMEOUT_SECONDS = 0.5

_Opened = result.Result[
    forwarding.ForwardedConnection, forwarding.ForwardFailed
]


class ForwardedClient:
    """Sends calls through the forwarders of their effects.

    Cancelling a method closes the connection, upon which the forwarder ends
    the work at the endpoint.
    """

    __slots__ = ("_answer_limit_bytes",)

    def __init__(self, answer_limit_bytes: int) -> None:
        self._answer_limit_bytes = answer_limit_bytes

    async def call_service(
        self,
        effect: _effects.CallService,
        forwarder: protocol.Forwarder,
        emit: _endpoint_client.Emit,
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
        try:
            answered = await _exchange(conn, message, self._answer_limit_bytes)
        finally:
            conn.close()
        if isinstance(answered, result.Err):
            failed = _failures.EndpointFailed(answered.err_value.detail())
            return _events.ServiceFailed(*identity, failed, True)
        head, body = answered.ok_value
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


async def _exchange(
    conn: forwarding.ForwardedConnection,
    message: web.Request,
    limit_bytes: int,
) -> result.Result[tuple[web.AnswerHead, bytes], web.AnswerBroken]:
    sent = await conn.send(message)
    if isinstance(sent, result.Err):
        return sent
    head = await conn.read_head()
    if isinstance(head, result.Err):
        return head
    body = await conn.read_body(limit_bytes)
    return body.map(lambda data: (head.ok_value, data))


def _headers(effect: _effects.CallService) -> web.Headers:
    fields: list[http.HeaderField] = list(effect.request.headers)
    host = (b"host", _host(effect.address))
    return (host, *_endpoint_headers.end_to_end_headers(fields))


def _host(address: str) -> bytes:
    return (_paths.forwarded_address(address) or address).encode("ascii")


def _link_failure(failure: forwarding.ForwardFailed) -> _events.LinkFailure:
    if failure.is_beyond:
        return _events.LinkFailure.BEYOND
    return _events.LinkFailure.FORWARDER
