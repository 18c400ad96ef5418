"""Measures what a process holds while it reads endless answers."""

import collections.abc
import contextlib
import os
import pathlib
import subprocess
import sys

import trio

_SAMPLE_SECONDS = 0.005
_SETTLED_SECONDS = 1.5


class Meter:
    """The greatest resident size and the longest pause of the event loop."""

    def __init__(self) -> None:
        self.start_bytes = _resident_bytes()
        self.peak_bytes = self.start_bytes
        self.longest_pause_seconds = 0.0

    @property
    def growth_bytes(self) -> int:
        """Return by how much the resident size grew at most."""
        return self.peak_bytes - self.start_bytes

    async def wait_settled(self) -> None:
        """Return once the greatest size has not grown for a while."""
        before = -1
        while before != self.peak_bytes:
            before = self.peak_bytes
            await trio.sleep(_SETTLED_SECONDS)

    async def sample(self) -> None:
        """Take samples until cancelled."""
        while True:
            before = trio.current_time()
            await trio.sleep(_SAMPLE_SECONDS)
            pause = trio.current_time() - before - _SAMPLE_SECONDS
            self.longest_pause_seconds = max(self.longest_pause_seconds, pause)
            self.peak_bytes = max(self.peak_bytes, _resident_bytes())


def _resident_bytes() -> int:
    for line in pathlib.Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise ValueError("/proc/self/status has no VmRSS")


@contextlib.contextmanager
def endless_engine_process(
    kind: str, headers: bytes = b"", pause_seconds: float | None = None
) -> collections.abc.Iterator[str]:
    """Run an endless engine in a process, so that only clients are measured.

    Yields its address.  ``pause_seconds`` is the time between its pieces.
    """
    module = "sedgepin.tests.endless_engine"
    command = [sys.executable, "-m", module, kind, headers.decode()]
    if pause_seconds is not None:
        command.append(str(pause_seconds))
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, text=True, env=environment
    ) as process:
        assert process.stdout is not None
        try:
            yield process.stdout.readline().strip()
        finally:
            process.kill()
