"""Callers' requests, engines' answers and the headers that mark them."""

import datetime

import msgspec
import result

from sedgepin import _gateway as gateway
from sedgepin import _model as model
from sedgepin import _web as web
from sedgepin import errors
from sedgepin.platform import _answers

# Fields that only the system sets, or that are made anew for each engine.
_SET_HERE = frozenset(
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
_KEY_SCHEME = "token "
_ACCEPTED = (200, 202)
_MISDIRECTED = 421


class _RerouteRefusal(msgspec.Struct, frozen=True):
    # Where the engine is that cannot take part.
    address: str = ""


class GatewayDialect(gateway.GatewayDialect):
    """What callers and engines of the platform say to entry VMs."""

    __slots__ = ()

    def parse_request(
        self, message: web.Request
    ) -> result.Result[gateway.CallerRequest, errors.Failure]:
        """Return what a caller asks for."""
        fields = {
            name.lower(): value.decode("latin-1")
            for name, value in message.headers
        }
        request_id = fields.get(b"x-request-id")
        if not request_id:
            return result.Err(gateway.RequestRefused("it has no id"))
        path = message.target.decode("latin-1").partition("?")[0]
        host = fields.get(b"host", "").lower().partition(":")[0]
        try:
            return result.Ok(
                gateway.CallerRequest(
                    request_id=request_id,
                    host=host,
                    path=path,
                    message=message,
                    time_left=_time_left(fields.get(b"x-deadline-ms")),
                    api_key=_api_key(fields.get(b"authorization", "")),
                    usage=_usage(fields),
                    resume_after=_number(fields.get(b"last-event-id")),
                )
            )
        except (OverflowError, ValueError) as exc:
            return result.Err(gateway.RequestRefused(str(exc)))

    def endpoint_request(
        self, request: gateway.CallerRequest, dispatch: gateway.Dispatch
    ) -> web.Request:
        """Return the request as an engine gets it."""
        message = request.message
        headers = [
            (name, value)
            for name, value in web.end_to_end_headers(message.headers)
            if name.lower() not in _SET_HERE
        ]
        expected = dispatch.endpoint_id.encode("latin-1")
        headers.append((b"X-Expect-Instance", expected))
        if dispatch.time_left is not None:
            left = int(dispatch.time_left.total_seconds() * 1000)
            headers.append((b"X-Deadline-Ms", b"%d" % max(1, left)))
        if dispatch.customer is not None:
            tenant = dispatch.customer.encode("latin-1")
            headers.append((b"X-Tenant", tenant))
        if dispatch.resume_after is not None:
            last = b"%d" % dispatch.resume_after
            headers.append((b"Last-Event-Id", last))
        if dispatch.pipeline is not None:
            path = _path(dispatch.pipeline).encode("ascii")
            headers.append((b"X-Hop-Count", path))
        return web.Request(
            message.method, message.target, tuple(headers), message.body
        )

    def parse_answer(self, head: web.AnswerHead) -> gateway.AnswerMetadata:
        """Return what the head of an engine's answer says."""
        request_id = head.find_header(b"x-request-id")
        faulty_address = head.find_header(b"at-server")
        running, waiting, slots = _load(head.find_header(b"x-instance-load"))
        not_executed = head.find_header(b"x-not-executed")
        return gateway.AnswerMetadata(
            request_id=_text(request_id),
            is_signed=head.find_header(b"x-response-seal") is not None,
            is_not_run=not_executed is not None or head.status == _MISDIRECTED,
            faulty_address=_text(faulty_address),
            running=running,
            waiting=waiting,
            slots=slots,
        )

    def error_response(
        self, request_id: str | None, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        """Return the answer that tells a caller of a failure."""
        return _answers.error_response(failure, request_id)

    def report_request(self, address: str) -> web.Request:
        """Return the request for an engine's report."""
        return _answers.report_request(address)

    def parse_stall_report(
        self, head: web.AnswerHead, body: bytes
    ) -> result.Result[gateway.StallReport, errors.Failure]:
        """Return what an engine's report says of stalled requests."""
        read = _answers.parse_report(head, body)
        if isinstance(read, result.Err):
            return read
        report = read.ok_value
        stalls = tuple(
            gateway.Stall(one.id, one.address) for one in report.stalled
        )
        return result.Ok(gateway.StallReport(stalls, report.pace))

    def reroute_request(
        self, request_id: str, pipeline: model.Pipeline
    ) -> web.Request:
        """Return the order to go on with a request on another pipeline."""
        first = pipeline.stages[0]
        body: dict[str, object] = {
            "op": "repath",
            "id": request_id,
            "path": _path(pipeline),
        }
        return _answers.order_request(first.address, body, first.endpoint_id)

    def parse_reroute_answer(
        self, head: web.AnswerHead, body: bytes
    ) -> result.Result[None, str]:
        """Return whether the order holds, or the address of who refused."""
        if head.status in _ACCEPTED:
            return result.Ok(None)
        try:
            found = msgspec.json.decode(body, type=_RerouteRefusal)
        except msgspec.MsgspecError:
            # Without an address nobody in particular is to blame.
            return result.Err("")
        return result.Err(found.address)


def _path(pipeline: model.Pipeline) -> str:
    return ",".join(
        f"{one.address}={one.layers.first}-{one.layers.end}"
        for one in pipeline.stages
    )


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _number(value: str | None) -> int | None:
    return None if value is None else int(value)


def _time_left(value: str | None) -> datetime.timedelta | None:
    if value is None:
        return None
    return datetime.timedelta(milliseconds=float(value))


def _api_key(authorization: str) -> str | None:
    if not authorization.lower().startswith(_KEY_SCHEME):
        return None
    return authorization[len(_KEY_SCHEME) :].strip()


def _usage(fields: dict[bytes, str]) -> gateway.TokenUsage | None:
    value = fields.get(b"x-token-usage")
    if value is None:
        return None
    prompt, _, limit = value.partition(",")
    hint = _number(fields.get(b"x-length-hint"))
    return gateway.TokenUsage(int(prompt), int(limit), hint)


def _load(value: bytes | None) -> tuple[int | None, int | None, int | None]:
    """Return running and waiting requests and slots, where they are told."""
    parts = (value or b"").split(b",")
    if len(parts) != 3 or not all(one.strip().isdigit() for one in parts):
        return None, None, None
    running, waiting, slots = (int(one) for one in parts)
    return running, waiting, slots
