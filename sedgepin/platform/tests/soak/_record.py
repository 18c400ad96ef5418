"""Record of what callers, engines and the operator sent and received.

The invariants are checked against it at the end of a run.  All times are in
seconds of the soak's own clock.
"""

import collections
import dataclasses
import enum
import math

# Routes whose targets end in the number of events of the answer.
STREAM_ROUTES = ("stream", "long", "feed")
# Those with the milliseconds between the events before it.
LONG_ROUTES = ("long", "feed")
# Those of the service whose engines hold layers of a model.
MODEL_ROUTES = ("stream", "long")
# The name under which holds of the process of callers and engines are kept.
CALLERS = "callers"


@dataclasses.dataclass(slots=True, frozen=True)
class Sending:
    """How a caller sends the body of a request."""

    is_chunked: bool = False
    pieces: int = 1
    # Before the pieces between the first and the last, and before the last.
    pause_seconds: float = 0.0
    last_pause_seconds: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class SentRequest:
    """A request as a caller sent it."""

    request_id: str
    route: str
    target: str
    body: bytes
    key: str
    at: float
    time_left_ms: int
    # Ids of the parts of its prompt; empty for plain requests.
    parts: tuple[str, ...] = ()
    crashing_part: str | None = None
    # How long its engine takes at its usual pace.
    usual_seconds: float = 0.0
    sending: Sending = Sending()
    # What it states of its length.
    token_usage: str | None = None
    length_hint: str | None = None

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.route in STREAM_ROUTES


@dataclasses.dataclass(slots=True, frozen=True)
class ReceivedAnswer:
    """What a caller received; status 0 without a complete head."""

    request_id: str
    status: int
    seal: str
    body: bytes
    is_complete: bool
    at: float
    has_retry_after: bool = False


