"""Tests of the log line for an exception that ends a daemon."""

import json

import pytest
import trio

from sedgepin import _shell as shell
from sedgepin import logs
from sedgepin import settings


async def _fail() -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.sleep_forever)
        raise ValueError("the end was sent twice")


async def _end() -> None:
    await trio.lowlevel.checkpoint()


class TestRunDaemon:
    @pytest.fixture(autouse=True)
    def _log(self, capfd: pytest.CaptureFixture[str]) -> None:
        cfg = settings.Log(format=settings.LogFormat.JSON)
        logs.configure(cfg, "vm-1", logs.Output.STDOUT)

    def test_unhandled_exception_is_logged_and_raised(
        self, capfd: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against a crash of a VM without its reason in the log."""
        with pytest.raises(BaseExceptionGroup):
            shell.run_daemon(_fail)
        line = json.loads(capfd.readouterr().out)
        assert line["event"] == "process_failed"
        assert line["failure"] == "ValueError"
        assert line["detail"] == "the end was sent twice"
        assert "test_run.py:" in line["place"]

    def test_regular_end_is_not_logged(
        self, capfd: pytest.CaptureFixture[str]
    ) -> None:
        shell.run_daemon(_end)
        assert capfd.readouterr().out == ""
