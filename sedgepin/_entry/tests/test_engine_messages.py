"""Tests of engines' lines and reports that cannot be decoded."""

import msgspec
import pytest

from sedgepin._entry import _effects
from sedgepin._entry import _engine_messages
from sedgepin import _model as model

_NESTED = b'{"type":"piece","x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"


def _effect() -> _effects.StartStream:
    stage = model.Stage(
        model.EndpointId("e"), "http://127.0.0.1:1", model.LayerRange(0, 1)
    )
    return _effects.StartStream(
        model.RequestId("r1"),
        1,
        model.Pipeline((stage,)),
        model.ModelName("m"),
        "1",
        "prompt",
        (),
        0,
        8,
        0,
    )


class TestNestedMessages:
    """A deeply nested one once raised ``RecursionError`` (issue 40)."""

    async def test_nested_line_cannot_be_decoded(self) -> None:
        reader = _engine_messages.LineReader(_effect(), lambda event: None)
        with pytest.raises(msgspec.DecodeError, match="nested"):
            await reader.feed(_NESTED + b"\n")

    def test_nested_report_counts_as_unreported(self) -> None:
        report = _engine_messages.stage_report(model.EndpointId("e"), _NESTED)
        assert report.state is not None
        assert report.state.name == "UNREPORTED"
