"""CPU time to write one log line, with the daemons' log settings."""

import os
import threading
import time

from bench import _figure
from sedgepin import events
from sedgepin import logs
from sedgepin import settings

# Below the rate limit for bursts of ordinary lines, so none are dropped.
_LINE_COUNT = 1_500
_READ_BYTES = 65_536


def measure() -> list[_figure.Figure]:
    """Write lines to a pipe that is drained, and to one that fills up."""
    return [
        _figure.Figure(
            "processor time of a log line",
            _measure_drained_pipe(),
            "us",
            "the pipe is read",
        ),
        _figure.Figure(
            "processor time of a log line",
            _measure_full_pipe(),
            "us",
            "the pipe is full",
        ),
    ]


def _measure_drained_pipe() -> float:
    read_fd, write_fd = os.pipe()
    drain_thread = threading.Thread(
        target=_drain, args=(read_fd,), daemon=True
    )
    drain_thread.start()
    return _microseconds_per_line(write_fd)


def _measure_full_pipe() -> float:
    _read_fd, write_fd = os.pipe()
    return _microseconds_per_line(write_fd)


def _drain(read_fd: int) -> None:
    while os.read(read_fd, _READ_BYTES):
        continue


def _microseconds_per_line(write_fd: int) -> float:
    """Return the CPU time of this thread for each line written."""
    saved_stdout = os.dup(1)
    os.dup2(write_fd, 1)
    try:
        log_settings = settings.Log(format=settings.LogFormat.JSON)
        logs.configure(log_settings, "entry-1", logs.Output.STDOUT)
        start = time.thread_time()
        for line_number in range(_LINE_COUNT):
            logs.write(_make_line(line_number))
        duration = time.thread_time() - start
    finally:
        os.dup2(saved_stdout, 1)
        os.close(saved_stdout)
        os.close(write_fd)
    return duration / _LINE_COUNT * 1e6


def _make_line(line_number: int) -> events.LogLine:
    """Return an example of the most frequent log line."""
    return events.REQUEST_DISPATCHED.line(
        request=f"{line_number:016x}",
        route="r-1",
        endpoint="i-9200cbf8b4",
        pipeline="i-9200cbf8b4=0-27,i-a0a29d3e53=27-54,i-53ee110aee=54-80",
        attempt=1,
        resume_after=None,
        milliseconds_left=19_990,
    )
