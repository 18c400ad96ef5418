"""HTTP messages that entry VMs exchange with callers and engines."""

import datetime
import hashlib

import msgspec
import result

from sedgepin import _gateway as gateway
from sedgepin import _model as model
from sedgepin import _web as web
from sedgepin import errors
from sedgepin.platform import _answers

# Headers of a caller that are not forwarded: the router consumes them,
# reserves them for itself or sets them again for each engine.
_ROUTER_HEADERS = frozenset(
    (
        b"authorization",
        b"last-event-id",
        b"x-deadline-ms",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-hop-count",
        b"x-request-priority",
        b"x-tenant",
    )
)
_AUTHORIZATION_SCHEME = "token "
_ACCEPTED_STATUSES = (200, 202)
# No engine holds more tokens or requests.
_MAX_COUNT = 2**31 - 1
# The sum of an instant and a much longer time may exceed ``datetime``.
_MAX_TIME_LEFT = datetime.timedelta(days=366)
# The engine at the address is not the one in X-Expect-Instance.
_MISDIRECTED_STATUS = 421
# Bounds for what is kept of X-Prompt-Prefix, which callers may fill as they
# like.
_MAX_SHARED_PARTS = 64
_MAX_PART_ID_CHARACTERS = 32


class _RerouteRefusal(msgspec.Struct, frozen=True):
    # Address of the engine that refused.
    address: str = ""


