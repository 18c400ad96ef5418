"""The reducer of a gateway: every event in, every effect out."""

import datetime
import random

from sedgepin import _catalog as catalog
from sedgepin._gateway import _calls
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway import _exchange
from sedgepin._gateway import _failures
from sedgepin._gateway import _fleet
from sedgepin._gateway import _retry_budget
from sedgepin._gateway import _settings
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import errors
from sedgepin import events

Effects = list[_effects.GatewayEffect]

_Outcome = _events.AttemptOutcome

# Endpoints that say they did not run a request are tried this many times.
_SEND_LIMIT = 4
# Pipelines that one attempt may change to before it starts anew.
_REROUTE_LIMIT = 3
# A started stream waits this long for an endpoint that can go on with it;
# callers leave after a gap of 2 s.
_RESUME_PATIENCE = datetime.timedelta(milliseconds=1500)
# The configuration is asked for this often, in case a push was lost.
_ASK_INTERVAL = datetime.timedelta(seconds=1)
# Within this time the load of a data centre changes by a few requests.
_REPORT_INTERVAL = datetime.timedelta(milliseconds=200)
# A VM that cannot reach a leader takes what any control VM holds after this
# long: older than the newest perhaps, but better than none.
_UNCONFIRMED_AFTER = datetime.timedelta(seconds=3)


class GatewayReducer:
    """All decisions of one entry VM that forwards to registered endpoints.

    >>> reducer = GatewayReducer(cfg, random.Random(1), now)
    >>> reducer.handle(RequestArrived(1, request), now)
    [StartAttempt(...), ...]
    """

    __slots__ = (
        "_ask_at",
        "_budget",
        "_cfg",
        "_connected",
        "_controls",
        "_exchanges",
        "_fleet",
        "_has_reported_none",
        "_is_draining",
        "_report_at",
        "_rng",
        "_started_at",
        "_table",
    )

    def __init__(
        self,
        cfg: _settings.GatewaySettings,
        rng: random.Random,
        now: datetime.datetime,
    ) -> None:
        self._cfg = cfg
        self._rng = rng
        self._started_at = now
        self._ask_at = now
        self._report_at = now
        self._has_reported_none = True
        self._table: catalog.RouteTable | None = None
        self._fleet = _fleet.Fleet(cfg.data_centre, cfg.endpoint_silence)
        self._budget = _retry_budget.RetryBudget(cfg.retries)
        self._controls: set[model.VmId] = set(cfg.controls)
        self._connected: set[model.VmId] = set()
        self._exchanges: dict[int, _exchange.Exchange] = {}
        self._is_draining = False

    @property
    def is_ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        return self._table is not None and not self._is_draining

    @property
    def table(self) -> catalog.RouteTable | None:
        """Return the configuration in force here."""
        return self._table

    @property
    def open_count(self) -> int:
        """Return how many requests are on their way."""
        return len(self._exchanges)

    def handle(
        self, event: _events.GatewayEvent, now: datetime.datetime
    ) -> Effects:
        """Take in one event and return what is to be done, in order."""
        match event:
            case _events.RequestArrived():
                return self._arrived(event, now)
            case _events.AttemptEnded():
                return self._attempt_ended(event, now)
            case _events.OutputBegan(exchange_id):
                return self._output_began(exchange_id)
            case _events.LoadTold(endpoint_id, marks):
                self._fleet.tell_load(endpoint_id, marks, now)
                return []
            case _events.StreamStalled(exchange_id):
                return self._stalled(exchange_id, now)
            case _events.StallInspected():
                return self._inspected(event, now)
            case _events.Rerouted():
                return self._rerouted(event, now)
            case _events.CallerLeft(exchange_id):
                return self._caller_left(exchange_id, now)
            case _events.DeadlineReached(exchange_id):
                return self._deadline_reached(exchange_id, now)
            case _events.TimerFired():
                return self._tick(now)
            case _events.DrainRequested():
                self._is_draining = True
                return [_log(events.PROCESS_DRAINING.line())]
            case protocol.PeerMessageArrived(_, message):
                return self._message(message, now)
            case protocol.PeerConnected(hello):
                self._connected.add(hello.id)
                return [_log(events.PEER_CONNECTED.line(peer=hello.id))]
            case protocol.PeerDisconnected(peer_id):
                self._connected.discard(peer_id)
                return [_log(events.PEER_DISCONNECTED.line(peer=peer_id))]
            case protocol.PeerRefused(address, failure):
                line = events.PEER_REFUSED.line(
                    address=address, failure=failure.detail()
                )
                return [_log(line)]

    # What control VMs tell.

    def _message(
        self, message: protocol.PeerMessage, now: datetime.datetime
    ) -> Effects:
        match message:
            case protocol.ConfigurationPublished():
                return self._follow(message, now)
            case protocol.RegistrationsSeen():
                return self._merge(message, now)
            case protocol.ControlsKnown(controls, entry_count):
                return self._meet(controls, entry_count)
            case protocol.LoadSummed(loads):
                self._fleet.take_sum(loads)
        return []

    def _follow(
        self,
        message: protocol.ConfigurationPublished,
        now: datetime.datetime,
    ) -> Effects:
        """Follow a newer configuration, never an older one."""
        if not message.configuration:
            return []
        is_late = now - self._started_at >= _UNCONFIRMED_AFTER
        if self._table is None and not message.confirmed and not is_late:
            return []
        if self._table is not None:
            if message.version <= self._table.configuration.version:
                return []
        before = 0
        if self._table is not None:
            before = self._table.configuration.version
        configuration = catalog.decode(message.configuration)
        self._table = catalog.RouteTable(configuration)
        line = events.CONFIGURATION_IN_FORCE.line(
            version=configuration.version,
            before=before,
            confirmed=message.confirmed,
        )
        return [_log(line)]

    def _merge(
        self, message: protocol.RegistrationsSeen, now: datetime.datetime
    ) -> Effects:
        made: Effects = []
        registry = self._fleet.registry
        for endpoint_id in message.heard:
            registry.hear(endpoint_id, now)
        for word in message.changed:
            known = registry.find(word.endpoint_id)
            before = None if known is None else known.registration
            if not registry.take(word, now):
                registry.correct_layers(
                    word.endpoint_id, word.incarnation, word.layers
                )
            self._fleet.note_change()
            if before is not None and before.incarnation != word.incarnation:
                made += self._endpoint_died(word.endpoint_id, now)
        return made

    def _meet(
        self, controls: tuple[model.VmId, ...], entry_count: int
    ) -> Effects:
        self._budget.set_entry_count(entry_count)
        new = set(controls) - self._controls
        self._controls |= new
        return [_effects.DialPeer(one) for one in sorted(new)]

    def _tick(self, now: datetime.datetime) -> Effects:
        made: Effects = []
        if now >= self._ask_at and self._connected:
            self._ask_at = now + _ASK_INTERVAL
            asked = self._rng.choice(sorted(self._connected))
            have = -1
            if self._table is not None:
                have = self._table.configuration.version
            wanted = protocol.ConfigurationWanted(have)
            made.append(_effects.SendMessage(asked, wanted))
        if now >= self._report_at and self._connected:
            self._report_at = now + _REPORT_INTERVAL
            made += self._report_load()
        for exchange in list(self._exchanges.values()):
            if exchange.waits_since is not None:
                made += self._try_next(exchange, now)
        return made

    def _report_load(self) -> Effects:
        """Report this VM's load to the VM that sums it for all entries."""
        loads = self._fleet.own_loads()
        if not loads and self._has_reported_none:
            return []
        self._has_reported_none = not loads
        summing = min(self._connected)
        message = protocol.LoadReported(loads)
        return [_effects.SendMessage(summing, message)]

    # Requests.

    def _arrived(
        self, event: _events.RequestArrived, now: datetime.datetime
    ) -> Effects:
        request = event.request
        table = self._table
        if table is None:
            return self._turn_away(event, _failures.NoConfiguration())
        route = table.find(request.host, request.path)
        if route is None:
            return self._turn_away(event, _failures.RouteUnknown())
        customer: catalog.Customer | None = None
        if request.key is not None:
            customer = table.customer(request.key)
        if table.configuration.customers and not route.is_public:
            if customer is None:
                return self._turn_away(event, _failures.KeyUnknown())
        service = self._choose_service(table, route)
        if service is None:
            return self._turn_away(event, _failures.RouteUnknown())
        time_left = route.timeout
        if request.time_left is not None:
            time_left = min(time_left, request.time_left)
        exchange = _exchange.Exchange(
            event.exchange_id,
            request,
            route,
            service,
            customer,
            now,
            now + time_left,
            position=request.resume_after,
        )
        self._exchanges[event.exchange_id] = exchange
        set_time = _effects.SetTimeLeft(event.exchange_id, time_left)
        return [set_time, *self._try_next(exchange, now)]

    def _turn_away(
        self, event: _events.RequestArrived, failure: errors.Failure
    ) -> Effects:
        """Refuse a request that was not let in."""
        version = 0
        if self._table is not None:
            version = self._table.configuration.version
        line = events.REQUEST_TURNED_AWAY.line(
            request=event.request.request_id,
            host=event.request.host,
            path=event.request.path,
            code=failure.code,
            configuration=version,
        )
        return [_log(line), _effects.Fail(event.exchange_id, failure)]

    def _choose_service(
        self, table: catalog.RouteTable, route: catalog.Route
    ) -> catalog.Service | None:
        """Return a service of the route, as its weights ask."""
        weights = [one.weight for one in route.targets]
        chosen = route.targets[0]
        if len(route.targets) > 1:
            chosen = self._rng.choices(route.targets, weights)[0]
        return table.service(chosen.service)

    def _try_next(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> Effects:
        """Send a request to the best endpoint, or say that there is none."""
        dispatch = self._dispatch(exchange, now)
        if dispatch is None:
            return self._wait_or_fail(exchange, now)
        exchange.waits_since = None
        exchange.dispatch = dispatch
        if exchange.send_count == 0:
            self._budget.record_first(exchange.service.name, now)
        exchange.send_count += 1
        exchange.reroute_count = 0
        self._fleet.take(exchange.endpoint_ids, exchange.tokens)
        line = events.REQUEST_DISPATCHED.line(
            request=exchange.request.request_id,
            route=exchange.route.name,
            endpoint=dispatch.endpoint_id,
            pipeline=_shown(dispatch.pipeline),
            attempt=exchange.send_count,
            resume_after=dispatch.resume_after,
            milliseconds_left=int(
                exchange.time_left(now).total_seconds() * 1000
            ),
        )
        start = _effects.StartAttempt(
            exchange.exchange_id,
            dispatch,
            exchange.route.kind is catalog.CallKind.STREAM,
            self._answer_within(exchange),
        )
        return [_log(line), start]

    def _answer_within(
        self, exchange: _exchange.Exchange
    ) -> datetime.timedelta | None:
        """Return how long an endpoint may be silent before another is asked.

        Only a call that may run again is worth giving up.
        """
        if exchange.route.kind is not catalog.CallKind.IDEMPOTENT:
            return None
        if exchange.run_count + 1 >= exchange.route.max_attempts:
            return None
        return exchange.route.first_output_target

    def _dispatch(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> _calls.Dispatch | None:
        customer = exchange.customer
        name = None if customer is None else customer.name
        time_left: datetime.timedelta | None = None
        if exchange.request.time_left is not None:
            time_left = exchange.time_left(now)
        size = exchange.request.size
        if exchange.service.engine is not None and size is not None:
            pipeline = self._fleet.find_pipeline(exchange.service, size, now)
            if pipeline is None:
                return None
            first = pipeline.stages[0]
            return _calls.Dispatch(
                first.endpoint_id,
                first.address,
                time_left,
                name,
                pipeline,
                exchange.position,
            )
        chosen = self._fleet.choose(exchange.service.name, exchange.tried, now)
        if chosen is None:
            return None
        return _calls.Dispatch(
            chosen.endpoint_id,
            chosen.address,
            time_left,
            name,
            None,
            exchange.position,
        )

    def _wait_or_fail(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> Effects:
        """Let a started stream wait for an engine; refuse all else at once."""
        if exchange.has_output:
            if exchange.waits_since is None:
                exchange.waits_since = now
            if now - exchange.waits_since < _RESUME_PATIENCE:
                return []
        failure: errors.Failure = _failures.NoEndpoint(exchange.service.name)
        if exchange.run_count:
            failure = _failures.OutcomeUnknown("no other endpoint is free")
        return self._fail(exchange, failure, now)

    def _fail(
        self,
        exchange: _exchange.Exchange,
        failure: errors.Failure,
        now: datetime.datetime,
    ) -> Effects:
        self._forget(exchange)
        line = events.REQUEST_FAILED.line(
            request=exchange.request.request_id,
            route=exchange.route.name,
            code=failure.code,
            detail=failure.detail(),
            attempts=exchange.send_count,
            may_have_run=exchange.run_count,
            position=exchange.position,
            milliseconds=_milliseconds(now - exchange.arrived_at),
        )
        return [_log(line), _effects.Fail(exchange.exchange_id, failure)]

    def _forget(self, exchange: _exchange.Exchange) -> None:
        self._release(exchange)
        exchange.has_ended = True
        self._exchanges.pop(exchange.exchange_id, None)

    def _release(self, exchange: _exchange.Exchange) -> None:
        """Count a request on its endpoints no more."""
        self._fleet.give_back(exchange.endpoint_ids, exchange.tokens)
        exchange.dispatch = None

    def _output_began(self, exchange_id: int) -> Effects:
        exchange = self._exchanges.get(exchange_id)
        if exchange is not None:
            exchange.has_output = True
            for endpoint_id in exchange.endpoint_ids:
                self._fleet.clear(endpoint_id)
        return []

    # Ends of attempts.

    def _attempt_ended(
        self, event: _events.AttemptEnded, now: datetime.datetime
    ) -> Effects:
        exchange = self._exchanges.get(event.exchange_id)
        if exchange is None or exchange.dispatch is None:
            return []
        dispatch = exchange.dispatch
        if event.position is not None:
            exchange.position = event.position
        self._release(exchange)
        if event.outcome is _Outcome.ANSWERED:
            self._forget(exchange)
            self._fleet.clear(dispatch.endpoint_id)
            return [self._answered_line(exchange, dispatch, now)]
        line = events.ATTEMPT_ENDED.line(
            request=exchange.request.request_id,
            attempt=exchange.send_count,
            endpoint=dispatch.endpoint_id,
            outcome=event.outcome.value,
            detail=event.detail,
            at_fault=event.at_fault,
            position=exchange.position,
        )
        made: Effects = [_log(line)]
        made += self._blame(event, dispatch, now)
        exchange.tried.add(dispatch.endpoint_id)
        return made + self._after_attempt(exchange, event, now)

    def _answered_line(
        self,
        exchange: _exchange.Exchange,
        dispatch: _calls.Dispatch,
        now: datetime.datetime,
    ) -> _effects.WriteLog:
        line = events.REQUEST_ANSWERED.line(
            request=exchange.request.request_id,
            endpoint=dispatch.endpoint_id,
            attempts=exchange.send_count,
            milliseconds=_milliseconds(now - exchange.arrived_at),
        )
        return _log(line)

    def _blame(
        self,
        event: _events.AttemptEnded,
        dispatch: _calls.Dispatch,
        now: datetime.datetime,
    ) -> Effects:
        """Leave the endpoint alone that an attempt failed on."""
        blamed = dispatch.endpoint_id
        if event.at_fault is not None:
            known = self._fleet.registry.at_address(event.at_fault)
            if known is not None:
                blamed = known.registration.endpoint_id
        is_its_fault = event.outcome in (
            _Outcome.NOT_SENT,
            _Outcome.NOT_RUN,
            _Outcome.UNKNOWN,
        )
        if not is_its_fault:
            return []
        return self._suspect(blamed, event.detail, now)

    def _suspect(
        self,
        endpoint_id: model.EndpointId,
        reason: str,
        now: datetime.datetime,
    ) -> Effects:
        if not self._fleet.suspect(endpoint_id, now):
            return []
        line = events.ENDPOINT_SUSPECTED.line(
            endpoint=endpoint_id, failure=reason
        )
        return [_log(line)]

    def _after_attempt(
        self,
        exchange: _exchange.Exchange,
        event: _events.AttemptEnded,
        now: datetime.datetime,
    ) -> Effects:
        """Try another endpoint if that is safe and the budget allows."""
        outcome = event.outcome
        if outcome is _Outcome.CANCELLED:
            return self._after_cancelled(exchange, event, now)
        if outcome is _Outcome.NOT_SENT:
            if exchange.send_count < _SEND_LIMIT:
                return self._try_next(exchange, now)
            failure = _failures.NoEndpoint(exchange.service.name)
            return self._fail(exchange, self._honest(exchange, failure), now)
        if outcome is _Outcome.NOT_RUN:
            has_sends = exchange.send_count < _SEND_LIMIT
            if has_sends and self._budget.take(exchange.service.name, now):
                return self._try_next(exchange, now)
            refused = _failures.RefusedByEndpoints(exchange.send_count)
            return self._fail(exchange, self._honest(exchange, refused), now)
        exchange.run_count += 1
        may_retry = exchange.may_run_again and self._budget.take(
            exchange.service.name, now
        )
        if may_retry:
            return self._try_next(exchange, now)
        if outcome is _Outcome.FAILED:
            self._forget(exchange)
            return [_effects.Deliver(exchange.exchange_id)]
        unknown = _failures.OutcomeUnknown(event.detail)
        return self._fail(exchange, unknown, now)

    def _after_cancelled(
        self,
        exchange: _exchange.Exchange,
        event: _events.AttemptEnded,
        now: datetime.datetime,
    ) -> Effects:
        """Go on elsewhere with a request whose engines stopped.

        An engine that is gone does not count as one that ran it.
        """
        if event.endpoint_id is None or self._fleet.is_usable(
            event.endpoint_id, now
        ):
            exchange.run_count += 1
        if exchange.may_run_again:
            return self._try_next(exchange, now)
        unknown = _failures.OutcomeUnknown(event.detail)
        return self._fail(exchange, unknown, now)

    def _honest(
        self, exchange: _exchange.Exchange, failure: errors.Failure
    ) -> errors.Failure:
        """Return a failure that promises nothing once a request may have run.

        An earlier attempt may have run although the last one did not.
        """
        if exchange.run_count == 0 and not exchange.has_output:
            return failure
        return _failures.OutcomeUnknown(failure.detail())

    def _caller_left(
        self, exchange_id: int, now: datetime.datetime
    ) -> Effects:
        exchange = self._exchanges.get(exchange_id)
        if exchange is None:
            return []
        line = events.CALLER_LEFT.line(
            request=exchange.request.request_id,
            position=exchange.position,
            milliseconds=_milliseconds(now - exchange.arrived_at),
        )
        self._forget(exchange)
        return [_log(line)]

    def _deadline_reached(
        self, exchange_id: int, now: datetime.datetime
    ) -> Effects:
        exchange = self._exchanges.get(exchange_id)
        if exchange is None:
            return []
        failure: errors.Failure = _failures.DeadlinePassed()
        if exchange.send_count == 0:
            failure = _failures.NoEndpoint(exchange.service.name)
        return self._fail(exchange, failure, now)

    # Streams that make no progress.

    def _stalled(self, exchange_id: int, now: datetime.datetime) -> Effects:
        exchange = self._exchanges.get(exchange_id)
        if exchange is None or exchange.dispatch is None:
            return []
        pipeline = exchange.dispatch.pipeline
        if pipeline is None or exchange.is_rerouting:
            return []
        if any(
            not self._fleet.is_usable(one.endpoint_id, now)
            for one in pipeline.stages[1:]
        ):
            return self._reroute(exchange, now)
        if exchange.is_inspecting:
            return []
        exchange.is_inspecting = True
        inspect = _effects.InspectStall(
            exchange_id,
            exchange.request.request_id,
            exchange.dispatch.address,
        )
        return [inspect]

    def _inspected(
        self, event: _events.StallInspected, now: datetime.datetime
    ) -> Effects:
        exchange = self._exchanges.get(event.exchange_id)
        if exchange is None or exchange.dispatch is None:
            return []
        exchange.is_inspecting = False
        line = events.STALL_INSPECTED.line(
            request=exchange.request.request_id,
            endpoint=exchange.dispatch.endpoint_id,
            answered=event.report is not None,
            at_fault=None if event.report is None else event.report.at_fault,
        )
        made: Effects = [_log(line)]
        if event.report is None:
            first = exchange.dispatch.endpoint_id
            made += self._endpoint_died(first, now)
            return made
        if event.report.at_fault is None:
            return made
        known = self._fleet.registry.at_address(event.report.at_fault)
        if known is None:
            return made + self._reroute(exchange, now)
        blamed = known.registration.endpoint_id
        return made + self._endpoint_died(blamed, now)

    def _endpoint_died(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> Effects:
        """Move every request that an endpoint runs to other endpoints."""
        made = self._suspect(endpoint_id, "it makes no progress", now)
        for exchange in list(self._exchanges.values()):
            if endpoint_id not in exchange.endpoint_ids:
                continue
            dispatch = exchange.dispatch
            if dispatch is None or dispatch.pipeline is None:
                continue
            if dispatch.endpoint_id == endpoint_id:
                cancel = _effects.CancelAttempt(exchange.exchange_id)
                made.append(cancel)
            else:
                made += self._reroute(exchange, now)
        return made

    def _reroute(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> Effects:
        """Replace the stages that failed, and keep what the others hold."""
        dispatch = exchange.dispatch
        size = exchange.request.size
        if dispatch is None or dispatch.pipeline is None or size is None:
            return []
        if exchange.is_rerouting:
            return []
        detour: model.Pipeline | None = None
        if exchange.reroute_count < _REROUTE_LIMIT:
            detour = self._fleet.find_detour(
                exchange.service, size, dispatch.pipeline, now
            )
        if detour is None:
            return [_effects.CancelAttempt(exchange.exchange_id)]
        exchange.is_rerouting = True
        exchange.reroute_count += 1
        self._fleet.give_back(exchange.endpoint_ids, exchange.tokens)
        exchange.dispatch = _calls.Dispatch(
            dispatch.endpoint_id,
            dispatch.address,
            dispatch.time_left,
            dispatch.customer,
            detour,
            dispatch.resume_after,
        )
        self._fleet.take(exchange.endpoint_ids, exchange.tokens)
        line = events.REQUEST_REROUTED.line(
            request=exchange.request.request_id,
            before=_shown(dispatch.pipeline),
            after=_shown(detour),
        )
        reroute = _effects.Reroute(
            exchange.exchange_id,
            exchange.request.request_id,
            dispatch.address,
            detour,
        )
        return [_log(line), reroute]

    def _rerouted(
        self, event: _events.Rerouted, now: datetime.datetime
    ) -> Effects:
        exchange = self._exchanges.get(event.exchange_id)
        if exchange is None or not exchange.is_rerouting:
            return []
        exchange.is_rerouting = False
        if event.is_accepted:
            return []
        made: Effects = []
        if event.refused_by is not None:
            known = self._fleet.registry.at_address(event.refused_by)
            if known is not None:
                blamed = known.registration.endpoint_id
                made += self._suspect(blamed, "it refused to take part", now)
                return made + self._reroute(exchange, now)
        made.append(_effects.CancelAttempt(exchange.exchange_id))
        return made


def _log(line: events.LogLine) -> _effects.WriteLog:
    return _effects.WriteLog(line)


def _milliseconds(span: datetime.timedelta) -> int:
    return int(span.total_seconds() * 1000)


def _shown(pipeline: model.Pipeline | None) -> str:
    if pipeline is None:
        return ""
    return ",".join(
        f"{one.endpoint_id}={one.layers.first}-{one.layers.end}"
        for one in pipeline.stages
    )
