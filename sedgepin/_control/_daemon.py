"""The control daemon: runs the reducer with sockets, timers and disk."""

import pathlib
import random
import time

import trio

from sedgepin import _consensus as consensus
from sedgepin._control import _effects
from sedgepin._control import _events
from sedgepin._control import _operator_server
from sedgepin._control import _order_client
from sedgepin._control import _reducer
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _release as release
from sedgepin import _shell as shell
from sedgepin import _storage as storage
from sedgepin import clock
from sedgepin import containment
from sedgepin import events
from sedgepin import logs
from sedgepin import settings

_TICK_SECONDS = 0.02
# A full disk has space again after seconds at best.
_WRITE_RETRY_SECONDS = 0.1
_MAX_HEADER_BYTES = 16_384
_LEADERSHIP_TRANSFER_TIMEOUT_SECONDS = 1.0


class ControlDaemon:
    """Passes messages and timer ticks to the reducer; carries out effects."""

    __slots__ = (
        "_cfg",
        "_clock",
        "_driver",
        "_metrics",
        "_nursery",
        "_order_client",
        "_reducer",
        "_server",
        "_store",
        "_transport",
    )

    def __init__(
        self,
        cfg: settings.ControlSettings,
        store: storage.LogStore,
        recovered: storage.RecoveredState,
        own_clock: clock.Clock,
    ) -> None:
        self._cfg = cfg
        self._clock = own_clock
        self._store = store
        self._reducer = _reducer.ControlReducer(
            cfg, recovered, random.Random(), own_clock.now()
        )
        self._driver = shell.Driver[
            _events.ControlEvent, _effects.ControlEffect
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
        self._metrics = shell.create_sink(cfg.statsd)
        self._order_client = _order_client.OrderClient(
            _order_credential(cfg),
            lambda: self._reducer.raft.holds_lease(own_clock.now()),
        )
        budget = shell.create_budget(cfg.memory.held_bytes, self._metrics)
        self._server = _operator_server.OperatorServer(
            cfg,
            self._reducer,
            self._driver.submit,
            own_clock,
            budget,
        )
        hello = protocol.Hello(
            model.VmId(cfg.id),
            "control",
            model.DataCentreId(cfg.data_centre),
            model.Incarnation(time.time_ns() // 1_000_000),
        )
        self._transport = protocol.StreamTransport(
            hello,
            cfg.peer_listen,
            shell.peers_to_dial(cfg.id, cfg.controls),
            cfg.tls,
            self._driver.submit,
            budget,
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then transfer leadership and stop."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(
                shell.limit_work, self._cfg.work.limits, self._metrics
            )
            await nursery.start(self._transport.run)
            nursery.start_soon(self._tick)
            nursery.start_soon(self._retry_writes)
            nursery.start_soon(self._wait_for_drain)
            line = events.PROCESS_STARTED.line(
                id=self._cfg.id,
                role="control",
                address=self._cfg.operator_listen,
            )
            logs.write(line)
            await self._server.serve(
                self._cfg.operator_listen,
                self._cfg.operator_tls,
                _MAX_HEADER_BYTES,
            )
            nursery.cancel_scope.cancel()
        logs.write(events.PROCESS_STOPPED.line(id=self._cfg.id))

    async def _retry_writes(self) -> None:
        while True:
            await trio.sleep(_WRITE_RETRY_SECONDS)
            self._driver.retry_postponed()

    async def _tick(self) -> None:
        while True:
            self._driver.submit(_events.TimerFired())
            await trio.sleep(_TICK_SECONDS)

    async def _wait_for_drain(self) -> None:
        stop = shell.StopSignal()
        await self._nursery.start(shell.watch_stop_signals, stop)
        await stop.wait()
        self._driver.submit(_events.DrainRequested())
        self._server.start_draining()
        with trio.move_on_after(_LEADERSHIP_TRANSFER_TIMEOUT_SECONDS):
            while self._reducer.raft.is_leader:
                await trio.sleep(_TICK_SECONDS)
        await self._server.finish_draining()

    def _apply_effect(self, effect: _effects.ControlEffect) -> None:
        match effect:
            case _effects.SendMessage(recipient, message):
                self._transport.send(recipient, message)
            case consensus.Persist() | consensus.PersistSnapshot():
                self._write(effect)
            case _effects.AnswerOperator():
                self._server.answer_operator(effect)
            case _effects.SendOrder(order):
                self._nursery.start_soon(self._send_order, order)
            case _effects.WriteLog(line):
                logs.write(line)
            case _effects.CountMetric(name, count):
                self._metrics.increment(name, count)

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

    async def _send_order(self, order: release.Order) -> None:
        outcome = release.OrderOutcome.FAILED
        with containment.contain("order"):
            outcome = await self._order_client.send(order)
        self._driver.submit(_events.OrderCompleted(order, outcome))


def _order_credential(cfg: settings.ControlSettings) -> str:
    """Return the bearer token that orders carry; empty if none is set."""
    if cfg.order_credential_file is None:
        return ""
    return pathlib.Path(cfg.order_credential_file).read_text().strip()


def run(cfg: settings.ControlSettings) -> None:
    """Run the daemon until SIGTERM.

    Exits with status 4 and a log line if the data folder is in use, damaged
    or written by a later version.
    """
    logs.configure(cfg.log, cfg.id)
    store, recovered = shell.open_log(cfg.data_folder)
    daemon = ControlDaemon(cfg, store, recovered, clock.SystemClock())
    shell.run_daemon(daemon.run)
