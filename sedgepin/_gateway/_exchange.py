"""The state of one caller's request."""

import dataclasses
import datetime

from sedgepin import _catalog as catalog
from sedgepin._gateway import _calls
from sedgepin._gateway import _own_load
from sedgepin import _model as model


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """An endpoint that may have run a request."""

    endpoint_id: model.EndpointId
    incarnation: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class Destination:
    """The endpoints that are held for the next attempt of a request.

    ``pipeline`` is ``None`` for a plain service.
    """

    address: str
    pipeline: model.Pipeline | None
    stages: tuple[Run, ...]

    @property
    def endpoint_id(self) -> model.EndpointId:
        """Return the endpoint that the request is to be sent to."""
        return self.stages[0].endpoint_id

    @property
    def endpoint_ids(self) -> tuple[model.EndpointId, ...]:
        """Return the endpoints that will run the request."""
        return tuple(stage.endpoint_id for stage in self.stages)


@dataclasses.dataclass(slots=True)
class Exchange:
    """An admitted request and the progress of its attempts.

    ``send_count`` counts all attempts, ``unsent_count`` those that reached no
    endpoint.  ``runs`` holds those that have ended
    and may have run.  ``has_reserved_retry`` is set while the next attempt
    is in the retry budget already and has not been sent.
    ``destination`` is where that attempt is to go, if a place is held for it.
    ``needs_retry`` is set while a stream that has started waits for a retry
    from the budget, which it takes no sooner than at ``retry_at``, and no
    later than at ``retry_by`` if that is set.
    ``given_up`` holds the endpoints whose attempts were cancelled, and which
    have not run the request again since.  ``yields_place`` is set once it
    waits without holding up the requests behind it.
    ``is_kept`` is set once an attempt without progress has been left alone,
    because the request can run nowhere else.
    ``stages`` holds the endpoints of the attempt as they were when it was
    sent to them; ``pipeline_before`` and ``stages_before`` are those before
    the last reroute.
    ``tried_endpoints`` holds the endpoints on which an attempt failed.
    ``position`` is the id of the last event that the caller received.
    ``queued_at`` is set while the request waits for capacity.
    ``denied_permits`` counts the permits that it asked for in vain, or could
    not use, since its last attempt.
    ``is_sustained`` is set once an attempt has sent so many events that the
    request cannot crash its engine.
    ``output_started_at`` is when the caller got the first event.
    ``sent_at`` is when the attempt in progress was sent.  ``has_begun`` is set
    once its endpoint has sent the head of an answer in one piece.
    ``ready_at`` is when the attempt had a whole answer in one piece.
    ``answer_by`` is set while the VM drains: when it ends the request.
    """

    exchange_id: int
    request: _calls.CallerRequest
    route: catalog.Route
    service: catalog.Service
    customer: catalog.Customer | None
    arrived_at: datetime.datetime
    deadline: datetime.datetime
    dispatch: _calls.Dispatch | None = None
    send_count: int = 0
    unsent_count: int = 0
    runs: list[Run] = dataclasses.field(default_factory=list)
    has_reserved_retry: bool = False
    destination: Destination | None = None
    needs_retry: bool = False
    retry_at: datetime.datetime | None = None
    retry_by: datetime.datetime | None = None
    given_up: set[model.EndpointId] = dataclasses.field(default_factory=set)
    yields_place: bool = False
    reroute_count: int = 0
    stages: tuple[Run, ...] = ()
    pipeline_before: model.Pipeline | None = None
    stages_before: tuple[Run, ...] = ()
    is_kept: bool = False
    position: int | None = None
    has_output: bool = False
    is_rerouting: bool = False
    queued_at: datetime.datetime | None = None
    denied_permits: int = 0
    is_sustained: bool = False
    output_started_at: datetime.datetime | None = None
    answer_by: datetime.datetime | None = None
    sent_at: datetime.datetime | None = None
    has_begun: bool = False
    ready_at: datetime.datetime | None = None
    tried_endpoints: set[model.EndpointId] = dataclasses.field(
        default_factory=set
    )

    @property
    def priority(self) -> int:
        """Return the priority of the request; 0 is the most urgent."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def tokens(self) -> int:
        """Return how many cached tokens the request is expected to need."""
        size = self.request.size
        if size is None:
            return 0
        return int(size.prompt_tokens + size.answer_tokens)

    @property
    def endpoint_ids(self) -> tuple[model.EndpointId, ...]:
        """Return the endpoints of the attempt in progress."""
        if self.dispatch is None:
            return ()
        if self.dispatch.pipeline is None:
            return (self.dispatch.endpoint_id,)
        stages = self.dispatch.pipeline.stages
        return tuple(stage.endpoint_id for stage in stages)

    @property
    def load(self) -> _own_load.RequestLoad:
        """Return the load of the attempt in progress on its endpoints."""
        return _own_load.RequestLoad(
            self.endpoint_ids,
            self.tokens,
            not self.has_output and not self.has_begun,
        )

    @property
    def holds_up_others(self) -> bool:
        """Return whether later requests wait for this one in the queue."""
        return not self.yields_place and not (
            self.needs_retry and not self.has_reserved_retry
        )

    @property
    def may_have_run(self) -> bool:
        """Return whether an endpoint may have run any of the request.

        That is one whose attempt has ended so, the one of the attempt in
        progress, or the one that the caller's output came from.
        """
        return bool(self.runs) or self.dispatch is not None or self.has_output

    @property
    def current_run(self) -> Run | None:
        """Return the endpoint of the attempt in progress."""
        if self.dispatch is None:
            return None
        return Run(self.dispatch.endpoint_id, self.dispatch.incarnation)

    def time_left(self, now: datetime.datetime) -> datetime.timedelta:
        """Return the time until the request must end; negative after it."""
        if self.answer_by is None:
            return self.deadline - now
        return min(self.deadline, self.answer_by) - now

    @property
    def is_bounded_by_drain(self) -> bool:
        """Return whether the VM ends the request before its deadline."""
        return self.answer_by is not None and self.answer_by < self.deadline
