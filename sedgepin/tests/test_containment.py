"""Tests that a failure is logged with its place, and contained."""

import pytest
import trio

from sedgepin import containment
from sedgepin import events
from sedgepin import logs


def _fail() -> None:
    raise RuntimeError("text")


class TestContainment:
    def test_failure_is_logged_with_its_place(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        lines: list[events.LogLine] = []
        monkeypatch.setattr(logs, "write", lines.append)
        with containment.contain("probe") as outcome:
            _fail()
        assert isinstance(outcome.failure, RuntimeError)
        fields = {field.name: field.value for field in lines[0].fields}
        assert fields["task"] == "probe"
        assert fields["failure"] == "RuntimeError"
        assert "test_containment.py:" in str(fields["place"])

    async def test_cancellation_is_passed_on(self) -> None:
        with trio.CancelScope() as scope:
            scope.cancel()
            with containment.contain("probe"):
                await trio.sleep(1)
        assert scope.cancelled_caught
