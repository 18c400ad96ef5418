"""Runs a daemon and logs the exception that ends it."""

import collections.abc
import traceback

import trio

from sedgepin import events
from sedgepin import logs

_MAX_DETAIL_CHARACTERS = 300


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
        cause = _innermost_exception(exc)
        frames = traceback.extract_tb(cause.__traceback__)
        place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
        line = events.PROCESS_FAILED.line(
            failure=type(cause).__name__,
            detail=str(cause)[:_MAX_DETAIL_CHARACTERS],
            place=place,
        )
        logs.write(line)
        raise


def _innermost_exception(exc: BaseException) -> BaseException:
    """Return the first exception inside nested exception groups."""
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc
