"""The registrar daemon: tasks, HTTP calls and storage around the reducer."""

import datetime
import itertools
import random
import time
import typing

import trio

from sedgepin import _consensus as consensus
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _dialect
from sedgepin._registrar import _effects
from sedgepin._registrar import _engine_calls
from sedgepin._registrar import _events
from sedgepin._registrar import _failures
from sedgepin._registrar import _reducer
from sedgepin._registrar import _settings
from sedgepin import _shell as shell
from sedgepin import _storage as storage
from sedgepin import _web as web
from sedgepin import clock
from sedgepin import errors
from sedgepin import events
from sedgepin import logs
from sedgepin import settings

_TICK_SECONDS = 0.05
# A full disk has space again after seconds at best.
_WRITE_RETRY_SECONDS = 0.1
# Limited endpoints whose figures are in the metrics.
_MAX_LIMIT_METRICS = 256
# Longer than the 0.9 s that the reducer lets a call wait for the log.
_CALL_TIMEOUT_SECONDS = 1.5
_LEADERSHIP_TRANSFER_TIMEOUT_SECONDS = 1.0
# Time in a grace period for the last answers and the exit, and the share of a
# short one that they take at most.
_GRACE_END_SECONDS = 0.5
_MAX_GRACE_END_SHARE = 0.25
# In it calls that were not read whole learn that they have not run.
_REFUSAL_SECONDS = 0.1
_LIMITS = web.ServerLimits(
    header_bytes=16_384,
    body_bytes=4_194_304,
    header_timeout_seconds=5.0,
    idle_timeout_seconds=15.0,
)

_Answer: typing.TypeAlias = tuple[web.AnswerHead, bytes]


class CallHandler(web.Handler):
    """Passes the HTTP calls of endpoints and operators to the reducer."""

    __slots__ = (
        "_dialect",
        "_has_stopped",
        "_metrics",
        "_numbers",
        "_open_calls",
        "_pending",
        "_submit",
    )

    def __init__(
        self,
        dialect: _dialect.ControlDialect,
        submit: typing.Callable[[_events.RegistrarEvent], None],
        metrics: shell.PrometheusSink,
    ) -> None:
        self._metrics = metrics
        self._dialect = dialect
        self._submit = submit
        self._numbers = itertools.count(1)
        self._pending: dict[int, trio.MemorySendChannel[_Answer]] = {}
        self._open_calls = 0
        self._has_stopped = False

    @property
    def has_open_calls(self) -> bool:
        """Return whether calls were read that are not answered yet."""
        return self._open_calls > 0

    def stop(self) -> None:
        """Refuse the calls that are read from now on."""
        self._has_stopped = True

    def give_up(self) -> None:
        """Answer all that wait for the log: their outcome is unknown."""
        answer = self.error_response(_failures.CommitUnknown())
        for exchange_id in tuple(self._pending):
            self.respond(exchange_id, answer)

    async def handle(self, exchange: web.Exchange) -> None:
        """Submit a call to the reducer and send its answer."""
        self._open_calls += 1
        try:
            await exchange.answer(*await self._answer(exchange.request))
        finally:
            self._open_calls -= 1

    async def _answer(self, request: web.Request) -> _Answer:
        if self._has_stopped:
            return self.error_response(_failures.Draining())
        parsed = self._dialect.parse_call(request)
        if parsed.is_err():
            failure = parsed.unwrap_err()
            line = events.CONTROL_CALL_REFUSED.line(
                method=request.method.decode("ascii"),
                target=request.target.decode("ascii", "replace"),
                failure=failure.detail(),
            )
            logs.write(line)
            return self.error_response(failure)
        return await self._submit_call(parsed.unwrap())

    def error_response(self, failure: errors.Failure) -> _Answer:
        """Return the HTTP response for a failure."""
        return self._dialect.error_response(failure)

    def limits(self) -> web.ServerLimits:
        """Return the limits on operators' and endpoints' calls."""
        return _LIMITS

    def request_ended(self, end: web.RequestEnd) -> None:
        """Count the end of a call; log one without a complete answer."""
        self._metrics.count_request_end(end.kind.value, end.closed_by.value)
        line = end.log_line()
        if line is not None:
            logs.write(line)
            self._metrics.increment(line.definition.name, 1)

    def respond(self, exchange_id: int, answer: _Answer) -> None:
        """Respond to a waiting call; no effect if it has timed out."""
        sender = self._pending.pop(exchange_id, None)
        if sender is not None:
            sender.send_nowait(answer)

    async def _submit_call(self, call: _dialect.Call) -> _Answer:
        exchange_id = next(self._numbers)
        sender, receiver = trio.open_memory_channel[_Answer](1)
        self._pending[exchange_id] = sender
        try:
            self._submit(_event_of(exchange_id, call))
            with trio.move_on_after(_CALL_TIMEOUT_SECONDS):
                return await receiver.receive()
            return self.error_response(_failures.CommitUnknown())
        finally:
            self._pending.pop(exchange_id, None)


