"""Answers that sedgepin gives by itself, and calls to engines."""

import msgspec
import result

from sedgepin import _web as web
from sedgepin import errors
from sedgepin.platform import _endpoints

_JSON = (b"Content-Type", b"application/json")


def error_response(
    failure: errors.Failure, request_id: str | None = None
) -> tuple[web.AnswerHead, bytes]:
    """Return the answer that tells a failure."""
    headers = [_JSON]
    if request_id is not None:
        headers.append((b"X-Request-Id", request_id.encode("latin-1")))
    retry_after = failure.retry_after
    if retry_after is not None:
        seconds = f"{retry_after.total_seconds():.2f}"
        headers.append((b"Retry-After", seconds.encode("ascii")))
    body = msgspec.json.encode(
        {"error": failure.code, "detail": failure.detail()}
    )
    return web.AnswerHead(failure.http_status, tuple(headers)), body


def json_answer(
    body: bytes, status: int = 200
) -> tuple[web.AnswerHead, bytes]:
    """Return an answer that holds a JSON document."""
    return web.AnswerHead(status, (_JSON,)), body


def report_request(address: str) -> web.Request:
    """Return the request for an engine's report."""
    headers = ((b"Host", address.encode("ascii")),)
    return web.Request(b"GET", b"/v1/report", headers)


def order_request(
    address: str, body: dict[str, object], endpoint_id: str | None = None
) -> web.Request:
    """Return the request that gives an engine an order."""
    headers = [(b"Host", address.encode("ascii")), _JSON]
    if endpoint_id is not None:
        expected = endpoint_id.encode("latin-1")
        headers.append((b"X-Expect-Instance", expected))
    encoded = msgspec.json.encode(body)
    return web.Request(b"POST", b"/v1/order", tuple(headers), encoded)


def parse_report(
    head: web.AnswerHead, body: bytes
) -> result.Result[_endpoints.Report, errors.Failure]:
    """Return an engine's report, if this is one."""
    if head.status != 200:
        fault = errors.FieldFault("status", f"is {head.status}")
        return result.Err(errors.DocumentRefused("report", (fault,)))
    return _endpoints.parse_report(body)
