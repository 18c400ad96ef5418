"""The gateway daemon, which runs the reducer in trio tasks."""

import datetime
import itertools
import math
import random
import secrets
import time

import trio

from sedgepin import _catalog as catalog
from sedgepin import _forwarding as forwarding
from sedgepin._gateway import _dialect
from sedgepin._gateway import _effects
from sedgepin._gateway import _engine_calls
from sedgepin._gateway import _events
from sedgepin._gateway import _failures
from sedgepin._gateway import _forwarding_policy
from sedgepin._gateway import _planned_stop
from sedgepin._gateway import _reducer
from sedgepin._gateway import _relay
from sedgepin._gateway import _settings
from sedgepin import _memory as memory
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _service_levels as service_levels
from sedgepin import _shell as shell
from sedgepin import _web as web
from sedgepin import clock
from sedgepin import containment
from sedgepin import errors
from sedgepin import events
from sedgepin import logs
from sedgepin import settings

# Time between ticks while requests wait for capacity, while others are open,
# and while there are none.
_QUEUED_TICK_SECONDS = 0.05
_BUSY_TICK_SECONDS = 0.1
_IDLE_TICK_SECONDS = 0.2
# A stall is reported at its time, but no sooner after the tick before.
_MIN_TICK_SECONDS = 0.02
# Engines usually answer report requests and orders within milliseconds.
_ENGINE_TIMEOUT = datetime.timedelta(milliseconds=300)


class _CallerHandler(web.Handler):
    """Answers callers' requests by relays."""

    __slots__ = ("_daemon",)

    def __init__(self, daemon: "GatewayDaemon") -> None:
        self._daemon = daemon

    async def handle(self, exchange: web.Exchange) -> None:
        """Answer one request."""
        await self._daemon.relay(exchange)

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        """Return the answer to a request that could not be parsed."""
        return self._daemon.error_response(failure)

    def limits(self) -> web.ServerLimits:
        """Return the limits of the configuration in force."""
        table = self._daemon.reducer.table
        limits = catalog.CallerLimits()
        if table is not None:
            limits = table.configuration.limits
        return web.ServerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout.total_seconds(),
            limits.idle_timeout.total_seconds(),
        )

    def request_ended(self, end: web.RequestEnd) -> None:
        """Log and count the end of a request on its connection."""
        self._daemon.record_request_end(end)


class _ReadinessHandler(web.Handler):
    """Answers the load balancer's readiness checks."""

    __slots__ = ("_reducer",)

    def __init__(self, reducer: _reducer.GatewayReducer) -> None:
        self._reducer = reducer

    async def handle(self, exchange: web.Exchange) -> None:
        """Answer 200 if the VM is ready, else 503, on any path."""
        status = 200 if self._reducer.is_ready else 503
        await exchange.answer(web.AnswerHead(status), b"")

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        """Return the answer to a request that could not be parsed."""
        return web.AnswerHead(failure.http_status), b""

    def limits(self) -> web.ServerLimits:
        """Return limits for the short requests of the load balancer."""
        return web.ServerLimits(16_384, 1024, 3.0, 30.0)


