"""What callers, engines and the operator saw, for judgement at the end.

All times are in seconds of the soak's own clock.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Sent:
    """A request as a caller sent it."""

    request_id: str
    kind: str
    target: str
    body: bytes
    key: str
    at: float
    time_left_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """What a caller received; status 0 if there was no whole head."""

    request_id: str
    status: int
    seal: str
    body: bytes
    is_complete: bool
    at: float
    has_retry_after: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """A request that an engine began to work on, and what it answered."""

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


@dataclasses.dataclass(slots=True, frozen=True)
class Acknowledged:
    """A configuration that was acknowledged to the operator."""

    version: int
    document: bytes
    sent_at: float
    at: float


@dataclasses.dataclass(slots=True, frozen=True)
class ReadBack:
    """A configuration that was read back."""

    version: int
    document: bytes
    sent_at: float


@dataclasses.dataclass(slots=True)
class Record:
    """Everything that is judged."""

    sent: dict[str, Sent] = dataclasses.field(default_factory=dict)
    answers: dict[str, Answer] = dataclasses.field(default_factory=dict)
    runs: list[Run] = dataclasses.field(default_factory=list)
    # Requests that engines turned away without running them, and when.
    turned_away: list[tuple[str, float]] = dataclasses.field(
        default_factory=list
    )
    acknowledged: list[Acknowledged] = dataclasses.field(default_factory=list)
    refused_configurations: list[str] = dataclasses.field(default_factory=list)
    accepted_invalid: list[str] = dataclasses.field(default_factory=list)
    # Requests whose callers left before the whole answer.
    left: set[str] = dataclasses.field(default_factory=set)
    read_back: list[ReadBack] = dataclasses.field(default_factory=list)
    # Endpoint to when its leaving was acknowledged.
    leaving: dict[str, float] = dataclasses.field(default_factory=dict)
    overfull: list[str] = dataclasses.field(default_factory=list)
    # Processes that ended by themselves, and what they wrote to say why.
    own_exits: list[str] = dataclasses.field(default_factory=list)
    # Spans without faults, and long enough after one.
    calm: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)

    def is_calm(self, start: float, end: float) -> bool:
        """Tell whether no fault was near a span of time."""
        return any(one <= start and end <= two for one, two in self.calm)
