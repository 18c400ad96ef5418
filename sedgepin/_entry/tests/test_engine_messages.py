"""Tests of engines' lines and reports that cannot be decoded."""

import msgspec
import pytest

from sedgepin._entry import _answer_holder
from sedgepin._entry import _engine_messages
from sedgepin._entry import _events
from sedgepin._entry.tests import parts
from sedgepin import _model as model

_NESTED = b'{"type":"piece","x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"

_ANSWER_LIMIT_BYTES = 1_000_000


class TestLongAnswer:
    """4,096 tokens of a megabyte each were within the limits."""

    async def test_text_is_limited_as_a_whole(self) -> None:
        emitted: list[_events.EntryEvent] = []
        reader = _engine_messages.LineReader(
            parts.make_stream(),
            emitted.append,
            _answer_holder.AnswerHolder(),
            _ANSWER_LIMIT_BYTES,
        )
        with pytest.raises(msgspec.DecodeError, match="text is longer"):
            for position in range(20):
                line = _engine_messages.PieceLine(
                    model.RequestId("r1"), 1, position, "x" * 100_000, ()
                )
                await reader.feed(msgspec.json.encode(line) + b"\n")
        assert len(emitted) == 10


class TestNestedMessages:
    """A deeply nested one once raised ``RecursionError`` (issue 40)."""

    async def test_nested_line_cannot_be_decoded(self) -> None:
        reader = _engine_messages.LineReader(
            parts.make_stream(),
            lambda event: None,
            _answer_holder.AnswerHolder(),
            _ANSWER_LIMIT_BYTES,
        )
        with pytest.raises(msgspec.DecodeError, match="nested"):
            await reader.feed(_NESTED + b"\n")

    def test_nested_report_counts_as_unreported(self) -> None:
        report = _engine_messages.stage_report(model.EndpointId("e"), _NESTED)
        assert report.state is not None
        assert report.state.name == "UNREPORTED"