class GatewayDialect(gateway.GatewayDialect):
    """Converts HTTP messages of callers and engines to requests and back."""

    __slots__ = ()

    def parse_request(
        self, message: web.Request
    ) -> result.Result[gateway.CallerRequest, errors.Failure]:
        """Parse a caller's request, or return why it is malformed."""
        headers = {
            name.lower(): value.decode("latin-1")
            for name, value in message.headers
        }
        request_id = headers.get(b"x-request-id")
        if not request_id:
            return result.Err(
                gateway.RequestRefused(
                    "header X-Request-Id is missing or empty"
                )
            )
        path = message.target.decode("latin-1").partition("?")[0]
        host = headers.get(b"host", "").lower().partition(":")[0]
        prompt_parts = headers.get(b"x-prompt-prefix", "")
        try:
            return result.Ok(
                gateway.CallerRequest(
                    request_id=request_id,
                    host=host,
                    path=path,
                    message=message,
                    time_left=_parse_time_left(headers.get(b"x-deadline-ms")),
                    api_key=_parse_api_key(headers.get(b"authorization", "")),
                    usage=_parse_usage(headers),
                    resume_after=_parse_int(headers.get(b"last-event-id")),
                    shared_parts=_parse_shared_parts(prompt_parts),
                    prompt_digest=_digest(prompt_parts),
                )
            )
        except (OverflowError, ValueError) as exc:
            return result.Err(gateway.RequestRefused(str(exc)))

    def endpoint_request(
        self, request: gateway.CallerRequest, dispatch: gateway.Dispatch
    ) -> web.Request:
        """Return the request to send to the endpoint of ``dispatch``."""
        message = request.message
        headers = [
            (name, value)
            for name, value in web.end_to_end_headers(message.headers)
            if name.lower() not in _ROUTER_HEADERS
        ]
        expected = dispatch.endpoint_id.encode("latin-1")
        headers.append((b"X-Expect-Instance", expected))
        if dispatch.time_left is not None:
            milliseconds_left = int(dispatch.time_left.total_seconds() * 1000)
            headers.append(
                (b"X-Deadline-Ms", b"%d" % max(1, milliseconds_left))
            )
        if dispatch.customer is not None:
            tenant = web.encode_field_value(dispatch.customer)
            headers.append((b"X-Tenant", tenant))
        if dispatch.resume_after is not None:
            last_event_id = b"%d" % dispatch.resume_after
            headers.append((b"Last-Event-Id", last_event_id))
        if dispatch.pipeline is not None:
            pipeline = _encode_pipeline(dispatch.pipeline).encode("ascii")
            headers.append((b"X-Hop-Count", pipeline))
        return web.Request(
            message.method, message.target, tuple(headers), message.body
        )

    def parse_answer(self, head: web.AnswerHead) -> gateway.AnswerMetadata:
        """Parse the metadata in the head of an engine's answer."""
        request_id = head.find_header(b"x-request-id")
        faulty_address = head.find_header(b"at-server")
        running, waiting, slots = _parse_load(
            head.find_header(b"x-instance-load")
        )
        not_executed = head.find_header(b"x-not-executed")
        return gateway.AnswerMetadata(
            request_id=_decode_latin_1(request_id),
            is_signed=head.find_header(b"x-response-seal") is not None,
            is_not_run=not_executed is not None
            or head.status == _MISDIRECTED_STATUS,
            faulty_address=_decode_latin_1(faulty_address),
            running=running,
            waiting=waiting,
            slots=slots,
            notice=_answers.parse_notice(head),
        )

    def error_response(
        self, request_id: str | None, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        """Return the answer that reports a failure to a caller."""
        return _answers.error_response(failure, request_id)

    def report_request(self, address: str) -> web.Request:
        """Return the request for the report of the engine at an address."""
        return _answers.report_request(address)

    def parse_stall_report(
        self, head: web.AnswerHead, body: bytes
    ) -> result.Result[gateway.StallReport, errors.Failure]:
        """Parse the stalled requests out of an engine's report."""
        parsed = _answers.parse_report(head, body)
        if isinstance(parsed, result.Err):
            return parsed
        report = parsed.ok_value
        stalls = tuple(
            gateway.Stall(stalled.id, stalled.address)
            for stalled in report.stalled
        )
        return result.Ok(gateway.StallReport(stalls, report.pace))

    def reroute_request(
        self, request_id: str, pipeline: model.Pipeline
    ) -> web.Request:
        """Return the order to continue a request on another pipeline.

        It goes to the engine of the first stage.
        """
        first = pipeline.stages[0]
        body: dict[str, object] = {
            "op": "repath",
            "id": request_id,
            "path": _encode_pipeline(pipeline),
        }
        return _answers.order_request(first.address, body, first.endpoint_id)

    def parse_reroute_answer(
        self, head: web.AnswerHead, body: bytes
    ) -> result.Result[None, str]:
        """Return success, or the address of the engine that refused.

        The address is empty if the answer names none.
        """
        if head.status in _ACCEPTED_STATUSES:
            return result.Ok(None)
        try:
            refusal = msgspec.json.decode(body, type=_RerouteRefusal)
        except (msgspec.MsgspecError, RecursionError):
            # The body names no engine, so the refusal is attributed to none.
            return result.Err("")
        return result.Err(refusal.address)


def _encode_pipeline(pipeline: model.Pipeline) -> str:
    return ",".join(
        f"{stage.address}={stage.layers.first}-{stage.layers.end}"
        for stage in pipeline.stages
    )


def _decode_latin_1(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _parse_int(value: str | None) -> int | None:
    return None if value is None else int(value)


def _parse_time_left(value: str | None) -> datetime.timedelta | None:
    if value is None:
        return None
    return min(datetime.timedelta(milliseconds=float(value)), _MAX_TIME_LEFT)


def _parse_api_key(authorization: str) -> str | None:
    if not authorization.lower().startswith(_AUTHORIZATION_SCHEME):
        return None
    return authorization[len(_AUTHORIZATION_SCHEME) :].strip()


def _parse_usage(headers: dict[bytes, str]) -> gateway.TokenUsage | None:
    value = headers.get(b"x-token-usage")
    if value is None:
        return None
    prompt_tokens, _, max_answer_tokens = value.partition(",")
    expected_answer_tokens: int | None = None
    hint = headers.get(b"x-length-hint")
    if hint is not None:
        expected_answer_tokens = _parse_count(hint)
    return gateway.TokenUsage(
        _parse_count(prompt_tokens),
        _parse_count(max_answer_tokens),
        expected_answer_tokens,
    )


def _parse_count(value: str) -> int:
    count = int(value)
    if not 0 <= count <= _MAX_COUNT:
        raise ValueError(f"{value[:20]} is not between 0 and {_MAX_COUNT}")
    return count


def _parse_shared_parts(value: str) -> tuple[str, ...]:
    """Return the ids of the parts but the last, which no other request has.

    Entries without an id are left out.  Of a long list, the parts from both
    ends are returned, and a long id is replaced by its digest.
    """
    entries = value.split(",")[:-1]
    if len(entries) > _MAX_SHARED_PARTS:
        half = _MAX_SHARED_PARTS // 2
        entries = entries[:half] + entries[-half:]
    ids = (entry.partition(":")[0].strip() for entry in entries)
    return tuple(
        dict.fromkeys(_shorten(part_id) for part_id in ids if part_id)
    )


def _shorten(part_id: str) -> str:
    if len(part_id) <= _MAX_PART_ID_CHARACTERS:
        return part_id
    return _digest(part_id)


def _digest(text: str) -> str:
    if not text:
        return ""
    return hashlib.blake2b(text.encode("latin-1"), digest_size=12).hexdigest()


def _parse_load(
    value: bytes | None,
) -> tuple[int | None, int | None, int | None]:
    """Parse the counts of running requests, waiting requests and slots.

    All three are None if the header is missing or malformed.
    """
    try:
        running, waiting, slots = (
            _parse_count(part)
            for part in (value or b"").decode("latin-1").split(",")
        )
    except ValueError:
        return None, None, None
    return running, waiting, slots
