"""Tests of the headers of callers' requests and engines' answers."""

import datetime

import pytest

from sedgepin import _catalog as catalog
from sedgepin import _gateway as gateway
from sedgepin import _model as model
from sedgepin import _web as web
from sedgepin.platform import _gateway

_DIALECT = _gateway.GatewayDialect()
_STAGES = (
    model.Stage(
        model.EndpointId("i-1"), "10.0.0.1:80", model.LayerRange(0, 5)
    ),
    model.Stage(
        model.EndpointId("i-2"), "10.0.0.2:80", model.LayerRange(5, 9)
    ),
)


def _request(*extra: tuple[bytes, bytes]) -> web.Request:
    headers = ((b"Host", b"One.Example:80"), (b"X-Request-Id", b"r1"), *extra)
    return web.Request(b"POST", b"/a/b?c=d", headers, b"body")


class TestCallerRequest:
    def test_headers_are_parsed(self) -> None:
        parsed = _DIALECT.parse_request(
            _request(
                (b"X-Deadline-Ms", b"600"),
                (b"Authorization", b"Token secret"),
                (b"X-Token-Usage", b"700,300"),
                (b"X-Length-Hint", b"120"),
                (b"Last-Event-Id", b"12"),
                (b"X-Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:25"),
            )
        ).unwrap()
        assert parsed.shared_parts == ("5c1e07a2", "91bd3f06")
        assert (parsed.host, parsed.path) == ("one.example", "/a/b")
        assert parsed.time_left == datetime.timedelta(milliseconds=600)
        assert parsed.api_key == "secret"
        assert parsed.size is not None and parsed.size.total_tokens == 820
        assert parsed.resume_after == 12

    @pytest.mark.parametrize(
        ("value", "expected"),
        [
            (b"", ()),
            (b"only:800", ()),
            (b"a:1,a:2,b:3", ("a",)),
            (b":5,,a,b:x:y, c :1,last:1", ("a", "b", "c")),
            (b"\xff\x00:1,last:1", ("\xff\x00",)),
        ],
    )
    def test_unusual_lists_of_parts_are_read(
        self, value: bytes, expected: tuple[str, ...]
    ) -> None:
        parsed = _DIALECT.parse_request(_request((b"X-Prompt-Prefix", value)))
        assert parsed.unwrap().shared_parts == expected

    def test_long_list_of_parts_keeps_those_at_both_ends(self) -> None:
        value = b",".join(b"%d:1" % number for number in range(10_000))
        parsed = _DIALECT.parse_request(_request((b"X-Prompt-Prefix", value)))
        shared_parts = parsed.unwrap().shared_parts
        assert len(shared_parts) == 64
        assert (shared_parts[0], shared_parts[-1]) == ("0", "9998")

    def test_long_ids_of_parts_are_shortened_to_distinct_ones(self) -> None:
        value = b"%s:1,%s:1,last:1" % (b"x" * 8192, b"x" * 8191)
        parsed = _DIALECT.parse_request(_request((b"X-Prompt-Prefix", value)))
        first, second = parsed.unwrap().shared_parts
        assert first != second
        assert len(first) == len(second) <= 32

    @pytest.mark.parametrize(
        "extra",
        [
            (b"X-Deadline-Ms", b"soon"),
            (b"X-Deadline-Ms", b"inf"),
            (b"X-Deadline-Ms", b"nan"),
            (b"X-Token-Usage", b"700"),
            (b"X-Token-Usage", b"1" + b"0" * 400 + b",1"),
            (b"X-Token-Usage", b"1,3000000000"),
            (b"X-Token-Usage", b"-1,1"),
            (b"X-Token-Usage", b"1" * 5000 + b",1"),
            (b"Last-Event-Id", b"x"),
        ],
    )
    def test_malformed_header_is_refused(
        self, extra: tuple[bytes, bytes]
    ) -> None:
        parsed = _DIALECT.parse_request(_request(extra))
        assert parsed.unwrap_err().http_status == 400

    def test_deadline_beyond_the_calendar_is_bounded(self) -> None:
        header = (b"X-Deadline-Ms", b"86399999000000000")
        parsed = _DIALECT.parse_request(_request(header)).unwrap()
        assert parsed.time_left == datetime.timedelta(days=366)

    def test_missing_request_id_is_refused(self) -> None:
        parsed = _DIALECT.parse_request(web.Request(b"GET", b"/", ()))
        assert parsed.is_err()


class TestEndpointRequest:
    def test_forged_router_headers_are_replaced(self) -> None:
        forged = _request(
            (b"X-Tenant", b"other"),
            (b"X-Hop-Count", b"1.2.3.4:5=0-80"),
            (b"X-Expect-Instance", b"forged"),
            (b"Authorization", b"Token secret"),
            (b"X-Prompt-Prefix", b"a:1"),
        )
        caller = _DIALECT.parse_request(forged).unwrap()
        dispatch = gateway.Dispatch(
            model.EndpointId("i-1"),
            "10.0.0.1:80",
            datetime.timedelta(milliseconds=400),
            model.CustomerId("t"),
            model.Pipeline(_STAGES),
            7,
        )
        sent = _DIALECT.endpoint_request(caller, dispatch)
        headers = {name.lower(): value for name, value in sent.headers}
        assert b"authorization" not in headers
        assert headers[b"x-tenant"] == b"t"
        assert headers[b"x-expect-instance"] == b"i-1"
        assert headers[b"x-deadline-ms"] == b"400"
        assert headers[b"last-event-id"] == b"7"
        assert headers[b"x-prompt-prefix"] == b"a:1"
        assert headers[b"x-hop-count"] == b"10.0.0.1:80=0-5,10.0.0.2:80=5-9"
        assert (sent.method, sent.target, sent.body) == (
            b"POST",
            b"/a/b?c=d",
            b"body",
        )

    def test_forged_router_headers_without_replacement_are_dropped(
        self,
    ) -> None:
        forged = _request(
            (b"X-Tenant", b"other"),
            (b"X-Hop-Count", b"1.2.3.4:5=0-80"),
            (b"X-Expect-Version", b"3"),
            (b"X-Request-Priority", b"0"),
            (b"Last-Event-Id", b"9"),
        )
        caller = _DIALECT.parse_request(forged).unwrap()
        dispatch = gateway.Dispatch(
            model.EndpointId("i-1"), "10.0.0.1:80", None, None
        )
        sent = _DIALECT.endpoint_request(caller, dispatch)
        names = {name.lower() for name, _ in sent.headers}
        assert names == {b"host", b"x-request-id", b"x-expect-instance"}


