"""HTTP answers built by sedgepin itself, and its requests to engines."""

import datetime
import math
import re

import msgspec
import result

from sedgepin import _catalog as catalog
from sedgepin import _web as web
from sedgepin import errors
from sedgepin.platform import _endpoints

_JSON_HEADER = (b"Content-Type", b"application/json")
# Statuses of an engine that turns a request away, and may say for how long.
_TURNED_AWAY_STATUSES = (429, 503)
# A longer pause outlasts any engine.
_MAX_PAUSE_SECONDS = 30 * 86_400.0
_MAX_LOGGED_CHARACTERS = 60
_DECIMAL_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)


def error_response(
    failure: errors.Failure, request_id: str | None = None
) -> tuple[web.AnswerHead, bytes]:
    """Return the answer that reports a failure."""
    headers = [_JSON_HEADER]
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
    """Return an answer with an encoded JSON document as its body."""
    return web.AnswerHead(status, (_JSON_HEADER,)), body


def report_request(address: str) -> web.Request:
    """Return the request for the report of the engine at an address."""
    headers = ((b"Host", address.encode("ascii")),)
    return web.Request(b"GET", b"/v1/report", headers)


def order_request(
    address: str, body: dict[str, object], endpoint_id: str | None = None
) -> web.Request:
    """Return the request that sends an order to an engine.

    With ``endpoint_id``, an engine that has another id rejects the order.
    """
    headers = [(b"Host", address.encode("ascii")), _JSON_HEADER]
    if endpoint_id is not None:
        expected = endpoint_id.encode("latin-1")
        headers.append((b"X-Expect-Instance", expected))
    encoded = msgspec.json.encode(body)
    return web.Request(b"POST", b"/v1/order", tuple(headers), encoded)


def parse_notice(head: web.AnswerHead) -> catalog.EndpointNotice:
    """Parse what an engine says of itself in the head of any answer."""
    pause, malformed_pause = _parse_pause(head)
    request_limit, malformed_request_limit = _parse_request_limit(head)
    return catalog.EndpointNotice(
        (head.find_header(b"server-leaving") or b"").strip() == b"1",
        pause,
        malformed_pause,
        request_limit,
        malformed_request_limit,
    )


def _parse_pause(
    head: web.AnswerHead,
) -> tuple[datetime.timedelta | None, str | None]:
    """Return how long an engine wants no requests, or the malformed text."""
    retry_after = head.find_header(b"retry-after")
    if retry_after is None or head.status not in _TURNED_AWAY_STATUSES:
        return None, None
    text = retry_after.decode("latin-1").strip()
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if math.isnan(seconds) or seconds < 0:
        return None, text[:_MAX_LOGGED_CHARACTERS]
    pause = datetime.timedelta(seconds=min(seconds, _MAX_PAUSE_SECONDS))
    return pause, None


def _parse_request_limit(
    head: web.AnswerHead,
) -> tuple[float | None, str | None]:
    """Return the requests a second that an engine takes, or malformed text."""
    values = [
        value.decode("latin-1").strip()
        for name, value in head.headers
        if name.lower() == b"server-limit"
    ]
    if not values:
        return None, None
    text = ", ".join(values)
    if _DECIMAL_NUMBER.fullmatch(text) is None:
        return None, text[:_MAX_LOGGED_CHARACTERS]
    return float(text), None


def parse_report(
    head: web.AnswerHead, body: bytes
) -> result.Result[_endpoints.Report, errors.Failure]:
    """Parse an engine's answer to a report request.

    Any status but 200 is a failure.
    """
    if head.status != 200:
        fault = errors.FieldFault("status", f"is {head.status}, expected 200")
        return result.Err(errors.DocumentRefused("report", (fault,)))
    return _endpoints.parse_report(body)