class EndKind(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    # The connection ended before the answer was complete.
    CUT = "cut"
    # The caller closed the connection, early or at its deadline.
    LEFT = "left"
    NOT_CONNECTED = "not connected"


@dataclasses.dataclass(slots=True, frozen=True)
class CallerEnd:
    """The end of a request as its caller saw it."""

    request_id: str
    entry: str
    kind: EndKind
    at: float
    # Whether the head of an answer was received.
    has_begun: bool = False
    # When the connection was opened.
    connected_at: float = 0.0
    # Since when the connection had been idle, if it was used before.
    idle_since: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class VmEnd:
    """A line on an end without a complete answer, from an entry's log."""

    entry: str
    event: str
    request_id: str
    at: float
    reason: str = ""
    closed_by: str = ""
    unread_bytes: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Failure:
    """A line on an admitted request that failed, from an entry's log."""

    entry: str
    request_id: str
    at: float
    code: str
    may_have_run: bool


@dataclasses.dataclass(slots=True, frozen=True)
class EndCounts:
    """What an entry has counted of requests' ends since its start."""

    entry: str
    since: float
    at: float
    # By the labels ``end`` and ``closed_by`` of the metric.
    counts: dict[tuple[str, str], int]


@dataclasses.dataclass(slots=True, frozen=True)
class StopCounts:
    """What an entry that stops has counted of requests' ends.

    The counts were asked for at ``asked_at`` and received at ``at``.
    """

    entry: str
    since: float
    asked_at: float
    at: float
    counts: dict[tuple[str, str], int]


@dataclasses.dataclass(slots=True, frozen=True)
class Ending:
    """What ended: an engine's address, a killed entry or a link's name."""

    name: str
    at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Stop:
    """The stop of a program, from SIGTERM to its end."""

    program: str
    at: float
    ended_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Following:
    """From when on an entry followed a configuration, from its log."""

    entry: str
    version: int
    at: float


@dataclasses.dataclass(slots=True)
class EngineRun:
    """A request that an engine started to execute, and its answer."""

    request_id: str
    endpoint_id: str
    method: str
    target: str
    body: bytes
    customer: str
    at: float
    time_left_ms: int | None
    resume_after: int
    status: int
    answer: bytes
    seal: str
    pipeline_fault: str = ""
    # Addresses of its engine and of all that compute it.
    engine: str = ""
    path: tuple[str, ...] = ()
    # When the engine stopped working on it, complete or not.
    ended_at: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Dispatch:
    """A request that an entry sent to an endpoint, from the entry's log."""

    request_id: str
    endpoint_id: str
    at: float
    time_left_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class AcknowledgedConfiguration:
    """A configuration whose acceptance the operator received."""

    version: int
    document: bytes
    sent_at: float
    at: float


@dataclasses.dataclass(slots=True, frozen=True)
class ReadConfiguration:
    """A configuration that the operator read back."""

    version: int
    document: bytes
    sent_at: float


@dataclasses.dataclass(slots=True)
class NamedLimit:
    """How many requests a second an engine took, from when until when."""

    endpoint_id: str
    requests_per_second: float
    since: float
    until: float = math.inf


@dataclasses.dataclass(slots=True, frozen=True)
class Hold:
    """For how long the machine did not run a program that was ready to run.

    Some time between start and end, ``seconds`` altogether, and all the time
    from ``surely_since`` until ``surely_until``.
    """

    program: str
    start: float
    end: float
    seconds: float
    surely_since: float = 0.0
    surely_until: float = 0.0

    def seconds_within(self, start: float, end: float) -> float:
        """Return for how long it surely was in a time span.

        Of a hold that may have been outside the span, only the part counts
        that does not fit there.
        """
        if not self.start < end > start < self.end:
            return 0.0
        outside = max(0.0, start - self.start) + max(0.0, self.end - end)
        surely = min(end, self.surely_until) - max(start, self.surely_since)
        return max(0.0, self.seconds - outside, surely)


@dataclasses.dataclass(slots=True)
class Record:
    """Everything recorded in one run."""

    sent: dict[str, SentRequest] = dataclasses.field(default_factory=dict)
    answers: dict[str, ReceivedAnswer] = dataclasses.field(
        default_factory=dict
    )
    runs: list[EngineRun] = dataclasses.field(default_factory=list)
    # When requests were handed to an entry, which can't read them earlier.
    handed_over_at: dict[str, float] = dataclasses.field(default_factory=dict)
    # The names of these entries.
    handed_over_to: dict[str, str] = dataclasses.field(default_factory=dict)
    dispatches: list[Dispatch] = dataclasses.field(default_factory=list)
    # Start and end of the pauses of the event loop of callers and engines.
    pauses: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    holds: list[Hold] = dataclasses.field(default_factory=list)
    # Ids and times of requests that engines rejected without executing them.
    rejections: list[tuple[str, float]] = dataclasses.field(
        default_factory=list
    )
    acknowledged: list[AcknowledgedConfiguration] = dataclasses.field(
        default_factory=list
    )
    rejected_configurations: list[str] = dataclasses.field(
        default_factory=list
    )
    accepted_invalid: list[str] = dataclasses.field(default_factory=list)
    # Requests whose callers disconnected before the complete answer.
    disconnected: set[str] = dataclasses.field(default_factory=set)
    # Requests whose callers do not wait for the end of their time.
    leaving: set[str] = dataclasses.field(default_factory=set)
    read_configurations: list[ReadConfiguration] = dataclasses.field(
        default_factory=list
    )
    # Endpoint id to the time when its drain was acknowledged.
    leaving_acked_at: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    limits: list[NamedLimit] = dataclasses.field(default_factory=list)
    overloaded_engines: list[str] = dataclasses.field(default_factory=list)
    # Names and error output of processes that exited unexpectedly.
    unexpected_exits: list[str] = dataclasses.field(default_factory=list)
    # Log lines of failures that were contained, which nobody expects.
    contained_failures: list[str] = dataclasses.field(default_factory=list)
    cut_requests: list[str] = dataclasses.field(default_factory=list)
    # Spans without faults that start long enough after the last fault.
    calm_spans: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    faults: list[str] = dataclasses.field(default_factory=list)
    # Ends of requests are judged if the programs log and count them.
    has_request_ends: bool = False
    caller_ends: dict[str, CallerEnd] = dataclasses.field(default_factory=dict)
    # Requests that were handed to an entry to their last byte.
    handed_over_whole: set[str] = dataclasses.field(default_factory=set)
    # When callers sent the last byte of their requests.
    whole_at: dict[str, float] = dataclasses.field(default_factory=dict)
    vm_ends: list[VmEnd] = dataclasses.field(default_factory=list)
    end_counts: list[EndCounts] = dataclasses.field(default_factory=list)
    endings: list[Ending] = dataclasses.field(default_factory=list)
    # The name of an engine's link by its address.
    link_names: dict[str, str] = dataclasses.field(default_factory=dict)
    stops: list[Stop] = dataclasses.field(default_factory=list)
    # Spans in which entries were stopped, without other faults.
    stop_spans: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    stop_counts: list[StopCounts] = dataclasses.field(default_factory=list)
    # Spans in which the model's engines were slow.
    slow_spans: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    # What entries say of requests that failed, from their logs.
    failures: list[Failure] = dataclasses.field(default_factory=list)
    followings: list[Following] = dataclasses.field(default_factory=list)
    # The idle timeout by the version of the configuration.
    idle_seconds: dict[int, float] = dataclasses.field(default_factory=dict)
    # How often the operator sent each kind of change.
    configuration_changes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Messages of writers and callers that are unlike those of the pages.
    odd_message_count: int = 0
    # When engines crashed under a part of a prompt, and while no other fault
    # was active.
    crashed_at: dict[str, list[float]] = dataclasses.field(
        default_factory=dict
    )
    crashing_spans: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )

    def seconds_paused(self, start: float, end: float) -> float:
        """Return for how long callers and engines paused in a time span."""
        return sum(
            max(0.0, min(end, pause_end) - max(start, pause_start))
            for pause_start, pause_end in self.pauses
        )

    def seconds_held(
        self, program: str | None, start: float, end: float
    ) -> float:
        """Return for how long a program surely was held in a time span."""
        return sum(
            hold.seconds_within(start, end)
            for hold in self.holds
            if hold.program == program
        )

    def has_left_early(self, request_id: str) -> bool:
        """Return whether a caller left that had time to wait."""
        return request_id in self.leaving and request_id in self.disconnected

    def has_ended(self, name: str, start: float, end: float) -> bool:
        """Return whether an engine, entry or link ended in a time span."""
        return any(
            ending.name == name and start <= ending.at <= end
            for ending in self.endings
        )

    def idle_timeout_known(self, at: float) -> float:
        """Return the idle timeout in seconds that callers know of."""
        version = max(
            (
                acknowledged.version
                for acknowledged in self.acknowledged
                if acknowledged.at <= at
            ),
            default=None,
        )
        if version is None:
            return math.inf
        return self.idle_seconds.get(version, math.inf)

    def is_calm(self, start: float, end: float) -> bool:
        """Return whether a time span lies within a calm span."""
        return any(
            calm_start <= start and end <= calm_end
            for calm_start, calm_end in self.calm_spans
        )
