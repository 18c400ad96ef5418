"""One caller's request on its way to an answer."""

import dataclasses
import datetime

from sedgepin import _catalog as catalog
from sedgepin._gateway import _calls
from sedgepin import _model as model


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request that was let in, and what became of it so far.

    ``run_count`` counts the attempts that may have run, but for those on
    endpoints that are gone; ``may_have_run`` is about all of them.  ``tried``
    holds the endpoints that failed it.  ``waits_since`` is set while it waits
    for an endpoint.
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
    run_count: int = 0
    may_have_run: bool = False
    reroute_count: int = 0
    position: int | None = None
    has_output: bool = False
    is_rerouting: bool = False
    waits_since: datetime.datetime | None = None
    tried: set[model.EndpointId] = dataclasses.field(default_factory=set)

    @property
    def priority(self) -> int:
        """Return the rank of the request; 0 is the most urgent."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def tokens(self) -> int:
        """Return how many tokens the request will hold."""
        size = self.request.size
        if size is None:
            return 0
        return int(size.prompt_tokens + size.answer_tokens)

    @property
    def endpoint_ids(self) -> tuple[model.EndpointId, ...]:
        """Return the endpoints that the request is on now."""
        if self.dispatch is None:
            return ()
        if self.dispatch.pipeline is None:
            return (self.dispatch.endpoint_id,)
        stages = self.dispatch.pipeline.stages
        return tuple(one.endpoint_id for one in stages)

    @property
    def may_run_again(self) -> bool:
        """Tell whether one more endpoint may run the request."""
        return (
            self.route.may_repeat and self.run_count < self.route.max_attempts
        )

    def time_left(self, now: datetime.datetime) -> datetime.timedelta:
        """Return how long the caller still waits."""
        return self.deadline - now
