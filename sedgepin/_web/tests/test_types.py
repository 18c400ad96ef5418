"""Tests of header fields."""

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
