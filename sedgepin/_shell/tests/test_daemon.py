"""Tests of the signals that stop a daemon."""

import os
import signal
import typing

import pytest
import trio
import trio.testing

from sedgepin import _shell as shell


@pytest.fixture(autouse=True)
def _restored_sighup() -> typing.Iterator[None]:
    before = signal.getsignal(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, before)


async def _wait(stop: trio.Event) -> None:
    with trio.fail_after(1.0):
        await stop.wait()


class TestStopSignals:
    @pytest.mark.parametrize("first", [signal.SIGTERM, signal.SIGINT])
    async def test_further_signals_do_not_end_a_drain(
        self, nursery: trio.Nursery, first: signal.Signals
    ) -> None:
        stop = trio.Event()
        await nursery.start(shell.watch_stop_signals, stop)
        os.kill(os.getpid(), first)
        await _wait(stop)
        await trio.testing.wait_all_tasks_blocked()
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            os.kill(os.getpid(), number)
            await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()

    async def test_second_interrupt_ends_the_process_at_once(self) -> None:
        stop = trio.Event()
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
        stop = trio.Event()
        with trio.open_signal_receiver(signal.SIGHUP) as hangups:
            await nursery.start(shell.watch_stop_signals, stop)
            os.kill(os.getpid(), signal.SIGTERM)
            await _wait(stop)
            os.kill(os.getpid(), signal.SIGHUP)
            with trio.fail_after(1.0):
                assert await anext(hangups) == signal.SIGHUP
        nursery.cancel_scope.cancel()
