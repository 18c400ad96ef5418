"""Tests of log lines that never hold a process up."""

import json
import os
import typing

import pytest

from sedgepin import events
from sedgepin import logs
from sedgepin import settings


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
    made = _Pipe()
    monkeypatch.setattr("sys.stdout", made)
    cfg = settings.Log(format=settings.LogFormat.JSON)
    logs.set_up(cfg, "vm-1", logs.Output.STDOUT)
    yield made
    monkeypatch.undo()
    logs.set_up(settings.Log(), "tests")


def _write(count: int) -> None:
    for number in range(count):
        logs.write(events.PEER_CONNECTED.line(peer=f"peer-{number}"))


class TestBoundedOutput:
    def test_lines_are_documents(self, pipe: _Pipe) -> None:
        _write(2)
        lines = [json.loads(line) for line in pipe.read().splitlines()]
        assert [line["peer"] for line in lines] == ["peer-0", "peer-1"]
        assert lines[0]["event"] == "peer_connected"
        assert lines[0]["process"] == "vm-1"

    def test_full_pipe_costs_lines_and_counts_them(self, pipe: _Pipe) -> None:
        _write(20_000)
        first = pipe.read()
        while data := self._more(pipe):
            first += data
        lines = [json.loads(line) for line in first.splitlines()]
        dropped = [
            line["count"]
            for line in lines
            if line["event"] == "log_lines_dropped"
        ]
        kept = sum(line["event"] == "peer_connected" for line in lines)
        assert kept + sum(dropped) >= 20_000
        assert sum(dropped) > 0

    def _more(self, pipe: _Pipe) -> bytes:
        _write(1)
        data = pipe.read()
        return data if len(data) > 1000 else b""
