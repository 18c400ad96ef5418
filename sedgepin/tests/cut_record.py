"""What came of a day of ``cut_day``, and the figures that are judged."""

import collections
import collections.abc
import dataclasses
import enum
import statistics

from sedgepin import errors
from sedgepin.tests import cut_plan

STABILITY_WINDOW_SECONDS = 3.0


class Kind(enum.Enum):
    """The kinds of requests, named like their routes."""

    STREAM = "draft"
    WRITE = "post"
    READ = "read"


# How often a request may run: the limits of the routes.
MAX_RUNS = {Kind.STREAM: 2, Kind.WRITE: 1, Kind.READ: 2}


@dataclasses.dataclass(slots=True)
class Operation:
    """What a caller wants done; its requests count together."""

    kind: Kind
    runs: int = 0


@dataclasses.dataclass(slots=True)
class Request:
    """A request of a caller, and what came of it.

    ``runs`` counts the endpoints that got it, ``answers`` those that the
    caller got.  ``is_lost`` is set if its entry VM died, ``is_disturbed`` also
    if it froze.  ``position`` is the number of the last event that the caller
    got, and ``endpoint_seconds`` the time that the endpoint itself took for
    the first.  ``unsent`` counts the attempts that reached no endpoint, and
    ``forwards`` those through a forwarder.  ``is_wrongly_refused`` is set if
    it was refused for want of an endpoint while some VM had one.
    ``ended_runs`` counts those whose endpoint has crashed since, which the
    limits of routes leave out.
    """

    number: int
    operation: Operation
    vm_number: int
    sent_at: float
    is_retry: bool = False
    runs: int = 0
    ended_runs: int = 0
    answers: int = 0
    is_complete: bool = False
    is_lost: bool = False
    is_disturbed: bool = False
    failure: errors.Failure | None = None
    first_output_at: float | None = None
    endpoint_seconds: float = 0.0
    completed_at: float | None = None
    position: int = 0
    has_gap: bool = False
    unsent: int = 0
    forwards: int = 0
    is_wrongly_refused: bool = False

    @property
    def is_direct(self) -> bool:
        """Return whether it was served over direct paths alone."""
        return self.is_complete and not self.unsent and not self.forwards


