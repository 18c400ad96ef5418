"""The control daemon: trio tasks around the reducer, and the disk."""

import pathlib
import random
import sys
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
from sedgepin import events
from sedgepin import logs
from sedgepin import settings

_TICK_SECONDS = 0.02
_HEADER_LIMIT_BYTES = 16_384
_HANDOVER_SECONDS = 1.0
_DATA_FOLDER_REFUSED = 4


class ControlDaemon:
    """Turns sockets and timers into events, and carries out effects."""

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
        self._driver = shell.Driver(
            self._reducer.handle, self._carry_out, own_clock
        )
        self._metrics = shell.create_sink(cfg.statsd)
        self._order_client = _order_client.OrderClient(
            _order_credential(cfg),
            lambda: self._reducer.raft.holds_lease(own_clock.now()),
        )
        self._server = _operator_server.OperatorServer(
            cfg, self._reducer, self._driver.submit, own_clock
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
        )

    async def run(self) -> None:
        """Serve until SIGTERM."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self._transport.run)
            nursery.start_soon(self._tick)
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
                _HEADER_LIMIT_BYTES,
            )
            nursery.cancel_scope.cancel()
        logs.write(events.PROCESS_STOPPED.line(id=self._cfg.id))

    async def _tick(self) -> None:
        while True:
            self._driver.submit(_events.TimerFired())
            await trio.sleep(_TICK_SECONDS)

    async def _wait_for_drain(self) -> None:
        await shell.wait_for_sigterm()
        self._driver.submit(_events.DrainRequested())
        self._server.start_draining()
        with trio.move_on_after(_HANDOVER_SECONDS):
            while self._reducer.raft.is_leader:
                await trio.sleep(_TICK_SECONDS)
        await self._server.finish_draining()

    def _carry_out(self, effect: _effects.ControlEffect) -> None:
        match effect:
            case _effects.SendMessage(recipient, message):
                self._transport.send(recipient, message)
            case consensus.Persist(hard_state, truncate_from, entries):
                self._store.append(hard_state, truncate_from, entries)
            case consensus.PersistSnapshot(snapshot, entries):
                self._store.save_snapshot(snapshot, entries)
            case _effects.AnswerOperator():
                self._server.answer_operator(effect)
            case _effects.GiveOrder(order):
                self._nursery.start_soon(self._give_order, order)
            case _effects.WriteLog(line):
                logs.write(line)
            case _effects.CountMetric(name, count):
                self._metrics.increment(name, count)

    async def _give_order(self, order: release.Order) -> None:
        verdict = await self._order_client.give(order)
        self._driver.submit(_events.OrderAnswered(order, verdict))


def _order_credential(cfg: settings.ControlSettings) -> str:
    """Return the secret that orders carry, or nothing."""
    if cfg.order_credential_file is None:
        return ""
    return pathlib.Path(cfg.order_credential_file).read_text().strip()


def run(cfg: settings.ControlSettings) -> None:
    """Run the daemon until it is told to leave.

    Ends the process with a typed failure in the log where the data folder
    is in use, damaged, or of a later version.
    """
    logs.configure(cfg.log, cfg.id)
    opened = storage.FolderDisk.open(pathlib.Path(cfg.data_folder))
    if opened.is_err():
        _refuse(opened.unwrap_err().detail())
    store = storage.LogStore(opened.unwrap())
    found = store.open()
    if found.is_err():
        _refuse(found.unwrap_err().detail())
    daemon = ControlDaemon(cfg, store, found.unwrap(), clock.SystemClock())
    shell.run_daemon(daemon.run)


def _refuse(reason: str) -> None:
    logs.write(events.LOG_REFUSED.line(failure=reason))
    sys.exit(_DATA_FOLDER_REFUSED)
