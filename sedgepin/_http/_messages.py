"""Requests, answers and problem documents (RFC 9457) over ASGI."""

import collections.abc
import dataclasses
import hashlib
import math
import typing

import msgspec
import result
import trio

from sedgepin._http import _failures
from sedgepin._http import _holder
from sedgepin import _memory as memory
from sedgepin import _work as work
from sedgepin import errors

Scope: typing.TypeAlias = collections.abc.MutableMapping[str, typing.Any]
Receive: typing.TypeAlias = collections.abc.Callable[
    [], collections.abc.Awaitable[typing.Any]
]
Send: typing.TypeAlias = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[None]
]

_BEARER_PREFIX = b"bearer "
# The whole body has to arrive in this time, and that of its bytes at the
# lowest rate.
_BODY_SECONDS = 5.0
_LOWEST_BYTES_PER_SECOND = 16_384


@dataclasses.dataclass(slots=True, frozen=True)
class HeaderField:
    """An HTTP header field with a lower-case name."""

    name: bytes
    value: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """The head of an HTTP request and the ASGI functions to serve it.

    ``host`` is the address that it came from, without the port.
    """

    method: str
    path: str
    query: str
    headers: tuple[HeaderField, ...]
    receive: Receive
    send: Send
    host: str
    holder: _holder.RequestHolder

    @classmethod
    def from_scope(
        cls,
        scope: Scope,
        receive: Receive,
        send: Send,
        holder: _holder.RequestHolder,
    ) -> "Request":
        """Create a request from an ASGI HTTP scope."""
        headers = tuple(
            HeaderField(bytes(name).lower(), bytes(value))
            for name, value in scope["headers"]
        )
        query = bytes(scope.get("query_string", b"")).decode("latin-1")
        client = scope.get("client")
        return cls(
            scope["method"],
            scope["path"],
            query,
            headers,
            receive,
            send,
            "" if client is None else client[0],
            holder,
        )

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first field called ``name`` (lower case)."""
        for field in self.headers:
            if field.name == name:
                return field.value
        return None


async def read_body(
    request: Request, limit_bytes: int, sender: str
) -> result.Result[
    bytes,
    _failures.BodyTooLarge
    | _failures.BodyTooSlow
    | _failures.CallerGone
    | memory.MemoryExhausted
    | work.MessageTooFragmented
    | work.WorkExhausted,
]:
    """Return the whole body of a request from ``sender``.

    A body over ``limit_bytes`` is refused before it is read if the request
    has a ``Content-Length``, otherwise as soon as the limit is exceeded.  One
    that falls behind 16 KiB a second is refused after 5 s.  The body counts
    as held until the request is answered.  One in too many small pieces is
    refused, and so is the costliest when many such bodies arrive at once.
    """
    declared = request.header(b"content-length")
    if declared is not None and declared.isdigit():
        if int(declared) > limit_bytes:
            return result.Err(_failures.BodyTooLarge(limit_bytes))
    body = bytearray()
    load = work.new_load()
    holder = request.holder
    holder.open(sender)
    started = trio.current_time()
    with (
        trio.CancelScope(deadline=started + _BODY_SECONDS) as scope,
        holder.ends(scope),
    ):
        while True:
            event = await request.receive()
            if event["type"] == "http.disconnect":
                return result.Err(_failures.CallerGone())
            received = event.get("body", b"")
            body += received
            load.add(1, len(received))
            if load.is_too_fragmented:
                return result.Err(work.MessageTooFragmented())
            if len(body) > limit_bytes:
                return result.Err(_failures.BodyTooLarge(limit_bytes))
            holder.hold(len(body))
            if holder.is_ended:
                break
            if not event.get("more_body", False):
                return result.Ok(bytes(body))
            allowed = _BODY_SECONDS + len(body) / _LOWEST_BYTES_PER_SECOND
            # The wait for a turn is not the caller's time.
            turn_began = trio.current_time()
            scope.deadline = math.inf
            if load.is_costly:
                try:
                    await work.pass_turn(load)
                except work.WorkEnded:
                    return result.Err(work.WorkExhausted())
            started += trio.current_time() - turn_began
            scope.deadline = started + allowed
    if holder.is_ended:
        return result.Err(memory.MemoryExhausted())
    return result.Err(
        _failures.BodyTooSlow(len(body), scope.deadline - started)
    )


def bearer_digest(request: Request) -> str | None:
    """Return the hexadecimal SHA-256 of the bearer credential, if any."""
    value = request.header(b"authorization")
    if value is None or value[: len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX:
        return None
    return hashlib.sha256(value[len(_BEARER_PREFIX) :].strip()).hexdigest()


def problem_document(
    failure: errors.Failure, request_id: str | None = None
) -> bytes:
    """Return the problem document for ``failure`` as JSON."""
    document: dict[str, object] = {
        "type": f"urn:sedgepin:{failure.code}",
        "code": failure.code,
        "title": failure.title,
        "status": failure.http_status,
        "detail": failure.detail(),
        "outcome": failure.outcome.value,
    }
    if isinstance(failure, errors.DocumentRefused):
        document["faults"] = [
            {"field": fault.field, "problem": fault.problem}
            for fault in failure.faults
        ]
    if failure.retry_after is not None:
        seconds = failure.retry_after.total_seconds()
        document["retry_after_seconds"] = seconds
    if request_id is not None:
        document["request"] = request_id
    return msgspec.json.encode(document)


async def send_response(
    request: Request,
    status: int,
    headers: collections.abc.Iterable[HeaderField],
    body: bytes,
) -> None:
    """Send a complete answer."""
    pairs = [(field.name, field.value) for field in headers]
    pairs.append((b"content-length", str(len(body)).encode()))
    start = {
        "type": "http.response.start",
        "status": status,
        "headers": pairs,
    }
    await request.send(start)
    await request.send({"type": "http.response.body", "body": body})


async def send_document(
    request: Request, document: object, status: int = 200
) -> None:
    """Send an answer whose body is ``document`` as JSON."""
    headers = (HeaderField(b"content-type", b"application/json"),)
    body = msgspec.json.encode(document)
    await send_response(request, status, headers, body)


async def send_problem(
    request: Request,
    failure: errors.Failure,
    request_id: str | None = None,
) -> None:
    """Send ``failure`` as a problem document.

    If the failure has a retry delay, ``Retry-After`` carries it, rounded up
    to whole seconds.
    """
    headers = [HeaderField(b"content-type", b"application/problem+json")]
    if failure.retry_after is not None:
        seconds = math.ceil(failure.retry_after.total_seconds())
        value = str(max(seconds, 1)).encode()
        headers.append(HeaderField(b"retry-after", value))
    if isinstance(failure, _failures.CredentialRefused):
        headers.append(HeaderField(b"www-authenticate", b"Bearer"))
    body = problem_document(failure, request_id)
    await send_response(request, failure.http_status, headers, body)