class TestAnswerMetadata:
    @pytest.mark.parametrize(
        ("status", "headers", "is_not_run"),
        [
            (503, ((b"X-Not-Executed", b"1"),), True),
            (421, (), True),
            (503, (), False),
            (500, (), False),
        ],
    )
    def test_not_run_only_if_header_or_status_421_states_it(
        self, status: int, headers: web.Headers, is_not_run: bool
    ) -> None:
        metadata = _DIALECT.parse_answer(web.AnswerHead(status, headers))
        assert metadata.is_not_run is is_not_run

    @pytest.mark.parametrize(
        ("status", "headers", "expected"),
        [
            (200, (), catalog.EndpointNotice()),
            (
                200,
                ((b"Server-Leaving", b"1"),),
                catalog.EndpointNotice(is_leaving=True),
            ),
            (
                503,
                ((b"server-leaving", b" 1 "),),
                catalog.EndpointNotice(is_leaving=True),
            ),
            (200, ((b"Server-Leaving", b"0"),), catalog.EndpointNotice()),
            (200, ((b"Server-Leaving", b""),), catalog.EndpointNotice()),
        ],
    )
    def test_leaving_only_if_header_states_it(
        self,
        status: int,
        headers: web.Headers,
        expected: catalog.EndpointNotice,
    ) -> None:
        metadata = _DIALECT.parse_answer(web.AnswerHead(status, headers))
        assert metadata.notice == expected

    @pytest.mark.parametrize(
        ("value", "seconds"),
        [
            (b"2", 2),
            (b"0", 0),
            (b"0.75", 0.75),
            (b"1e9", 30 * 86_400),
            (b"1e400", 30 * 86_400),
        ],
    )
    def test_pause_of_an_engine_that_turns_away(
        self, value: bytes, seconds: float
    ) -> None:
        head = web.AnswerHead(503, ((b"Retry-After", value),))
        pause = datetime.timedelta(seconds=seconds)
        assert _DIALECT.parse_answer(head).notice.pause == pause
        success = web.AnswerHead(200, ((b"Retry-After", value),))
        assert _DIALECT.parse_answer(success).notice.pause is None

    @pytest.mark.parametrize(
        "value", [b"-1", b"", b"nan", b"soon", b"Fri, 04 Dec 2026 05:00 GMT"]
    )
    def test_malformed_pause_counts_as_none(self, value: bytes) -> None:
        head = web.AnswerHead(503, ((b"Retry-After", value),))
        notice = _DIALECT.parse_answer(head).notice
        assert notice.pause is None
        assert notice.malformed_pause == value.decode()

    @pytest.mark.parametrize(
        ("status", "value", "figure"),
        [
            (200, b"8.1", 8.1),
            (503, b"40", 40.0),
            (500, b" 0.3 ", 0.3),
            (200, b"0", 0.0),
            (404, b"100000", 100_000.0),
        ],
    )
    def test_limit_of_requests_in_any_answer(
        self, status: int, value: bytes, figure: float
    ) -> None:
        head = web.AnswerHead(status, ((b"server-LIMIT", value),))
        notice = _DIALECT.parse_answer(head).notice
        assert notice.request_limit == figure
        assert notice.malformed_request_limit is None

    @pytest.mark.parametrize(
        "values",
        [
            (b"",),
            (b"-1",),
            (b"nan",),
            (b"inf",),
            (b"1e9",),
            (b"8, 9",),
            (b"8", b"9"),
            (b"9" * 400,),
            ("٣".encode(),),
        ],
    )
    def test_malformed_limit_counts_as_none(
        self, values: tuple[bytes, ...]
    ) -> None:
        headers = tuple((b"Server-Limit", value) for value in values)
        head = web.AnswerHead(200, headers)
        notice = _DIALECT.parse_answer(head).notice
        assert notice.request_limit is None
        malformed = notice.malformed_request_limit
        assert malformed is not None and len(malformed) <= 60

    @pytest.mark.parametrize(
        "value",
        [
            b"3,0",
            b"a,b,c",
            b"",
            b"1,2,3,4",
            b"1,2,-3",
            b"1" + b"0" * 400 + b",0,8",
            b"1" * 5000 + b",0,8",
        ],
    )
    def test_malformed_load_header_is_ignored(self, value: bytes) -> None:
        head = web.AnswerHead(200, ((b"X-Instance-Load", value),))
        assert _DIALECT.parse_answer(head).running is None


class TestRerouteAnswer:
    @pytest.mark.parametrize(
        "body",
        [b"", b"[]", b'{"address":1}', b'{"x":' + b"[" * 100_000],
    )
    def test_refusal_that_is_no_document_names_no_engine(
        self, body: bytes
    ) -> None:
        """A deeply nested one once ended the process (issue 40)."""
        parsed = _DIALECT.parse_reroute_answer(web.AnswerHead(409), body)
        assert parsed.unwrap_err() == ""
