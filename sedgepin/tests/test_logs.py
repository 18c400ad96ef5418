"""Tests of log output, which must never block a process."""

import json
import os
import time
import typing

import pytest

from sedgepin import events
from sedgepin import logs
from sedgepin import settings


# Longer than the interval at which the number of dropped lines is logged.
_REPORT_WAIT_SECONDS = 0.11


class _Pipe:
    """A pipe that stands in for standard output."""

    def __init__(self) -> None:
        self.reader, self._writer = os.pipe()

    def fileno(self) -> int:
        return self._writer

    def read(self) -> bytes:
        os.set_blocking(self.reader, False)
        read = b""
        try:
            while data := os.read(self.reader, 1_048_576):
                read += data
        except BlockingIOError:
            pass
        return read


@pytest.fixture
def pipe(
    monkeypatch: pytest.MonkeyPatch,
) -> typing.Iterator[_Pipe]:
    stdout = _Pipe()
    monkeypatch.setattr("sys.stdout", stdout)
    cfg = settings.Log(format=settings.LogFormat.JSON)
    logs.configure(cfg, "vm-1", logs.Output.STDOUT)
    yield stdout
    monkeypatch.undo()
    logs.configure(settings.Log(), "tests")


def _write(count: int) -> None:
    for number in range(count):
        logs.write(events.PEER_CONNECTED.line(peer=f"peer-{number}"))


class TestBoundedOutput:
    def test_lines_are_json_documents(self, pipe: _Pipe) -> None:
        _write(2)
        lines = [json.loads(line) for line in pipe.read().splitlines()]
        assert [line["peer"] for line in lines] == ["peer-0", "peer-1"]
        assert lines[0]["event"] == "peer_connected"
        assert lines[0]["process"] == "vm-1"

    def test_burst_of_ordinary_lines_is_limited_and_drops_are_counted(
        self, pipe: _Pipe
    ) -> None:
        """Writes 100 times the lines of the busiest second seen, at once."""
        read = b""
        for _burst in range(100):
            _write(100)
            read += pipe.read()
        time.sleep(_REPORT_WAIT_SECONDS)
        logs.write(events.ENDPOINT_SUSPECTED.line(endpoint="e", failure="f"))
        read += pipe.read()
        lines = [json.loads(line) for line in read.splitlines()]
        kept = sum(line["event"] == "peer_connected" for line in lines)
        dropped = sum(line.get("count", 0) for line in lines)
        assert 2_000 <= kept <= 4_000
        assert kept + dropped == 10_000
        assert lines[-1]["event"] == "endpoint_suspected"

    def test_warnings_are_kept_when_ordinary_lines_are_dropped(
        self, pipe: _Pipe
    ) -> None:
        _write(20_000)
        for number in range(500):
            line = events.ENDPOINT_SUSPECTED.line(
                endpoint=f"e{number}", failure="it does not answer"
            )
            logs.write(line)
        lines = self._read_remaining(pipe)
        endpoints = {line.get("endpoint") for line in lines}
        assert {f"e{number}" for number in range(500)} <= endpoints

    def test_lines_dropped_on_a_full_pipe_are_counted(
        self, pipe: _Pipe
    ) -> None:
        for _number in range(4_000):
            line = events.ENDPOINT_SUSPECTED.line(
                endpoint="e" * 300, failure="it does not answer"
            )
            logs.write(line)
        lines = self._read_remaining(pipe)
        dropped = [line["count"] for line in lines if "count" in line]
        kept = sum(line.get("endpoint") == "e" * 300 for line in lines)
        assert kept + sum(dropped) == 4_000
        assert sum(dropped) > 0

    def test_all_ordinary_lines_are_written_or_counted(
        self, pipe: _Pipe
    ) -> None:
        _write(20_000)
        lines = self._read_remaining(pipe)
        dropped = sum(line.get("count", 0) for line in lines)
        kept = sum(line["event"] == "peer_connected" for line in lines)
        assert kept + dropped == 20_000

    def _read_remaining(self, pipe: _Pipe) -> list[dict[str, typing.Any]]:
        """Return all lines, writing more to flush the output's buffer."""
        read = pipe.read()
        while True:
            time.sleep(_REPORT_WAIT_SECONDS)
            line = events.ENDPOINT_SUSPECTED.line(endpoint="", failure="")
            logs.write(line)
            data = pipe.read()
            read += data
            if len(data) < 1000:
                return [json.loads(line) for line in read.splitlines()]
