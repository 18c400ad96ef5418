"""What one log line costs, in processor time, as daemons write it."""

import os
import threading
import time

from bench import _figure
from sedgepin import events
from sedgepin import logs
from sedgepin import settings

# Fewer than what ordinary lines may be written at once.
_LINES = 1_500
_READ_BYTES = 65_536


def measure() -> list[_figure.Figure]:
    """Write lines into a pipe that is read, and into one that is full."""
    return [
        _figure.Figure(
            "processor time of a log line", _read(), "us", "the pipe is read"
        ),
        _figure.Figure(
            "processor time of a log line", _full(), "us", "the pipe is full"
        ),
    ]


def _read() -> float:
    reader, writer = os.pipe()
    emptying = threading.Thread(target=_empty, args=(reader,), daemon=True)
    emptying.start()
    return _microseconds(writer)


def _full() -> float:
    _reader, writer = os.pipe()
    return _microseconds(writer)


def _empty(reader: int) -> None:
    while os.read(reader, _READ_BYTES):
        continue


def _microseconds(writer: int) -> float:
    """Return the processor time of this thread for each line."""
    stdout = os.dup(1)
    os.dup2(writer, 1)
    try:
        cfg = settings.Log(format=settings.LogFormat.JSON)
        logs.configure(cfg, "entry-1", logs.Output.STDOUT)
        began = time.thread_time()
        for number in range(_LINES):
            logs.write(_line(number))
        took = time.thread_time() - began
    finally:
        os.dup2(stdout, 1)
        os.close(stdout)
        os.close(writer)
    return took / _LINES * 1e6


def _line(number: int) -> events.LogLine:
    """Return the line that is written most often."""
    return events.REQUEST_DISPATCHED.line(
        request=f"{number:016x}",
        route="r-1",
        endpoint="i-9200cbf8b4",
        pipeline="i-9200cbf8b4=0-27,i-a0a29d3e53=27-54,i-53ee110aee=54-80",
        attempt=1,
        resume_after=None,
        milliseconds_left=19_990,
    )
