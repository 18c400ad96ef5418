"""Runs a daemon and logs the exception that ends it."""

import collections.abc

import trio

from sedgepin import containment
from sedgepin import events
from sedgepin import logs


def run_daemon(
    main: collections.abc.Callable[
        [], collections.abc.Coroutine[object, object, None]
    ],
) -> None:
    """Run a daemon's main task until it ends.

    An unhandled exception is logged with its location and raised again.  The
    log line is needed because standard error may be stored separately from
    the log, or truncated.

    >>> run_daemon(daemon.run)
    """
    try:
        trio.run(main)
    except Exception as exc:
        report = containment.FailureReport(exc)
        line = events.PROCESS_FAILED.line(
            failure=report.failure, detail=report.detail, place=report.place
        )
        logs.write(line)
        raise
