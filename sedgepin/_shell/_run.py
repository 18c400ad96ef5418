"""Running a daemon, with a line in the log if it fails."""

import collections.abc
import traceback

import trio

from sedgepin import events
from sedgepin import logs

_DETAIL_CHARACTERS = 300


def run_daemon(
    main: collections.abc.Callable[
        [], collections.abc.Coroutine[object, object, None]
    ],
) -> None:
    """Run a daemon's main task until it ends.

    An exception that nothing handled ends the process; the log says first
    what and where it was, since standard error may be kept apart or cut.

    >>> run_daemon(daemon.run)
    """
    try:
        trio.run(main)
    except Exception as exc:
        leaf = _first_cause(exc)
        frames = traceback.extract_tb(leaf.__traceback__)
        place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
        line = events.PROCESS_FAILED.line(
            failure=type(leaf).__name__,
            detail=str(leaf)[:_DETAIL_CHARACTERS],
            place=place,
        )
        logs.write(line)
        raise


def _first_cause(exc: BaseException) -> BaseException:
    """Return the exception inside groups of them."""
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc
