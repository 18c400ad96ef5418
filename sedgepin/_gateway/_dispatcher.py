"""Admission of requests and their dispatch to endpoints."""

import datetime

from sedgepin import _catalog as catalog
from sedgepin import _crash_causes as crash_causes
from sedgepin._gateway import _calls
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway import _exchange
from sedgepin._gateway import _failures
from sedgepin._gateway import _permit_waits
from sedgepin._gateway import _request_queue
from sedgepin._gateway import _shared_state
from sedgepin import _memory as memory
from sedgepin import _model as model
from sedgepin import _placement as placement
from sedgepin import _rate_limits as rate_limits
from sedgepin import errors
from sedgepin import events

_Permission = rate_limits.Permission

_AT_ONCE = datetime.timedelta()
# Callers retry no sooner after a pause that is about to end.
_MIN_RETRY_AFTER = datetime.timedelta(milliseconds=250)
# Bounds the searches for streams that have waited long and find no place.
_MAX_YIELDING = 4


class RequestDispatcher:
    """Admits, dispatches, queues and fails requests."""

    __slots__ = ("_state", "_waits")

    def __init__(self, state: _shared_state.SharedState) -> None:
        self._state = state
        self._waits = _permit_waits.PermitWaits(state)

    def admit(
        self,
        event: _events.RequestArrived,
        arrived_at: datetime.datetime,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Admit and dispatch a request, or reject it.

        A VM that has just started holds a request that it cannot serve yet.
        """
        request = event.request
        table = self._state.table
        if table is None:
            effects = self._hold(event, arrived_at, now)
            if effects is not None:
                return effects
            return self._reject(event, _failures.NoConfiguration(), now)
        route = table.find(request.host, request.path)
        if route is None:
            return self._reject(event, _failures.RouteUnknown(), now)
        customer: catalog.Customer | None = None
        if request.api_key is not None:
            customer = table.customer(request.api_key)
        if table.configuration.customers and not route.is_public:
            if customer is None:
                return self._reject(
                    event, _failures.KeyUnknown(), now, None, route
                )
        service = self._choose_service(table, route)
        if service is None:
            return self._reject(
                event, _failures.RouteUnknown(), now, customer, route
            )
        cause = self._state.find_cause(request, now)
        if cause is not None:
            held_back = crash_causes.held_back_line(request.request_id, cause)
            failure = _failures.RequestQuarantined(str(cause))
            return [
                _shared_state.log(held_back),
                *self._reject(event, failure, now, customer, route),
            ]
        if self._state.startup_queue.is_open(now) and (
            not self._state.fleet.knows_endpoints(service, request.size, now)
        ):
            effects = self._hold(event, arrived_at, now)
            if effects is not None:
                return effects
        time_left = route.timeout
        if request.time_left is not None:
            time_left = min(time_left, request.time_left)
        exchange = _exchange.Exchange(
            event.exchange_id,
            request,
            route,
            service,
            customer,
            arrived_at,
            arrived_at + time_left,
            position=request.resume_after,
            answer_by=self._state.drain.answer_by,
        )
        decisions: _shared_state.Effects = []
        if self._state.drain.answer_by is not None:
            decisions.append(self._log_drain_decision(exchange, now))
            if not self._state.drain.may_send(exchange, now):
                draining = self._draining(exchange, now)
                return decisions + self._reject(
                    event, draining, now, customer, route
                )
        self._state.exchanges[event.exchange_id] = exchange
        set_deadline = _effects.SetDeadline(
            event.exchange_id, exchange.time_left(now)
        )
        dispatched = self.dispatch_or_queue(exchange, now)
        return [*decisions, set_deadline, *dispatched]

    def dispatch_or_queue(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Send a request to the best endpoint, queue it or fail it.

        Return no effects if a queued request must keep waiting.
        """
        destination = self._state.take_destination(exchange)
        cause = self._state.find_cause(exchange.request, now)
        if cause is not None:
            return self._hold_back(exchange, cause, now)
        allowed = self._state.allowed_endpoints(exchange)
        if allowed is not None and not allowed:
            # Since the retry was granted, an endpoint has turned out to go on.
            used_up = _failures.OutcomeUnknown("its attempts are used up")
            return self.fail(exchange, used_up, now)
        if not self._state.drain.may_send(exchange, now):
            return self._fail_by_drain(exchange, now)
        if self._state.must_await_path(now):
            self._state.awaiting_path[exchange.exchange_id] = exchange
            return []
        if allowed is not None:
            exchange.yields_place = True
        if exchange.needs_retry and not (
            self._state.reserve_due_retry(exchange, now)
        ):
            if exchange.retry_by is not None and now >= exchange.retry_by:
                obstacle = self._state.retry_obstacle(exchange)
                if not exchange.may_have_run:
                    return self.fail_refused(exchange, now, obstacle)
                failure = _failures.OutcomeUnknown(obstacle)
                return self.fail(exchange, failure, now, obstacle)
            return self._enqueue(exchange, 0.0, now)
        if (
            destination is not None
            and allowed is None
            and self._state.is_available(destination, now)
        ):
            return self.start_attempt(
                exchange,
                destination.endpoint_id,
                destination.address,
                destination.pipeline,
                now,
            )
        if exchange.service.engine is None or exchange.request.size is None:
            return self._dispatch_to_endpoint(exchange, now)
        return self._dispatch_to_pipeline(
            exchange,
            exchange.request.size,
            self._waits.first_wait(exchange, now),
            now,
        )

    def fail_refused(
        self,
        exchange: _exchange.Exchange,
        now: datetime.datetime,
        obstacle: str | None = None,
    ) -> _shared_state.Effects:
        """Fail a request that endpoints have refused without running it.

        Its caller may retry when capacity is expected.
        """
        queue = self._state.queues.for_service(exchange.service.name)
        failure = _failures.RefusedByEndpoints(
            exchange.send_count, self._waits.retry_after(exchange, queue, now)
        )
        return self.fail(
            exchange, self.adjust_outcome(exchange, failure), now, obstacle
        )

    def start_draining(self, now: datetime.datetime) -> _shared_state.Effects:
        """Let all open requests end in time, now that the VM drains."""
        effects: _shared_state.Effects = []
        for exchange in self._state.exchanges.values():
            exchange.answer_by = self._state.drain.answer_by
            if exchange.is_bounded_by_drain:
                time_left = exchange.time_left(now)
                effects.append(
                    _effects.SetDeadline(exchange.exchange_id, time_left)
                )
        return effects + self.refuse_endless(now)

    def refuse_endless(self, now: datetime.datetime) -> _shared_state.Effects:
        """Refuse what waits and would not end before this VM stops."""
        if self._state.drain.answer_by is None:
            return []
        effects: _shared_state.Effects = []
        for held in self._state.startup_queue.take_all():
            effects += self._reject(held.event, _failures.Draining(), now)
        for exchange in list(self._state.exchanges.values()):
            is_waiting = exchange.dispatch is None
            if is_waiting and not self._state.drain.may_send(exchange, now):
                effects += self._fail_by_drain(exchange, now)
        return effects

    def _fail_by_drain(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Fail a request that would not end before this VM stops."""
        failure = self._failure_by_drain(exchange, now)
        line = self._log_drain_decision(exchange, now)
        return [line, *self.fail(exchange, failure, now)]

    def _failure_by_drain(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> errors.Failure:
        """Return the failure of a request that ends because this VM stops."""
        if exchange.may_have_run:
            return _failures.DrainEnded()
        return self._draining(exchange, now)

    def _draining(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _failures.Draining:
        """Return the refusal of a request, with a time to come back."""
        delay = self._state.drain.return_delay(now, self._state.rng)
        if delay is None or delay >= exchange.deadline - now:
            return _failures.Draining()
        return _failures.Draining(delay)

    def _log_drain_decision(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _effects.WriteLog:
        """Return the log line of what this VM, which drains, decides."""
        decision = self._state.drain.decide(exchange, now)
        return _shared_state.log(
            events.DRAIN_DECISION.line(
                request=exchange.request.request_id,
                is_sent=decision.is_sent,
                reason=decision.reason.value,
                probability=decision.probability,
                milliseconds_left=_shared_state.milliseconds(
                    exchange.time_left(now)
                ),
            )
        )

    def _dispatch_to_pipeline(
        self,
        exchange: _exchange.Exchange,
        size: placement.RequestSize,
        permit_wait: datetime.timedelta | None,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Send a request to the best pipeline, or let it wait, or fail it.

        See ``Fleet.find_pipeline`` for ``permit_wait``.
        """
        queue = self._state.queues.for_service(exchange.service.name)
        candidate = self._find_pipeline(exchange, size, permit_wait, now)
        # A new request does not overtake those that wait for capacity; a
        # stream that has started may.
        is_overtaking = (
            exchange.queued_at is None
            and not exchange.has_output
            and self._waits.has_others(queue)
        )
        fits = candidate is not None and candidate.cache_utilization <= 1.0
        if candidate is not None and fits and not is_overtaking:
            first = candidate.pipeline.stages[0]
            permission = self._waits.obtain(
                exchange, first.endpoint_id, permit_wait or _AT_ONCE, now
            )
            if permission is _Permission.ASKED:
                return self._waits.begin(exchange, permit_wait, now)
            if permission is _Permission.DENIED:
                return self._dispatch_to_pipeline(exchange, size, None, now)
            return self.start_attempt(
                exchange,
                first.endpoint_id,
                first.address,
                candidate.pipeline,
                now,
            )
        if permit_wait == _AT_ONCE:
            longest_wait = self._waits.longest_wait(exchange, now)
            if longest_wait > _AT_ONCE:
                return self._dispatch_to_pipeline(
                    exchange, size, longest_wait, now
                )
        if candidate is None:
            return self._handle_no_pipeline(exchange, now)
        return self._enqueue_or_fail(
            exchange, candidate.cache_utilization, now
        )

    def _find_pipeline(
        self,
        exchange: _exchange.Exchange,
        size: placement.RequestSize,
        permit_wait: datetime.timedelta | None,
        now: datetime.datetime,
    ) -> placement.PipelineCandidate | None:
        """Return the best pipeline that a request may use.

        After a first engine was not reached, it is one that was just now.
        """
        fleet = self._state.fleet
        allowed = self._state.allowed_endpoints(exchange)
        if allowed is not None:
            return fleet.find_pipeline(
                exchange.service, size, now, permit_wait, allowed
            )
        heads: frozenset[model.EndpointId] = frozenset()
        if exchange.unsent_count:
            heads = self._state.links.proven(now)
        if heads:
            proven = fleet.find_pipeline(
                exchange.service, size, now, permit_wait, heads
            )
            if proven is not None and proven.cache_utilization <= 1.0:
                return proven
        return fleet.find_pipeline(exchange.service, size, now, permit_wait)

    def serve_queues(self, now: datetime.datetime) -> _shared_state.Effects:
        """Dispatch queued requests while capacity lasts; fail overdue ones."""
        effects: _shared_state.Effects = []
        held_requests = self._state.startup_queue.take_all()
        if held_requests and self._state.table is not None:
            self._state.fleet.unreported_load.record_release(
                len(held_requests), now
            )
        for held in held_requests:
            effects += self.admit(held.event, held.arrived_at, now)
        if not self._state.must_await_path(now):
            waiting = list(self._state.awaiting_path.values())
            self._state.awaiting_path.clear()
            for exchange in waiting:
                effects += self.dispatch_or_queue(exchange, now)
        for queue in self._state.queues:
            effects += self._serve_queue(queue, now)
            for exchange in queue.overdue(now):
                if exchange.has_output:
                    queue.restart_wait(exchange, now)
                    continue
                queue.dequeue(exchange)
                failure: errors.Failure = _failures.NoEndpoint(
                    exchange.service.name,
                    self._waits.retry_after(exchange, queue, now),
                )
                effects += self.fail(
                    exchange, self.adjust_outcome(exchange, failure), now
                )
        return effects

    def _serve_queue(
        self, queue: _request_queue.RequestQueue, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Dispatch the requests of a queue while capacity lasts.

        Those that wait for a permit hold up no other, nor do streams that
        have waited long.
        """
        effects: _shared_state.Effects = []
        has_room = True
        yielding_ids = queue.next_yielding(_MAX_YIELDING)
        permits = self._state.permits
        for exchange in queue.in_order():
            if not has_room and permits.has_pending(exchange.exchange_id):
                continue
            is_in_turn = exchange.exchange_id in yielding_ids
            if exchange.yields_place and not is_in_turn:
                continue
            request_effects = self.dispatch_or_queue(exchange, now)
            effects += request_effects
            if request_effects:
                continue
            if not exchange.holds_up_others:
                continue
            has_room = False
            if not permits.has_pending(exchange.exchange_id):
                break
        return effects

    def record_output_started(
        self, exchange_id: int, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Record that the caller has received the first event."""
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is None:
            return []
        self._state.record_begun(exchange, now)
        self._state.level_counts.check_first_output(exchange, now)
        self._state.fleet.remove_load(exchange.load)
        exchange.has_output = True
        exchange.output_started_at = now
        self._state.fleet.add_load(exchange.load)
        for endpoint_id in exchange.endpoint_ids:
            self._state.fleet.clear_suspicion(endpoint_id)
        duration = now - exchange.arrived_at
        return [_effects.RecordDuration("first_output", duration)]

    def record_answer_begun(
        self,
        exchange_id: int,
        endpoint_id: model.EndpointId,
        now: datetime.datetime,
    ) -> None:
        """Record that the head of an answer in one piece has arrived."""
        exchange = self._state.exchanges.get(exchange_id)
        if (
            exchange is None
            or exchange.dispatch is None
            or exchange.dispatch.endpoint_id != endpoint_id
        ):
            return
        self._state.record_begun(exchange, now)
        self._state.fleet.pace.remove_load(exchange.load)
        exchange.has_begun = True

    def record_answer_ready(
        self, exchange_id: int, now: datetime.datetime
    ) -> None:
        """Record that an answer in one piece is about to be sent."""
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is not None:
            exchange.ready_at = now

    def handle_caller_disconnect(
        self, exchange_id: int, cut_code: str | None, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Remove a request whose caller disconnected.

        ``cut_code`` is why this VM cut its answer, if it did.
        """
        held = self._state.startup_queue.discard(exchange_id)
        if held is not None:
            line = events.CALLER_LEFT.line(
                request=held.event.request.request_id,
                position=held.event.request.resume_after,
                milliseconds=_shared_state.milliseconds(now - held.arrived_at),
            )
            return [_shared_state.log(line)]
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is None:
            return []
        line = events.CALLER_LEFT.line(
            request=exchange.request.request_id,
            position=exchange.position,
            milliseconds=_shared_state.milliseconds(now - exchange.arrived_at),
        )
        self._state.drain.record_end(exchange, False, now)
        self._state.level_counts.check_first_output(exchange, now)
        if cut_code is not None:
            self._state.level_counts.count_failed(exchange, cut_code, now)
        self.remove(exchange)
        return [_shared_state.log(line)]

    def cut_open_requests(
        self, event: _events.DrainEnded, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Remove the requests that end with the process, and log them."""
        effects: _shared_state.Effects = []
        held_requests = self._state.startup_queue.take_all()
        for held in held_requests:
            line = events.REQUEST_CUT.line(
                request=held.event.request.request_id,
                attempts=0,
                may_have_run=False,
                position=held.event.request.resume_after,
                milliseconds=_shared_state.milliseconds(now - held.arrived_at),
            )
            effects.append(_shared_state.log(line))
            self._state.level_counts.count_held_cut(now)
        exchanges = list(self._state.exchanges.values())
        for exchange in exchanges:
            age = now - exchange.arrived_at
            is_running = exchange.dispatch is not None
            line = events.REQUEST_CUT.line(
                request=exchange.request.request_id,
                attempts=exchange.send_count,
                may_have_run=is_running or exchange.may_have_run,
                position=exchange.position,
                milliseconds=_shared_state.milliseconds(age),
            )
            effects.append(_shared_state.log(line))
            self._state.level_counts.count_cut(exchange, now)
            self.remove(exchange)
        line = events.DRAIN_ENDED.line(
            cut_requests=len(held_requests) + len(exchanges),
            cut_forwards=event.open_forwards,
            unread_requests=event.unread_requests,
        )
        return [*effects, _shared_state.log(line)]

    def handle_deadline(
        self, exchange_id: int, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Fail a request whose deadline has passed."""
        held = self._state.startup_queue.discard(exchange_id)
        if held is not None:
            return self._reject(held.event, _failures.NoConfiguration(), now)
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is None:
            # The request has ended, but its answer was not sent in time.
            return [_effects.FinishExchange(exchange_id)]
        failure: errors.Failure = _failures.DeadlinePassed()
        if exchange.is_bounded_by_drain:
            failure = self._failure_by_drain(exchange, now)
        elif exchange.send_count == 0:
            failure = _failures.NoEndpoint(exchange.service.name)
        self._state.drain.record_end(exchange, False, now)
        return self.fail(exchange, failure, now)

    def handle_eviction(
        self, exchange_id: int, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Fail a request whose bytes are not held any longer."""
        held = self._state.startup_queue.discard(exchange_id)
        if held is not None:
            return self._reject(held.event, memory.MemoryExhausted(), now)
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is None:
            # The request has ended, but its answer was not sent in time.
            return [_effects.FinishExchange(exchange_id)]
        failure: errors.Failure = memory.MemoryExhausted()
        if (
            exchange.dispatch is not None
            or exchange.may_have_run
            or exchange.has_output
        ):
            failure = _failures.OutcomeUnknown(failure.detail())
        return self.fail(exchange, failure, now)

    def fail(
        self,
        exchange: _exchange.Exchange,
        failure: errors.Failure,
        now: datetime.datetime,
        obstacle: str | None = None,
    ) -> _shared_state.Effects:
        """Remove a request and report a failure to its caller.

        ``obstacle`` is why it is not sent once more, for the log.
        """
        may_have_run = exchange.may_have_run
        self.remove(exchange)
        self._state.level_counts.count_failed(exchange, failure.code, now)
        line = events.REQUEST_FAILED.line(
            request=exchange.request.request_id,
            route=exchange.route.name,
            code=failure.code,
            detail=failure.detail(),
            attempts=exchange.send_count,
            may_have_run=may_have_run,
            position=exchange.position,
            milliseconds=_shared_state.milliseconds(now - exchange.arrived_at),
            obstacle=obstacle,
        )
        effects: _shared_state.Effects = [_shared_state.log(line)]
        if isinstance(failure, _failures.NoEndpoint):
            effects += self._log_missing_path(exchange, now)
        return [
            *effects,
            _effects.FailExchange(exchange.exchange_id, failure),
        ]

    def _log_missing_path(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Tell why no other VM has carried a request, if paths are broken."""
        links = self._state.links
        if not links.has_failures:
            return []
        offered, usable = links.forwarder_counts(now)
        line = events.PATH_MISSING.line(
            request=exchange.request.request_id,
            cut_off=links.is_cut_off,
            forwarders=offered,
            usable_forwarders=usable,
            failed_endpoints=len(links.failed_endpoints),
        )
        return [_shared_state.log(line)]

    def enforce_causes(self, now: datetime.datetime) -> _shared_state.Effects:
        """Stop the requests that may crash an endpoint, as is known now.

        One whose output goes on is no danger.  One that has begun its output
        and was on lost endpoints may have been there by chance: it is not
        sent again, but ends where it is.
        """
        effects: _shared_state.Effects = []
        for exchange in list(self._state.exchanges.values()):
            cause = self._state.find_cause(exchange.request, now)
            if cause is None or exchange.is_sustained:
                continue
            if exchange.dispatch is None:
                effects += self._hold_back(exchange, cause, now)
            elif not (exchange.has_output and cause.is_of_one_request):
                effects.append(_effects.CancelAttempt(exchange.exchange_id))
        return effects

    def _hold_back(
        self,
        exchange: _exchange.Exchange,
        cause: crash_causes.Cause,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Fail a request that contains what crashes endpoints."""
        line = crash_causes.held_back_line(exchange.request.request_id, cause)
        failure = _failures.RequestQuarantined(str(cause))
        return [
            _shared_state.log(line),
            *self.fail(exchange, self.adjust_outcome(exchange, failure), now),
        ]

    def _hold(
        self,
        event: _events.RequestArrived,
        arrived_at: datetime.datetime,
        now: datetime.datetime,
    ) -> _shared_state.Effects | None:
        """Hold a request, or return ``None`` if it must not wait."""
        if self._state.drain.answer_by is not None:
            return None
        if not self._state.startup_queue.try_hold(event, arrived_at, now):
            return None
        if now > arrived_at:
            # It was held before, and logged.
            return []
        line = events.REQUEST_HELD.line(
            request=event.request.request_id,
            host=event.request.host,
            path=event.request.path,
        )
        return [_shared_state.log(line)]

    def _reject(
        self,
        event: _events.RequestArrived,
        failure: errors.Failure,
        now: datetime.datetime,
        customer: catalog.Customer | None = None,
        route: catalog.Route | None = None,
    ) -> _shared_state.Effects:
        """Report the failure of a request that was not admitted."""
        self._state.level_counts.count_rejected(
            customer, route, failure.code, now
        )
        table = self._state.table
        version = 0 if table is None else table.configuration.version
        line = events.REQUEST_TURNED_AWAY.line(
            request=event.request.request_id,
            host=event.request.host,
            path=event.request.path,
            code=failure.code,
            configuration=version,
        )
        return [
            _shared_state.log(line),
            _effects.FailExchange(event.exchange_id, failure),
        ]

    def _choose_service(
        self, table: catalog.RouteTable, route: catalog.Route
    ) -> catalog.Service | None:
        """Return a random service of the route, by the targets' weights."""
        weights = [target.weight for target in route.targets]
        target = route.targets[0]
        if len(route.targets) > 1:
            target = self._state.rng.choices(route.targets, weights)[0]
        return table.service(target.service)

    def _dispatch_to_endpoint(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _shared_state.Effects:
        waits = [self._waits.first_wait(exchange, now)]
        if waits == [_AT_ONCE]:
            waits.append(self._waits.longest_wait(exchange, now))
        for permit_wait in waits:
            registration = self._choose_endpoint(exchange, permit_wait, now)
            if registration is None:
                continue
            permission = self._waits.obtain(
                exchange,
                registration.endpoint_id,
                permit_wait or _AT_ONCE,
                now,
            )
            if permission is _Permission.ASKED:
                return self._waits.begin(exchange, permit_wait, now)
            if permission is _Permission.GRANTED:
                return self.start_attempt(
                    exchange,
                    registration.endpoint_id,
                    registration.address,
                    None,
                    now,
                )
        return self._handle_no_pipeline(exchange, now)

    def _choose_endpoint(
        self,
        exchange: _exchange.Exchange,
        permit_wait: datetime.timedelta | None,
        now: datetime.datetime,
    ) -> catalog.Registration | None:
        """Return the endpoint for a request, if one may take it by then."""
        service = exchange.service
        allowed = self._state.allowed_endpoints(exchange)
        if allowed is not None:
            return self._state.fleet.choose_endpoint(
                service, frozenset(), now, permit_wait, allowed
            )
        if exchange.unsent_count:
            proven = self._state.links.proven(now)
            registration = self._state.fleet.choose_endpoint(
                service, exchange.tried_endpoints, now, permit_wait, proven
            )
            if registration is not None:
                return registration
        registration = self._state.fleet.choose_endpoint(
            service, exchange.tried_endpoints, now, permit_wait
        )
        if registration is None and exchange.has_output:
            # The endpoint on which the stream broke off may resume it.
            registration = self._state.fleet.choose_endpoint(
                service, frozenset(), now, permit_wait
            )
        return registration

    def _handle_no_pipeline(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Queue a stream that has started; fail any other request."""
        if self._state.permits.has_pending(exchange.exchange_id):
            return []
        if exchange.has_output:
            return self._enqueue_or_fail(exchange, 0.0, now)
        return self._fail_without_endpoint(exchange, now)

    def _fail_without_endpoint(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _shared_state.Effects:
        """Fail a request that no endpoint may get now.

        If endpoints have asked for a pause, or have named a limit, the caller
        may retry when the first of them takes requests again.
        """
        service = exchange.service.name
        effects: _shared_state.Effects = []
        limited = self._state.fleet.limited(service, now)
        if limited:
            effects.append(self._waits.log_limited(exchange, now))
        free_at = [at for _, at in limited]
        paused_until = self._state.fleet.end_of_pauses(service, now)
        if paused_until is not None:
            free_at.append(paused_until)
        failure = _failures.NoEndpoint(service)
        if free_at:
            retry_after = max(min(free_at) - now, _MIN_RETRY_AFTER)
            if limited:
                queue = self._state.queues.for_service(service)
                retry_after = queue.retry_after(exchange, now, retry_after)
            failure = _failures.NoEndpoint(service, retry_after)
        return effects + self.fail(
            exchange, self.adjust_outcome(exchange, failure), now
        )

    def _enqueue_or_fail(
        self,
        exchange: _exchange.Exchange,
        cache_utilization: float,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Queue a request that can be answered in time; fail any other."""
        queue = self._state.queues.for_service(exchange.service.name)
        if exchange.queued_at is not None:
            return []
        if not queue.may_enqueue(exchange, now):
            effects: _shared_state.Effects = []
            if self._state.fleet.limited(exchange.service.name, now):
                effects.append(self._waits.log_limited(exchange, now))
            failure = _failures.NoEndpoint(
                exchange.service.name,
                self._waits.retry_after(exchange, queue, now),
            )
            return effects + self.fail(
                exchange, self.adjust_outcome(exchange, failure), now
            )
        return self._enqueue(exchange, cache_utilization, now)

    def _enqueue(
        self,
        exchange: _exchange.Exchange,
        cache_utilization: float,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Queue a request, unless it is queued already."""
        queue = self._state.queues.for_service(exchange.service.name)
        if exchange.queued_at is not None:
            return []
        line = events.REQUEST_WAITS.line(
            request=exchange.request.request_id,
            service=exchange.service.name,
            fullness=round(cache_utilization, 2),
            ahead=len(queue),
            expected_milliseconds=_shared_state.milliseconds(
                queue.expected_wait(exchange, now)
            ),
        )
        queue.enqueue(exchange, now)
        return [_shared_state.log(line)]

    def start_attempt(
        self,
        exchange: _exchange.Exchange,
        endpoint_id: model.EndpointId,
        address: str,
        pipeline: model.Pipeline | None,
        now: datetime.datetime,
    ) -> _shared_state.Effects:
        """Send a request to an endpoint that allows it now."""
        self._state.take_destination(exchange)
        self._state.queues.for_service(exchange.service.name).dequeue(exchange)
        self._state.awaiting_path.pop(exchange.exchange_id, None)
        self._state.permits.cancel(exchange.exchange_id)
        customer = exchange.customer
        time_left: datetime.timedelta | None = None
        if exchange.request.time_left is not None:
            time_left = exchange.time_left(now)
        record = self._state.fleet.registry.find(endpoint_id)
        dispatch = _calls.Dispatch(
            endpoint_id,
            address,
            time_left,
            None if customer is None else customer.name,
            pipeline,
            exchange.position,
            None if record is None else record.registration.incarnation,
            self._state.choose_forwarder(endpoint_id, now),
        )
        exchange.dispatch = dispatch
        exchange.sent_at = now
        exchange.has_begun = False
        exchange.stages = self._state.runs_on(exchange.endpoint_ids)
        self._state.fleet.record_sent(endpoint_id)
        if exchange.send_count == 0:
            self._state.retry_budget.record_first_attempt(
                exchange.service.name, now
            )
        exchange.send_count += 1
        self._state.drain.last_sent_at = now
        exchange.denied_permits = 0
        exchange.reroute_count = 0
        exchange.is_rerouting = False
        exchange.is_sustained = False
        exchange.has_reserved_retry = False
        exchange.needs_retry = False
        exchange.retry_at = None
        exchange.retry_by = None
        exchange.yields_place = False
        exchange.is_kept = False
        self._state.fleet.add_load(exchange.load)
        if pipeline is not None:
            self._state.fleet.unreported_load.record_sent(now)
        line = events.REQUEST_DISPATCHED.line(
            request=exchange.request.request_id,
            route=exchange.route.name,
            endpoint=endpoint_id,
            pipeline=_shared_state.format_pipeline(pipeline),
            attempt=exchange.send_count,
            resume_after=exchange.position,
            forwarder=_forwarder_id(dispatch),
            milliseconds_left=_shared_state.milliseconds(
                exchange.time_left(now)
            ),
        )
        start = _effects.StartAttempt(
            exchange.exchange_id,
            dispatch,
            exchange.route.kind is catalog.RetrySemantics.STREAM,
            self._answer_timeout(exchange),
            exchange.route.pause_target,
        )
        return [_shared_state.log(line), start]

    def remove(self, exchange: _exchange.Exchange) -> None:
        """Remove a request from its endpoints, its queue and the exchanges."""
        self._state.release(exchange)
        self._state.take_destination(exchange)
        self._state.return_retry(exchange)
        self._state.queues.for_service(exchange.service.name).dequeue(exchange)
        self._state.awaiting_path.pop(exchange.exchange_id, None)
        self._state.permits.cancel(exchange.exchange_id)
        self._state.exchanges.pop(exchange.exchange_id, None)

    def adjust_outcome(
        self, exchange: _exchange.Exchange, failure: errors.Failure
    ) -> errors.Failure:
        """Replace a failure by ``OutcomeUnknown`` if the request may have run.

        Most failures state that the request did not run.  That may be true of
        the last attempt only, not of the earlier ones.
        """
        if not exchange.may_have_run and not exchange.has_output:
            return failure
        return _failures.OutcomeUnknown(failure.detail())

    def _answer_timeout(
        self, exchange: _exchange.Exchange
    ) -> datetime.timedelta | None:
        """Return when an answer head is late; ``None`` for never.

        It matters only if the request may run on another endpoint after this
        one, and nothing is late on a route without a target.
        """
        if exchange.route.kind is not catalog.RetrySemantics.IDEMPOTENT:
            return None
        if not self._state.may_run_again(exchange):
            return None
        target = exchange.route.first_output_target
        return target if target > _AT_ONCE else None


def _forwarder_id(dispatch: _calls.Dispatch) -> model.VmId | None:
    return None if dispatch.forwarder is None else dispatch.forwarder.vm_id