class DayRecord:
    """The requests of a day and the messages between its VMs."""

    __slots__ = ("calm_messages", "cut_messages", "plan", "requests")

    def __init__(self, plan: cut_plan.Plan) -> None:
        self.plan = plan
        self.requests: list[Request] = []
        self.calm_messages: collections.Counter[str] = collections.Counter()
        self.cut_messages: collections.Counter[str] = collections.Counter()

    # What must not happen.

    def unanswered(self) -> list[Request]:
        """Return the requests that got no answer, or more than one."""
        return [
            request
            for request in self.requests
            if not request.is_lost and request.answers != 1
        ]

    def run_too_often(self) -> list[Request]:
        """Return what ran more often than its route allows.

        A write must not run again under a retry of the caller either.
        """
        return [
            request
            for request in self.requests
            if request.runs - request.ended_runs
            > MAX_RUNS[request.operation.kind]
            or (
                request.operation.kind is Kind.WRITE
                and request.operation.runs > 1
            )
        ]

    def falsely_not_run(self) -> list[Request]:
        """Return what was answered "not run" though an endpoint ran it."""
        return [
            request
            for request in self.requests
            if request.runs
            and request.failure is not None
            and request.failure.outcome is errors.Outcome.NOT_RUN
        ]

    def wrongly_refused(self) -> list[Request]:
        """Return what was refused while a VM reached endpoints for it."""
        return [
            request
            for request in self.requests
            if request.is_wrongly_refused and not request.is_disturbed
        ]

    def with_gaps(self) -> list[Request]:
        """Return the streams whose events were not each sent once."""
        return [request for request in self.requests if request.has_gap]

    # First tries.

    def first_tries(
        self, is_cut: bool, from_seconds: float = STABILITY_WINDOW_SECONDS
    ) -> list[Request]:
        """Return the first tries at the VMs that are cut off, or the others.

        Counted is what was sent later than ``from_seconds`` after a cut began
        and before its end, or within one more window if it had ended then.
        """
        return [
            request
            for request in self.requests
            if not request.is_retry
            and not request.is_disturbed
            and bool(self.plan.cuts_of(request.vm_number)) == is_cut
            and any(
                _is_in_window(cut, request.sent_at, from_seconds)
                for cut in self._cuts_for(request.vm_number, is_cut)
            )
        ]

    def served_share(self, is_cut: bool) -> float:
        """Return which share of the first tries was served."""
        return _served_share(self.first_tries(is_cut))

    def others_share_before(self) -> float:
        """Return which share of the others was served before any cut."""
        start = min(cut.start for cut in self.plan.cuts)
        return _served_share(
            [
                request
                for request in self.requests
                if not request.is_retry
                and not self.plan.cuts_of(request.vm_number)
                and request.sent_at < start - 1.0
            ]
        )

    def others_share_since(self) -> float:
        """Return which share of the others was served from the first cut."""
        start = min(cut.start for cut in self.plan.cuts)
        return _served_share(
            [
                request
                for request in self.requests
                if not request.is_retry
                and not request.is_disturbed
                and not self.plan.cuts_of(request.vm_number)
                and request.sent_at >= start
            ]
        )

    def first_output_seconds(self, is_cut: bool, percent: int) -> float:
        """Return a percentile of the time until the first output.

        The time that the endpoint itself takes is not counted, as it varies
        by more than a hop.  Infinite without any output.
        """
        delays = [
            request.first_output_at
            - request.sent_at
            - request.endpoint_seconds
            for request in self.first_tries(is_cut)
            if request.operation.kind is Kind.STREAM
            and request.first_output_at is not None
        ]
        if len(delays) < 2:
            return float("inf")
        return statistics.quantiles(delays, n=100)[percent - 1]

    def first_output_later(self, percent: int) -> float:
        """Return by how much it comes later at VMs that are cut off."""
        return self.first_output_seconds(
            True, percent
        ) - self.first_output_seconds(False, percent)

    # Times.

    def seconds_until_served(self) -> float:
        """Return the time from a cut until all first tries are served.

        The longest of all VMs and cuts; infinite if the last is not served.
        """
        return max(
            self._last_failing(number, cut.start, cut.end, _is_served)
            for number, cut in self._hits()
        )

    def seconds_until_direct(self) -> float:
        """Return the time from the end of a cut until direct paths serve."""
        return max(
            (
                self._last_failing(
                    number, cut.end, self._next_start(number, cut), _is_direct
                )
                for number, cut in self._hits()
                if not self._is_cut_at(number, cut.end)
            ),
            default=0.0,
        )

    def streams_kept(self) -> float:
        """Return which share of the streams open at a cut was completed."""
        open_ones = [
            request
            for request in self.requests
            if request.operation.kind is Kind.STREAM
            and not request.is_lost
            and request.first_output_at is not None
            and any(
                request.first_output_at <= cut.start
                and (request.completed_at or float("inf")) > cut.start
                for cut in self.plan.cuts_of(request.vm_number)
            )
        ]
        return _served_share(open_ones)

    def _hits(self) -> list[tuple[int, cut_plan.Cut]]:
        return [
            (number, cut)
            for cut in self.plan.cuts
            for number in self.plan.members(cut.group)
        ]

    def _cuts_for(self, number: int, is_cut: bool) -> tuple[cut_plan.Cut, ...]:
        return self.plan.cuts_of(number) if is_cut else self.plan.cuts

    def _is_cut_at(self, number: int, second: float) -> bool:
        return any(
            cut.start <= second < cut.end for cut in self.plan.cuts_of(number)
        )

    def _next_start(self, number: int, after: cut_plan.Cut) -> float:
        return min(
            (
                cut.start
                for cut in self.plan.cuts_of(number)
                if cut.start >= after.end
            ),
            default=self.plan.seconds,
        )

    def _last_failing(
        self,
        number: int,
        start: float,
        end: float,
        condition: collections.abc.Callable[[Request], bool],
    ) -> float:
        """Return when the last first try that misses a condition was sent."""
        tries = [
            request
            for request in self.requests
            if request.vm_number == number
            and not request.is_retry
            and start <= request.sent_at < end
        ]
        failing = [
            request.sent_at - start
            for request in tries
            if not condition(request)
        ]
        if not failing:
            return 0.0
        if not condition(max(tries, key=lambda request: request.sent_at)):
            return float("inf")
        return max(failing)


def _is_in_window(
    cut: cut_plan.Cut, second: float, from_seconds: float
) -> bool:
    start = cut.start + from_seconds
    end = cut.end if start < cut.end else start + STABILITY_WINDOW_SECONDS
    return start <= second < end


def _served_share(requests: list[Request]) -> float:
    served = sum(request.is_complete for request in requests)
    return served / max(1, len(requests))


def _is_served(request: Request) -> bool:
    return request.is_complete


def _is_direct(request: Request) -> bool:
    return request.is_direct
