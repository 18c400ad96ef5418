"""State and helpers shared by the parts of the gateway's reducer."""

import datetime
import random

from sedgepin import _catalog as catalog
from sedgepin import _crash_causes as crash_causes
from sedgepin import _forwarding as forwarding
from sedgepin._gateway import _calls
from sedgepin._gateway import _drain
from sedgepin._gateway import _effects
from sedgepin._gateway import _exchange
from sedgepin._gateway import _fleet
from sedgepin._gateway import _level_counts
from sedgepin._gateway import _own_load
from sedgepin._gateway import _request_queue
from sedgepin._gateway import _retry_budget
from sedgepin._gateway import _settings
from sedgepin._gateway import _startup_queue
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _rate_limits as rate_limits
from sedgepin import _service_levels as service_levels
from sedgepin import events

Effects = list[_effects.GatewayEffect]


class SharedState:
    """The state of one gateway, without its timers and connections."""

    __slots__ = (
        "awaiting_path",
        "crash_causes",
        "drain",
        "exchanges",
        "fleet",
        "level_counts",
        "links",
        "permits",
        "queues",
        "retry_budget",
        "rng",
        "startup_queue",
        "table",
        "unreachable_endpoints",
    )

    def __init__(
        self,
        cfg: _settings.GatewaySettings,
        rng: random.Random,
        now: datetime.datetime,
    ) -> None:
        self.rng = rng
        self.table: catalog.RouteTable | None = None
        self.permits = rate_limits.Permits(cfg.vm_id, rng)
        self.fleet = _fleet.Fleet(
            cfg.data_centre, cfg.heartbeat_timeout, rng, self.permits
        )
        self.retry_budget = _retry_budget.RetryBudget(cfg.retries)
        self.crash_causes = crash_causes.CrashCauseTracker(cfg.vm_id, now)
        self.level_counts = _level_counts.LevelCounts(
            service_levels.ServiceLevels(cfg.vm_id, cfg.data_centre, now)
        )
        self.startup_queue = _startup_queue.StartupQueue(now)
        self.queues = _request_queue.RequestQueues()
        self.exchanges: dict[int, _exchange.Exchange] = {}
        self.drain = _drain.DrainBound(self.exchanges)
        self.links = forwarding.EndpointLinks(rng)
        # Requests for which forwarders have been asked for.
        self.awaiting_path: dict[int, _exchange.Exchange] = {}
        # Endpoints that did not respond, not yet reported to control VMs.
        self.unreachable_endpoints: list[model.EndpointId] = []

    def suspect(
        self,
        endpoint_id: model.EndpointId,
        reason: str,
        now: datetime.datetime,
        is_unreached: bool = False,
    ) -> Effects:
        """Exclude an endpoint from new work for a while, and log that.

        ``is_unreached`` tells that no connection to it could be made.
        """
        if not self.fleet.suspect(endpoint_id, now, is_unreached):
            return []
        line = events.ENDPOINT_SUSPECTED.line(
            endpoint=endpoint_id, failure=reason
        )
        return [log(line)]

    def choose_forwarder(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> protocol.Forwarder | None:
        """Return who is to forward to an endpoint; ``None`` for nobody."""
        if not self.links.is_unreachable(endpoint_id):
            return None
        return self.links.choose_forwarder(now)

    def has_detour(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Return whether a broken path can be, or may soon be, replaced."""
        return self.links.is_unreachable(
            endpoint_id
        ) and self.has_forwarder_soon(now)

    def has_forwarder_soon(self, now: datetime.datetime) -> bool:
        """Return whether there is, or may be in a moment, a forwarder."""
        return (
            self.links.has_forwarder(now)
            or self.links.awaits_forwarders(now)
            or self.links.expects_forwarder(now)
        )

    def must_await_path(self, now: datetime.datetime) -> bool:
        """Return whether requests are to wait a moment for a forwarder."""
        return (
            self.links.is_cut_off
            and not self.links.has_forwarder(now)
            and (
                self.links.awaits_forwarders(now)
                or self.links.expects_forwarder(now)
            )
        )

    def find_cause(
        self, request: _calls.CallerRequest, now: datetime.datetime
    ) -> crash_causes.Cause | None:
        """Return why a request must not be sent to an endpoint, if at all."""
        if not self.crash_causes.held_causes:
            return None
        return self.crash_causes.find_cause(request.traits, now)

    def may_crash_another(self, exchange: _exchange.Exchange) -> bool:
        """Return whether a request without output may end one more engine."""
        return (
            not exchange.has_output
            and self.crash_causes.has_evidence
            and self.crash_causes.is_suspected(exchange.request.as_suspect())
        )

    def run_count(self, exchange: _exchange.Exchange) -> int:
        """Return how many attempts count towards the limit of the route.

        Those on endpoints that have ended since do not.
        """
        return sum(not self.has_ended(run) for run in exchange.runs)

    def has_used_up_attempts(self, exchange: _exchange.Exchange) -> bool:
        """Return whether the limit of the route forbids one more attempt."""
        if not exchange.runs:
            return False
        return self.run_count(exchange) >= exchange.route.max_attempts

    def engines_to_return_to(
        self, exchange: _exchange.Exchange
    ) -> frozenset[model.EndpointId]:
        """Return the endpoints that may go on with a stream that has started.

        It was taken from them, and none of them is known to have ended.
        """
        if not exchange.has_output or not exchange.route.is_retryable:
            return frozenset()
        return frozenset(
            run.endpoint_id
            for run in exchange.runs
            if run.endpoint_id in exchange.given_up and not self.has_ended(run)
        )

    def allowed_endpoints(
        self, exchange: _exchange.Exchange
    ) -> frozenset[model.EndpointId] | None:
        """Return the only endpoints to send to; ``None`` if any will do."""
        if not self.has_used_up_attempts(exchange):
            return None
        return self.engines_to_return_to(exchange)

    def hold(
        self,
        exchange: _exchange.Exchange,
        destination: _exchange.Destination,
    ) -> None:
        """Count the next attempt of a request as load of its endpoints."""
        exchange.destination = destination
        self.fleet.add_load(_held_load(exchange, destination))

    def take_destination(
        self, exchange: _exchange.Exchange
    ) -> _exchange.Destination | None:
        """Return what is held for a request, and hold it no longer."""
        destination = exchange.destination
        if destination is not None:
            exchange.destination = None
            self.fleet.remove_load(_held_load(exchange, destination))
        return destination

    def is_available(
        self, destination: _exchange.Destination, now: datetime.datetime
    ) -> bool:
        """Return whether a request may be sent to a destination at once.

        Its endpoints may have left, moved layers or named a limit meanwhile.
        """
        first = destination.stages[0]
        if self.permits.limits.find(first.endpoint_id, first.incarnation or 0):
            return False
        if self.runs_on(destination.endpoint_ids) != destination.stages:
            return False
        if destination.pipeline is None:
            return self.fleet.is_usable(first.endpoint_id, now)
        return all(
            self.fleet.may_run(stage, now)
            for stage in destination.pipeline.stages
        )

    def may_run_again(self, exchange: _exchange.Exchange) -> bool:
        """Return whether one more endpoint may get the request.

        The attempt in progress, if there is one, is taken as lost.
        """
        run_count = self.run_count(exchange)
        current = exchange.current_run
        if current is not None and not self.has_ended(current):
            run_count += 1
        return (
            exchange.route.is_retryable
            and run_count < exchange.route.max_attempts
            and not self.may_crash_another(exchange)
        )

    def retry_obstacle(self, exchange: _exchange.Exchange) -> str:
        """Return why a request without a retry is not sent once more."""
        if not exchange.route.is_retryable:
            return "the route allows no retry"
        if self.has_used_up_attempts(exchange):
            return "its attempts are used up"
        if self.may_crash_another(exchange):
            return "it may crash another endpoint"
        return "the retry budget is spent"

    def reserve_retry(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> bool:
        """Take a retry from the budget, unless the request has one."""
        if not exchange.has_reserved_retry:
            exchange.has_reserved_retry = self.retry_budget.try_spend(
                exchange.service.name, now
            )
        return exchange.has_reserved_retry

    def reserve_due_retry(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> bool:
        """Take a retry from the budget, unless it is too early for it."""
        if exchange.retry_at is not None and now < exchange.retry_at:
            return False
        return self.reserve_retry(exchange, now)

    def return_retry(self, exchange: _exchange.Exchange) -> None:
        """Give back the retry of a request that does not need it."""
        if exchange.has_reserved_retry:
            exchange.has_reserved_retry = False
            self.retry_budget.give_back(exchange.service.name)

    def has_ended(self, run: _exchange.Run) -> bool:
        """Return whether the endpoint of a run is known to have ended."""
        return self.fleet.registry.has_ended(run.endpoint_id, run.incarnation)

    def runs_on(
        self, endpoint_ids: tuple[model.EndpointId, ...]
    ) -> tuple[_exchange.Run, ...]:
        """Return the endpoints with their incarnations of now."""
        records = map(self.fleet.registry.find, endpoint_ids)
        return tuple(
            _exchange.Run(
                endpoint_id,
                None if record is None else record.registration.incarnation,
            )
            for endpoint_id, record in zip(endpoint_ids, records, strict=True)
        )

    def record_begun(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> None:
        """Record for the endpoint's limit that a request's answer begins."""
        dispatch = exchange.dispatch
        if (
            dispatch is None
            or dispatch.incarnation is None
            or exchange.sent_at is None
            or exchange.has_output
            or exchange.has_begun
        ):
            return
        target = exchange.route.first_output_target
        is_late = bool(target) and now - exchange.sent_at > target
        self.fleet.pace.record_begun(
            dispatch.endpoint_id, dispatch.incarnation, is_late
        )

    def release(self, exchange: _exchange.Exchange) -> None:
        """Remove a request's load from its endpoints and end its dispatch."""
        self.fleet.remove_load(exchange.load)
        exchange.dispatch = None
        exchange.ready_at = None


def _held_load(
    exchange: _exchange.Exchange, destination: _exchange.Destination
) -> _own_load.RequestLoad:
    """Return the load of an attempt that has not been sent yet."""
    return _own_load.RequestLoad(destination.endpoint_ids, exchange.tokens)


def log(line: events.LogLine) -> _effects.WriteLog:
    """Return the effect that logs a line."""
    return _effects.WriteLog(line)


def milliseconds(duration: datetime.timedelta) -> int:
    """Return a duration in whole milliseconds, for log lines."""
    return int(duration.total_seconds() * 1000)


def format_pipeline(pipeline: model.Pipeline | None) -> str:
    """Return a pipeline for log lines, such as ``a=0-2,b=2-4``."""
    if pipeline is None:
        return ""
    return ",".join(
        f"{stage.endpoint_id}={stage.layers.first}-{stage.layers.end}"
        for stage in pipeline.stages
    )
