"""Keeps a failure of one connection or task from ending its process."""

import collections.abc
import contextlib
import traceback

from sedgepin import events
from sedgepin import logs

_MAX_DETAIL_CHARACTERS = 300


class Containment:
    """Whether the code inside ``contain`` has failed."""

    __slots__ = ("failure",)

    def __init__(self) -> None:
        self.failure: Exception | None = None


class FailureReport:
    """Class, text and place of an exception, for a log line."""

    __slots__ = ("detail", "failure", "place")

    def __init__(self, exc: BaseException) -> None:
        cause = _innermost_exception(exc)
        frames = traceback.extract_tb(cause.__traceback__)
        self.failure = type(cause).__name__
        self.detail = str(cause)[:_MAX_DETAIL_CHARACTERS]
        self.place = (
            f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
        )


@contextlib.contextmanager
def contain(task: str) -> collections.abc.Iterator[Containment]:
    """Log an exception that nobody expects, and go on after the block.

    ``task`` names what has failed, for the log.  To be used for work that
    belongs to one caller, endpoint or peer, and shares no state that must not
    be half changed.

    >>> with containment.contain("probe") as outcome:
    ...     await probe(endpoint)
    >>> outcome.failure is None
    True
    """
    outcome = Containment()
    try:
        yield outcome
    except Exception as exc:
        outcome.failure = exc
        report = FailureReport(exc)
        line = events.TASK_FAILED.line(
            task=task,
            failure=report.failure,
            detail=report.detail,
            place=report.place,
        )
        logs.write(line)


def _innermost_exception(exc: BaseException) -> BaseException:
    """Return the first exception inside nested exception groups."""
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc
