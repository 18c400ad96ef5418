"""Tests of header fields."""

import h11
import pytest

from sedgepin import _web as web


class TestEndToEndHeaders:
    @pytest.mark.parametrize(
        ("headers", "kept"),
        [
            (((b"A", b"1"),), [b"A"]),
            (((b"Transfer-Encoding", b"chunked"), (b"A", b"1")), [b"A"]),
            (((b"connection", b"a, B"), (b"A", b"1"), (b"b", b"2")), []),
            (((b"Keep-Alive", b"timeout=5"),), []),
        ],
    )
    def test_drops_hop_by_hop_fields(
        self, headers: web.Headers, kept: list[bytes]
    ) -> None:
        assert [name for name, _ in web.end_to_end_headers(headers)] == kept


class TestFindHeader:
    def test_ignores_case_and_returns_the_first_match(self) -> None:
        headers = ((b"X-A", b"1"), (b"x-a", b"2"))
        assert web.find_header(headers, b"x-a") == b"1"
        assert web.find_header(headers, b"x-b") is None


class TestFieldValues:
    """Any text can be sent in a header field (review/4)."""

    @pytest.mark.parametrize(
        ("text", "value"),
        [
            ("plain text", b"plain text"),
            ("", b""),
            ("caf\u00e9", b"caf\xe9"),
            ("\u1eb9", b"\xe1\xba\xb9"),
            ("\ud800", b"\\ud800"),
            (" a\r\nB: c\t", b"%20a%0D%0AB: c%09"),
            ("\x7f", b"%7F"),
        ],
    )
    def test_value_is_one_that_the_parser_accepts(
        self, text: str, value: bytes
    ) -> None:
        assert web.encode_field_value(text) == value
        head = h11.Request(
            method=b"GET",
            target=b"/",
            headers=[(b"Host", b"a"), (b"X", value)],
        )
        assert head.headers[1] == (b"x", value)
