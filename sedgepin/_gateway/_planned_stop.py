"""How an entry VM stops, from the signal to the end of its grace period."""

import collections.abc
import dataclasses

import trio

from sedgepin import _web as web

_POLL_SECONDS = 0.05
# The load balancer checks readiness each second and removes a VM after two
# failed checks.  Requests that it sends until then are still served.
_READINESS_LOSS_SECONDS = 2.6
# It keeps sending callers where most VMs of a data centre drain.  They are
# accepted until none was sent to an endpoint for as long, or until the last
# moment.
_QUIET_SECONDS = 0.4
# Time within the grace period for the process to exit after the drain, before
# that for the last answers to be sent, and before that for the first requests
# on the last connections.
_EXIT_SECONDS = 0.3
_LAST_ANSWERS_SECONDS = 0.2
_LAST_CONNECTIONS_SECONDS = 0.5
# Beside that, for each request that is being received at the signal: unless it
# comes whole, it is refused, its task cancelled, and lines are logged.
_UNREAD_EXIT_SECONDS = 0.0015
# A drain that ends later than this was held up by a pause of the process.
# Requests that came meanwhile have so long to be answered.
_LATE_SECONDS = 0.1
_LATE_ANSWERS_SECONDS = 0.25
# The shares of a short grace period that the first two take at most.  The exit
# takes the same time after any grace period, and the drain may end late.
_MAX_EXIT_SHARE = 0.1
# Answers are waited for until this last share of the grace period.
_LAST_SHARE = 1 / 6
_MAX_LAST_ANSWERS_SHARE = 0.05
# The share of the grace period in which streams are taken on an estimate.
_MAX_ESTIMATED_SHARE = 1 / 3


@dataclasses.dataclass(slots=True, frozen=True)
class StopTimes:
    """Seconds from the signal to the steps of a stop.

    Streams that come after ``last_estimate`` are served only if their own
    deadlines allow.  Callers are accepted at least for ``notice``, and until
    ``last_connection`` while they come.  Requests must be answered until
    ``last_answer``, and the drain is over at ``end``.
    """

    last_estimate: float
    notice: float
    last_connection: float
    last_answer: float
    end: float

    @classmethod
    def from_grace_period(
        cls, seconds: float, unread_requests: int = 0
    ) -> "StopTimes":
        """Return the times of a grace period.

        ``unread_requests`` are being received at the signal.

        >>> StopTimes.from_grace_period(8.0)
        StopTimes(last_estimate=2.6, notice=2.6, last_connection=7.0,
                  last_answer=7.5, end=7.7)
        """
        end = seconds - _exit_seconds(seconds, unread_requests)
        last_answer = end - _reserved_answer_seconds(seconds)
        notice = min(_READINESS_LOSS_SECONDS, last_answer)
        last_connection = max(notice, last_answer - _LAST_CONNECTIONS_SECONDS)
        last_estimate = min(notice, seconds * _MAX_ESTIMATED_SHARE)
        return cls(last_estimate, notice, last_connection, last_answer, end)

    def after(self, seconds: float) -> "StopTimes":
        """Return the times of a stop whose signal has waited meanwhile.

        The load balancer learns of the stop only now, so that the notice stays
        as long as the other times allow.

        >>> StopTimes.from_grace_period(8.0).after(1.0)
        StopTimes(last_estimate=1.6, notice=2.6, last_connection=6.0,
                  last_answer=6.5, end=6.7)
        """
        last_answer = self.last_answer - seconds
        notice = min(self.notice, last_answer)
        return StopTimes(
            last_estimate=max(0.0, self.last_estimate - seconds),
            notice=notice,
            last_connection=max(notice, self.last_connection - seconds),
            last_answer=last_answer,
            end=self.end - seconds,
        )


def _exit_seconds(grace_seconds: float, unread_requests: int) -> float:
    """Return the time from the end of the drain to that of the period."""
    seconds = min(_EXIT_SECONDS, grace_seconds * _MAX_EXIT_SHARE)
    most = grace_seconds * _LAST_SHARE - seconds
    most -= _reserved_answer_seconds(grace_seconds)
    return seconds + min(unread_requests * _UNREAD_EXIT_SECONDS, most)


def _reserved_answer_seconds(grace_seconds: float) -> float:
    return min(_LAST_ANSWERS_SECONDS, grace_seconds * _MAX_LAST_ANSWERS_SHARE)


def exit_seconds_left(
    grace_seconds: float, planned: StopTimes, unread_requests: int
) -> float:
    """Return the time for last answers and the exit after a drain.

    It is not more than was reserved at the signal, as ``planned`` has it, and
    not more than is due for the requests that are unread at the end.
    """
    reserved = grace_seconds - planned.end
    return min(reserved, _exit_seconds(grace_seconds, unread_requests))


def seconds_after_drain(late_seconds: float, exit_seconds: float) -> float:
    """Return how long last answers may be sent after a drain.

    ``late_seconds`` is how long after ``StopTimes.end`` the drain has ended,
    and ``exit_seconds`` what ``exit_seconds_left`` returns.  After a pause of
    the process all requests may have become due at once, and others wait
    unread.  An overloaded process is late, too, and must leave time for its
    exit; one that has paused beyond the grace period has none to leave.
    """
    if late_seconds <= _LATE_SECONDS:
        return _POLL_SECONDS
    left = exit_seconds - late_seconds
    if left <= 0.0:
        return _LATE_ANSWERS_SECONDS
    return min(_LATE_ANSWERS_SECONDS, left / 2)


async def serve_last_requests(
    server: web.Server,
    times: StopTimes,
    count_others: collections.abc.Callable[[], int],
    quiet_seconds: collections.abc.Callable[[], float],
    do_others_serve: collections.abc.Callable[[], bool],
    refuse_unread: collections.abc.Callable[[], None],
) -> None:
    """Serve until no request is open and no more are expected.

    To be called at the signal; returns at ``times.end`` at the latest.
    Once ``do_others_serve`` after the notice, no connection is kept open
    between requests: on a new one the next request leads to another VM.
    ``count_others`` returns the open requests of other servers, and
    ``quiet_seconds`` how long ago a request was sent to an endpoint.
    ``refuse_unread`` is called from ``times.last_answer`` on, when a request
    that is not read whole cannot be answered in time any more.  Callers
    that are only refused do not keep the VM from stopping: it serves them
    sooner once it has started again.
    """
    started_at = trio.current_time()
    with trio.move_on_at(started_at + times.end):
        server.start_draining()
        await trio.sleep(times.notice)
        is_keeping = True
        with trio.move_on_at(started_at + times.last_connection):
            while (
                server.open_exchanges
                or count_others()
                or quiet_seconds() < _QUIET_SECONDS
            ):
                if is_keeping and do_others_serve():
                    is_keeping = False
                    server.stop_keeping_connections()
                await trio.sleep(_POLL_SECONDS)
        server.finish_draining()
        while server.open_exchanges or count_others():
            if trio.current_time() >= started_at + times.last_answer:
                refuse_unread()
            await trio.sleep(_POLL_SECONDS)
    server.finish_draining()