def _event_of(exchange_id: int, call: _dialect.Call) -> _events.RegistrarEvent:
    match call:
        case _dialect.PublishCall(version, document):
            return _events.ConfigurationSubmitted(
                exchange_id, version, document
            )
        case _dialect.ReadCall():
            return _events.ConfigurationRead(exchange_id)
        case _dialect.RegisterCall(registration):
            return _events.EndpointRegistered(exchange_id, registration)
        case _dialect.DeregisterCall(endpoint_id):
            return _events.EndpointLeft(exchange_id, endpoint_id)


class RegistrarDaemon:
    """Passes socket and timer events to the reducer and executes effects."""

    __slots__ = (
        "_budget",
        "_calls",
        "_cfg",
        "_dialect",
        "_driver",
        "_engine_calls",
        "_metrics",
        "_nursery",
        "_reducer",
        "_server",
        "_source",
        "_store",
        "_transport",
    )

    def __init__(
        self,
        source: shell.SettingsSource[_settings.RegistrarSettings],
        dialect: _dialect.ControlDialect,
        store: storage.LogStore,
        recovered: storage.RecoveredState,
        own_clock: clock.Clock,
        started_at: datetime.datetime | None = None,
    ) -> None:
        cfg = source.current
        self._cfg = cfg
        self._source = source
        self._dialect = dialect
        self._store = store
        self._reducer = _reducer.RegistrarReducer(
            cfg,
            dialect,
            recovered,
            random.Random(),
            own_clock.now(),
            started_at,
        )
        self._metrics = shell.PrometheusSink()
        self._driver = shell.Driver[
            _events.RegistrarEvent, _effects.RegistrarEffect
        ](
            self._reducer.handle,
            self._apply_effect,
            own_clock,
            postponement=shell.Postponement(
                storage.DiskFull,
                lambda failure: _events.DiskFilled(str(failure)),
                _events.DiskFreed,
            ),
        )
        self._calls = CallHandler(dialect, self._driver.submit, self._metrics)
        self._budget = shell.create_budget(cfg.held_bytes, self._metrics)
        self._engine_calls = _engine_calls.EngineCalls(
            dialect, self._budget, self._driver.submit
        )
        self._server = web.Server(self._calls, self._budget)
        hello = protocol.Hello(
            cfg.vm_id,
            "control",
            cfg.data_centre,
            model.Incarnation(time.time_ns() // 1_000_000),
        )
        # Of two seeds, the one with the lower id connects to the other.  A VM
        # that is not a seed connects to every seed.
        is_seed = cfg.vm_id in cfg.seeds
        self._transport = protocol.StreamTransport(
            hello,
            cfg.peer_listen or cfg.vm_id,
            [
                self._peer(seed)
                for seed in cfg.seeds
                if seed != cfg.vm_id and (not is_seed or cfg.vm_id < seed)
            ],
            None,
            self._driver.submit,
            self._budget,
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then drain and return."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(
                shell.limit_work, self._cfg.work_limits, self._metrics
            )
            stop = shell.StopSignal()
            await nursery.start(shell.watch_stop_signals, stop)
            await nursery.start(self._server.serve, self._cfg.listen)
            if self._cfg.metrics_listen is not None:
                metrics_server = web.Server(
                    web.MetricsHandler(self._metrics_text),
                    self._budget,
                    limits_heads=False,
                )
                await nursery.start(
                    metrics_server.serve, self._cfg.metrics_listen
                )
            nursery.start_soon(self._tick, stop)
            nursery.start_soon(self._retry_writes)
            await nursery.start(
                shell.watch_settings, self._source, self._reload
            )
            logs.write(
                events.PROCESS_STARTED.line(
                    id=self._cfg.vm_id,
                    role="control",
                    address=self._cfg.listen,
                )
            )
            await nursery.start(self._transport.run)
            await stop.wait()
            await self._drain(stop)
            nursery.cancel_scope.cancel()
        logs.write(events.PROCESS_STOPPED.line(id=self._cfg.vm_id))

    async def _retry_writes(self) -> None:
        while True:
            await trio.sleep(_WRITE_RETRY_SECONDS)
            self._driver.retry_postponed()

    def _reload(self, cfg: _settings.RegistrarSettings) -> None:
        self._driver.submit(_events.SettingsReloaded(cfg))

    async def _tick(self, stop: shell.StopSignal) -> None:
        while True:
            stop.pulse()
            self._driver.submit(_events.TimerFired())
            await trio.sleep(_TICK_SECONDS)

    async def _drain(self, stop: shell.StopSignal) -> None:
        """Answer all calls that are read, before the grace period ends."""
        grace_seconds = self._source.current.grace_period.total_seconds()
        end_seconds = min(
            _GRACE_END_SECONDS, grace_seconds * _MAX_GRACE_END_SHARE
        )
        logs.write(events.PROCESS_DRAINING.line())
        seconds = grace_seconds - stop.seconds_waited(grace_seconds)
        with trio.move_on_after(seconds - end_seconds) as scope:
            await self._finish_calls()
        if not scope.cancelled_caught:
            return
        self._server.finish_draining()
        self._calls.stop()
        self._calls.give_up()
        self._server.refuse_unread_requests(_failures.Draining())
        with trio.move_on_after(end_seconds / 2):
            while self._server.open_exchanges:
                await trio.sleep(_TICK_SECONDS)

    async def _finish_calls(self) -> None:
        self._server.start_draining()
        self._driver.submit(_events.DrainRequested())
        with trio.move_on_after(_LEADERSHIP_TRANSFER_TIMEOUT_SECONDS):
            while self._reducer.raft.is_leader:
                await trio.sleep(_TICK_SECONDS)
        self._server.finish_draining()
        with trio.move_on_after(_CALL_TIMEOUT_SECONDS):
            while self._server.open_exchanges:
                await trio.sleep(_TICK_SECONDS)
        self._calls.stop()
        with trio.move_on_after(_CALL_TIMEOUT_SECONDS + _TICK_SECONDS):
            while self._calls.has_open_calls:
                await trio.sleep(_TICK_SECONDS)
        self._server.refuse_unread_requests(_failures.Draining())
        with trio.move_on_after(_REFUSAL_SECONDS):
            while self._server.open_exchanges:
                await trio.sleep(_TICK_SECONDS)

    def _metrics_text(self) -> bytes:
        usage = self._reducer.limit_usage[:_MAX_LIMIT_METRICS]
        for name, values in (
            (
                "request_limit_per_second",
                {item.endpoint_id: item.requests_per_second for item in usage},
            ),
            (
                "request_limit_permits",
                {item.endpoint_id: item.granted_count for item in usage},
            ),
            (
                "request_limit_waiting",
                {item.endpoint_id: item.waiting_count for item in usage},
            ),
        ):
            self._metrics.set_gauges(
                name, {key: float(value) for key, value in values.items()}
            )
        return self._metrics.text()

    def _apply_effect(self, effect: _effects.RegistrarEffect) -> None:
        match effect:
            case _effects.SendMessage(recipient, message):
                self._transport.send(recipient, message)
            case consensus.Persist() | consensus.PersistSnapshot():
                self._write(effect)
            case _effects.Acknowledge(exchange_id):
                acknowledgement = self._dialect.acknowledgement()
                self._calls.respond(exchange_id, acknowledgement)
            case _effects.RespondWithConfiguration(exchange_id, document):
                answer = self._dialect.configuration_answer(document)
                self._calls.respond(exchange_id, answer)
            case _effects.RespondWithFailure(exchange_id, failure):
                response = self._calls.error_response(failure)
                self._calls.respond(exchange_id, response)
            case _effects.InspectEngine():
                self._nursery.start_soon(self._engine_calls.inspect, effect)
            case _effects.OrderLayers():
                self._nursery.start_soon(self._order_layers, effect)
            case _effects.DialPeer(vm_id):
                self._transport.dial(self._peer(vm_id))
            case _effects.WriteLog(line):
                logs.write(line)
                self._metrics.increment(line.definition.name, 1)

    def _write(
        self, effect: consensus.Persist | consensus.PersistSnapshot
    ) -> None:
        if self._driver.has_postponed:
            raise AssertionError("a write would overtake one that waits")
        match effect:
            case consensus.Persist(hard_state, truncate_from, entries):
                self._store.append(hard_state, truncate_from, entries)
            case consensus.PersistSnapshot(snapshot, entries):
                self._store.save_snapshot(snapshot, entries)

    async def _order_layers(self, order: _effects.OrderLayers) -> None:
        if self._reducer.raft.is_leader:
            await self._engine_calls.order_layers(order)

    def _peer(self, vm_id: model.VmId) -> settings.Peer:
        """Return the peer entry of a control VM, whose id is its address."""
        return settings.Peer(id=vm_id, address=vm_id, data_centre="")


def run(
    source: shell.SettingsSource[_settings.RegistrarSettings],
    dialect: _dialect.ControlDialect,
    lock: storage.FolderLock | None = None,
) -> None:
    """Run the daemon until SIGTERM.

    ``lock`` is that of the data folder if it was taken before the imports.

    If the data folder is in use, damaged, or written by a later version, logs
    the failure and exits with code 4.
    """
    store, recovered = shell.open_log(source.current.data_folder, lock)
    own_clock = clock.SystemClock()
    started_at = None
    if lock is not None:
        started_at = own_clock.instant_of(lock.boottime_seconds)
    daemon = RegistrarDaemon(
        source, dialect, store, recovered, own_clock, started_at
    )
    shell.run_daemon(daemon.run)
