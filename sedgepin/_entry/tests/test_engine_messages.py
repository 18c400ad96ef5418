"""Tests of engines' lines and reports that cannot be decoded."""

import msgspec
import pytest

from sedgepin._entry import _answer_holder
from sedgepin._entry import _engine_messages
from sedgepin._entry.tests import parts
from sedgepin import _model as model

_NESTED = b'{"type":"piece","x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"


class TestNestedMessages:
    """A deeply nested one once raised ``RecursionError`` (issue 40)."""

    async def test_nested_line_cannot_be_decoded(self) -> None:
        reader = _engine_messages.LineReader(
            parts.make_stream(),
            lambda event: None,
            _answer_holder.AnswerHolder(),
        )
        with pytest.raises(msgspec.DecodeError, match="nested"):
            await reader.feed(_NESTED + b"\n")

    def test_nested_report_counts_as_unreported(self) -> None:
        report = _engine_messages.stage_report(model.EndpointId("e"), _NESTED)
        assert report.state is not None
        assert report.state.name == "UNREPORTED"
