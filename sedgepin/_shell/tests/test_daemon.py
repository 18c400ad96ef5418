"""Tests of the signals that stop a daemon."""

import os
import signal
import subprocess
import sys
import time
import typing

import pytest
import trio
import trio.testing

from sedgepin import _shell as shell


@pytest.fixture(autouse=True)
def _restored_signals() -> typing.Iterator[None]:
    numbers = (signal.SIGHUP, signal.SIGTERM)
    before = [signal.getsignal(number) for number in numbers]
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    for number, handler in zip(numbers, before):
        signal.signal(number, handler)


# Stops at the first signal, and takes a while to exit after its last task.
_PROGRAM = """
import time

import trio

from sedgepin import _shell as shell


async def main():
    stop = shell.StopSignal()
    async with trio.open_nursery() as nursery:
        await nursery.start(shell.watch_stop_signals, stop)
        print("ready", flush=True)
        await stop.wait()
        nursery.cancel_scope.cancel()


shell.run_daemon(main)
time.sleep(0.5)
"""

# Prints how much of a grace period of 8 s is over when it learns of a signal.
_WAITING_PROGRAM = """
import trio

from sedgepin import _shell as shell


async def main():
    stop = shell.StopSignal()
    async with trio.open_nursery() as nursery:
        await nursery.start(shell.watch_stop_signals, stop)
        print("ready", flush=True)
        while not stop.is_set():
            stop.pulse()
            await trio.sleep(0.1)
        print(stop.seconds_waited(8.0), flush=True)
        nursery.cancel_scope.cancel()


trio.run(main)
"""

# Gets another signal at the instant at which its last task is cancelled.
_CANCELLED_PROGRAM = """
import signal

import trio

from sedgepin import _shell as shell


async def main():
    stop = shell.StopSignal()
    async with trio.open_nursery() as nursery:
        await nursery.start(shell.watch_stop_signals, stop)
        signal.raise_signal(signal.SIGTERM)
        await stop.wait()
        await trio.sleep(0.01)
        signal.raise_signal(signal.SIGTERM)
        nursery.cancel_scope.cancel()


for _ in range(30):
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    trio.run(main)
"""


async def _wait(stop: shell.StopSignal) -> None:
    with trio.fail_after(1.0):
        await stop.wait()


class TestStopSignals:
    @pytest.mark.parametrize("further", [signal.SIGTERM, signal.SIGHUP])
    def test_signals_in_series_do_not_end_a_process_that_exits(
        self, further: signal.Signals
    ) -> None:
        """Its last answers may not have been sent, nor its last lines."""
        process = subprocess.Popen(
            [sys.executable, "-c", _PROGRAM], stdout=subprocess.PIPE
        )
        assert process.stdout is not None
        with process, process.stdout as output:
            assert output.readline() == b"ready\n"
            process.send_signal(signal.SIGTERM)
            while process.poll() is None:
                time.sleep(0.02)
                process.send_signal(further)
        assert process.returncode == 0

    def test_signal_beside_the_last_cancellation_does_not_end_a_process(
        self,
    ) -> None:
        """The order of the tasks then is random, so that it is tried often."""
        command = [sys.executable, "-c", _CANCELLED_PROGRAM]
        assert subprocess.run(command, check=False).returncode == 0

    @pytest.mark.parametrize("first", [signal.SIGTERM, signal.SIGINT])
    async def test_further_signals_do_not_end_a_drain(
        self, nursery: trio.Nursery, first: signal.Signals
    ) -> None:
        stop = shell.StopSignal()
        await nursery.start(shell.watch_stop_signals, stop)
        os.kill(os.getpid(), first)
        await _wait(stop)
        await trio.testing.wait_all_tasks_blocked()
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            os.kill(os.getpid(), number)
            await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()

    async def test_second_interrupt_ends_the_process_at_once(self) -> None:
        stop = shell.StopSignal()
        with pytest.raises(BaseExceptionGroup) as raised:
            async with trio.open_nursery() as watching:
                await watching.start(shell.watch_stop_signals, stop)
                os.kill(os.getpid(), signal.SIGINT)
                await _wait(stop)
                os.kill(os.getpid(), signal.SIGINT)
        assert raised.group_contains(KeyboardInterrupt)

    async def test_settings_watch_keeps_its_sighup(
        self, nursery: trio.Nursery
    ) -> None:
        stop = shell.StopSignal()
        with trio.open_signal_receiver(signal.SIGHUP) as hangups:
            await nursery.start(shell.watch_stop_signals, stop)
            os.kill(os.getpid(), signal.SIGTERM)
            await _wait(stop)
            os.kill(os.getpid(), signal.SIGHUP)
            with trio.fail_after(1.0):
                assert await anext(hangups) == signal.SIGHUP
        nursery.cancel_scope.cancel()


class TestSignalsThatWait:
    @pytest.mark.parametrize(
        ("seconds", "least", "most"),
        [(0.0, 0.0, 1.0), (1.5, 1.5, 2.5), (5.0, 4.0, 4.0)],
    )
    def test_time_in_which_the_process_was_not_run_counts(
        self, seconds: float, least: float, most: float
    ) -> None:
        """Up to half of the grace period."""
        process = subprocess.Popen(
            [sys.executable, "-c", _WAITING_PROGRAM], stdout=subprocess.PIPE
        )
        assert process.stdout is not None
        with process, process.stdout as output:
            assert output.readline() == b"ready\n"
            time.sleep(0.3)
            if seconds:
                process.send_signal(signal.SIGSTOP)
            process.send_signal(signal.SIGTERM)
            time.sleep(seconds)
            process.send_signal(signal.SIGCONT)
            assert least <= float(output.readline()) <= most

    async def test_turn_of_the_loop_in_which_a_signal_came_counts(
        self, nursery: trio.Nursery
    ) -> None:
        stop = shell.StopSignal()
        await nursery.start(shell.watch_stop_signals, stop)
        stop.pulse()
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(0.4)
        await _wait(stop)
        assert 0.4 <= stop.seconds_waited(8.0) < 1.4
        nursery.cancel_scope.cancel()