class GatewayDaemon:
    """Passes input and timers to the reducer and carries out its effects."""

    __slots__ = (
        "_announced_table",
        "_budget",
        "_cfg",
        "_clock",
        "_dialect",
        "_driver",
        "_exchange_ids",
        "_forwarding",
        "_has_work",
        "_metrics",
        "_nursery",
        "_readiness",
        "_relays",
        "_server",
        "_source",
        "_transport",
        "reducer",
    )

    def __init__(
        self,
        source: shell.SettingsSource[_settings.GatewaySettings],
        dialect: _dialect.GatewayDialect,
        own_clock: clock.Clock,
    ) -> None:
        cfg = source.current
        self._cfg = cfg
        self._source = source
        self._dialect = dialect
        self._clock = own_clock
        self.reducer = _reducer.GatewayReducer(
            cfg, random.Random(), own_clock.now()
        )
        self._metrics = shell.PrometheusSink()
        self._budget = shell.create_budget(cfg.held_bytes, self._metrics)
        self._driver = shell.Driver(
            self.reducer.handle,
            self._apply_effect,
            own_clock,
            is_fail_stop=False,
        )
        self._exchange_ids = itertools.count(1)
        self._relays: dict[int, _relay.Relay] = {}
        # Set when the first of the open relays starts.
        self._has_work = trio.Event()
        self._server = web.Server(_CallerHandler(self), self._budget)
        # The one whose limits the server has heard of.
        self._announced_table = self.reducer.table
        self._readiness = web.Server(
            _ReadinessHandler(self.reducer), self._budget, limits_heads=False
        )
        forward_key = secrets.token_hex(16)
        self._forwarding = forwarding.ForwardingServer(
            forward_key,
            _forwarding_policy.GatewayForwardingPolicy(
                self.reducer,
                dialect,
                own_clock,
                self._driver.submit,
                self._write_log,
            ),
            self._budget,
        )
        hello = protocol.Hello(
            cfg.vm_id,
            "entry",
            cfg.data_centre,
            model.Incarnation(time.time_ns() // 1_000_000),
            cfg.forward_address,
            forward_key,
        )
        self._transport = protocol.StreamTransport(
            hello,
            cfg.peer_listen or cfg.vm_id,
            [_peer(vm_id) for vm_id in cfg.controls],
            None,
            self._submit_peer_event,
            self._budget,
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(
                shell.limit_work, self._cfg.work_limits, self._metrics
            )
            stop = shell.StopSignal()
            await nursery.start(shell.watch_stop_signals, stop)
            await nursery.start(self._readiness.serve, self._cfg.ready_listen)
            await nursery.start(self._server.serve, self._cfg.listen)
            if self._cfg.forward_address:
                await nursery.start(
                    self._forwarding.serve, self._cfg.forward_address
                )
            if self._cfg.metrics_listen is not None:
                server = web.Server(
                    web.MetricsHandler(
                        self._metrics_text,
                        {service_levels.REPORT_PATH: self._service_levels},
                    ),
                    self._budget,
                    limits_heads=False,
                )
                await nursery.start(server.serve, self._cfg.metrics_listen)
            nursery.start_soon(self._tick, stop)
            await nursery.start(
                shell.watch_settings, self._source, self._reload
            )
            logs.write(
                events.PROCESS_STARTED.line(
                    id=self._cfg.vm_id,
                    role="entry",
                    address=self._cfg.listen,
                )
            )
            await nursery.start(self._transport.run)
            await stop.wait()
            await self._drain(stop)
            nursery.cancel_scope.cancel()
        logs.write(events.PROCESS_STOPPED.line(id=self._cfg.vm_id))

    async def relay(self, exchange: web.Exchange) -> None:
        """Relay one caller's request until it is answered or abandoned."""
        parsed = self._dialect.parse_request(exchange.request)
        if parsed.is_err():
            head, body = self.error_response(parsed.unwrap_err())
            await exchange.answer(head, body)
            return
        exchange.label = parsed.unwrap().request_id
        exchange_id = next(self._exchange_ids)
        relay = _relay.Relay(
            exchange_id,
            exchange,
            parsed.unwrap(),
            self._dialect,
            self._driver.submit,
            self._budget,
        )
        self._relays[exchange_id] = relay
        self._has_work.set()
        try:
            await relay.run()
        finally:
            del self._relays[exchange_id]

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        """Return the answer to a failure; log a malformed request.

        A ``HandlerFailed`` is no fault of the request, and logged already; so
        is the end of the largest request at the limit of the memory.
        """
        own = (web.HandlerFailed, memory.MemoryExhausted)
        if isinstance(failure, own):
            return self._dialect.error_response(None, failure)
        line = events.REQUEST_UNREADABLE.line(
            code=failure.code, detail=failure.detail()
        )
        logs.write(line)
        return self._dialect.error_response(None, failure)

    def record_request_end(self, end: web.RequestEnd) -> None:
        """Count the end of a request; log one without a complete answer."""
        self._metrics.count_request_end(end.kind.value, end.closed_by.value)
        line = end.log_line()
        if line is not None:
            self._write_log(line)

    def _metrics_text(self) -> bytes:
        self._metrics.set_levels(
            self.reducer.service_level_totals(self._clock.now())
        )
        return self._metrics.text()

    def _service_levels(self) -> service_levels.Report:
        return self.reducer.report_service_levels(self._clock.now())

    def _reload(self, cfg: _settings.GatewaySettings) -> None:
        self._driver.submit(_events.SettingsReloaded(cfg))

    async def _tick(self, stop: shell.StopSignal) -> None:
        while True:
            stop.pulse()
            now = trio.current_time()
            # As with the events of requests and peers, a failure must not end
            # the process, and with it the requests that have no part in it.
            with containment.contain("timer"):
                self._driver.submit(_events.TimerFired())
            with containment.contain("progress"):
                for relay in tuple(self._relays.values()):
                    relay.check_progress(now)
            if not self._relays:
                self._has_work = trio.Event()
                with trio.move_on_after(_IDLE_TICK_SECONDS):
                    await self._has_work.wait()
                continue
            longest = _BUSY_TICK_SECONDS
            if self.reducer.has_queued_requests:
                longest = _QUEUED_TICK_SECONDS
            stalled_at = min(one.stalled_at for one in self._relays.values())
            seconds = max(_MIN_TICK_SECONDS, stalled_at - now)
            await trio.sleep(min(longest, seconds))

    async def _drain(self, stop: shell.StopSignal) -> None:
        """Stop being ready, serve until callers are redirected, then finish.

        Open requests may finish until shortly before the end of the grace
        period; the reducer answers the others by then.
        """
        grace_period = self._source.current.grace_period
        grace_seconds = grace_period.total_seconds()
        planned = _planned_stop.StopTimes.from_grace_period(
            grace_seconds, self._server.unread_requests
        )
        times = planned.after(stop.seconds_waited(grace_seconds))
        self._forwarding.is_draining = True
        requested = _events.DrainRequested(
            time_left=datetime.timedelta(seconds=times.last_answer),
            estimated=datetime.timedelta(seconds=times.last_estimate),
        )
        self._driver.submit(requested)
        end = trio.current_time() + times.end
        unread_requests = 0

        def refuse_unread() -> None:
            nonlocal unread_requests
            unread_requests += self._server.unread_requests
            self._server.refuse_unread_requests(_failures.Draining())

        await _planned_stop.serve_last_requests(
            self._server,
            times,
            lambda: self._forwarding.open_forwards,
            self._seconds_since_sent,
            lambda: self.reducer.do_others_serve,
            refuse_unread,
        )
        refuse_unread()
        seconds = _planned_stop.seconds_after_drain(
            trio.current_time() - end,
            _planned_stop.exit_seconds_left(
                grace_seconds, planned, self._server.unread_requests
            ),
        )
        # The answers are sent before the connections are closed.
        with trio.move_on_after(seconds):
            while self._relays or self._server.open_exchanges:
                await trio.sleep(_MIN_TICK_SECONDS)
        self._forwarding.record_cut()
        ended = _events.DrainEnded(
            self._forwarding.open_forwards, unread_requests
        )
        self._driver.submit(ended)

    def _seconds_since_sent(self) -> float:
        """Return how long ago a request was sent to an endpoint."""
        last_sent_at = self.reducer.last_sent_at
        if last_sent_at is None:
            return math.inf
        return (self._clock.now() - last_sent_at).total_seconds()

    def _apply_effect(self, effect: _effects.GatewayEffect) -> None:
        match effect:
            case _effects.SendMessage(recipient, message):
                self._transport.send(recipient, message)
            case _effects.DialPeer(vm_id):
                self._transport.dial(_peer(vm_id))
            case _effects.HangUpPeer(vm_id):
                self._transport.hang_up(vm_id)
            case _effects.InspectStalls():
                self._nursery.start_soon(self._inspect, effect)
            case _effects.ProbeEndpoint():
                self._nursery.start_soon(self._probe, effect)
            case _effects.Reroute():
                self._nursery.start_soon(self._reroute, effect)
            case _effects.WriteLog(line):
                self._write_log(line)
            case _effects.RecordDuration(name, duration):
                self._metrics.record_duration(name, duration)
            case _:
                relay = self._relays.get(effect.exchange_id)
                if relay is not None:
                    relay.handle_effect(effect)

    def _write_log(self, line: events.LogLine) -> None:
        logs.write(line)
        self._metrics.increment(line.definition.name, 1)

    def _submit_peer_event(self, event: protocol.PeerEvent) -> None:
        """Submit an event; a message that fails counts as lost."""
        with containment.contain("peer_message"):
            self._driver.submit(event)
        if self.reducer.table is not self._announced_table:
            self._announced_table = self.reducer.table
            self._server.update_limits()

    async def _probe(self, effect: _effects.ProbeEndpoint) -> None:
        with containment.contain("probe"):
            self._driver.submit(
                await _engine_calls.probe(
                    effect, self._dialect, _ENGINE_TIMEOUT, self._budget
                )
            )

    async def _inspect(self, effect: _effects.InspectStalls) -> None:
        with containment.contain("inspection"):
            self._driver.submit(
                await _engine_calls.inspect_stalls(
                    effect,
                    self._dialect,
                    self._driver.submit,
                    _ENGINE_TIMEOUT,
                    self._budget,
                )
            )

    async def _reroute(self, effect: _effects.Reroute) -> None:
        with containment.contain("reroute"):
            self._driver.submit(
                await _engine_calls.reroute(
                    effect,
                    self._dialect,
                    self._driver.submit,
                    _ENGINE_TIMEOUT,
                    self._budget,
                )
            )


def _peer(vm_id: model.VmId) -> settings.Peer:
    """Return the peer of a control VM, whose id is its peer address."""
    return settings.Peer(id=vm_id, address=vm_id, data_centre="")


def run(
    source: shell.SettingsSource[_settings.GatewaySettings],
    dialect: _dialect.GatewayDialect,
) -> None:
    """Run the daemon until SIGTERM."""
    daemon = GatewayDaemon(source, dialect, clock.SystemClock())
    shell.run_daemon(daemon.run)
