"""The limits of the work of connections, whose refusals are logged."""

import trio

from sedgepin._shell import _metrics
from sedgepin import _work as work
from sedgepin import events
from sedgepin import logs

_LOG_INTERVAL_SECONDS = 5.0


async def limit_work(
    limits: work.WorkLimits,
    sink: _metrics.MetricSink,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Limit the work of connections; log and count the messages ended.

    The first is logged at once, later ones together, once in an interval.  To
    be started before the servers; runs until cancelled.
    """
    unlogged = 0
    has_unlogged = trio.Event()

    def record() -> None:
        nonlocal unlogged
        unlogged += 1
        sink.increment(events.WORK_EXHAUSTED.name, 1)
        has_unlogged.set()

    def write() -> None:
        nonlocal unlogged
        if unlogged:
            logs.write(events.WORK_EXHAUSTED.line(count=unlogged))
        unlogged = 0

    work.start(limits, record)
    task_status.started()
    try:
        while True:
            await has_unlogged.wait()
            has_unlogged = trio.Event()
            write()
            await trio.sleep(_LOG_INTERVAL_SECONDS)
    finally:
        write()
