"""The entry daemon: the trio tasks that run the reducer."""

import random
import secrets
import time

import trio

from sedgepin._entry import _effects
from sedgepin._entry import _endpoint_client
from sedgepin._entry import _events
from sedgepin._entry import _failures
from sedgepin._entry import _forwarded_client
from sedgepin._entry import _forwarding_policy
from sedgepin._entry import _reducer
from sedgepin._entry import _server
from sedgepin import _forwarding as forwarding
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _shell as shell
from sedgepin import clock
from sedgepin import containment
from sedgepin import events
from sedgepin import logs
from sedgepin import settings

_TICK_SECONDS = 0.05
_DRAIN_POLL_SECONDS = 0.05
# A network partition may keep write records from being settled.  The shutdown
# stops waiting after this time; the control VMs mark the records as unknown
# once this VM is gone.
_SETTLE_TIMEOUT_SECONDS = 10.0
# Of the end of a grace period, what the last answers may take.
_LAST_ANSWERS_SECONDS = 0.5
_LAST_ANSWERS_POLL_SECONDS = 0.02


class EntryDaemon:
    """Feeds network and timer events to the reducer, runs its effects."""

    __slots__ = (
        "_budget",
        "_calls",
        "_cfg",
        "_client",
        "_clock",
        "_driver",
        "_forwarded_client",
        "_forwarding",
        "_metrics",
        "_nursery",
        "_reducer",
        "_server",
        "_streams",
        "_transport",
    )

    def __init__(
        self, cfg: settings.EntrySettings, own_clock: clock.Clock
    ) -> None:
        self._cfg = cfg
        self._clock = own_clock
        now = own_clock.now()
        incarnation = model.Incarnation(time.time_ns() // 1_000_000)
        forward_key = secrets.token_hex(16)
        self._reducer = _reducer.EntryReducer(
            cfg, incarnation, random.Random(), now, forward_key
        )
        self._driver = shell.Driver(
            self._reducer.handle,
            self._apply_effect,
            own_clock,
            is_fail_stop=False,
        )
        self._metrics = shell.create_sink(cfg.statsd)
        self._budget = shell.create_budget(
            cfg.memory.held_bytes, self._metrics
        )
        self._forwarding = forwarding.ForwardingServer(
            forward_key,
            _forwarding_policy.EntryForwardingPolicy(
                self._reducer, own_clock, self._driver.submit
            ),
            self._budget,
        )
        self._client: _endpoint_client.EndpointClient = (
            _endpoint_client.HttpEndpointClient(
                cfg.limits.answer_bytes, self._budget
            )
        )
        self._forwarded_client = _forwarded_client.ForwardedClient(
            cfg.limits.answer_bytes, self._budget
        )
        self._server = _server.EntryServer(
            cfg,
            self._driver.submit,
            lambda: self._reducer.is_ready,
            lambda: self._reducer.status(own_clock.now()),
            lambda: self._reducer.report_service_levels(own_clock.now()),
            self._budget,
        )
        hello = protocol.Hello(
            model.VmId(cfg.id),
            "entry",
            model.DataCentreId(cfg.data_centre),
            incarnation,
        )
        peers = (*cfg.controls, *shell.peers_to_dial(cfg.id, cfg.entries))
        self._transport = protocol.StreamTransport(
            hello,
            cfg.peer_listen,
            peers,
            cfg.tls,
            self._submit_peer_event,
            self._budget,
        )
        self._streams: dict[_AttemptKey, trio.CancelScope] = {}
        self._calls: dict[_AttemptKey, trio.CancelScope] = {}

    async def run(self) -> None:
        """Serve until SIGTERM, then drain until no request is in flight."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(
                shell.limit_work, self._cfg.work.limits, self._metrics
            )
            await nursery.start(self._transport.run)
            if self._cfg.forward_listen is not None:
                await nursery.start(
                    self._forwarding.serve, self._cfg.forward_listen
                )
            stop = shell.StopSignal()
            nursery.start_soon(self._tick, stop)
            nursery.start_soon(self._wait_for_drain, stop)
            line = events.PROCESS_STARTED.line(
                id=self._cfg.id, role="entry", address=self._cfg.caller_listen
            )
            logs.write(line)
            await self._server.serve(
                self._cfg.caller_listen,
                self._cfg.caller_tls,
                self._cfg.limits.header_bytes,
            )
            nursery.cancel_scope.cancel()
        logs.write(events.PROCESS_STOPPED.line(id=self._cfg.id))

    async def _tick(self, stop: shell.StopSignal) -> None:
        while True:
            stop.pulse()
            self._driver.submit(_events.TimerFired())
            await trio.sleep(_TICK_SECONDS)

    async def _wait_for_drain(self, stop: shell.StopSignal) -> None:
        await self._nursery.start(shell.watch_stop_signals, stop)
        await stop.wait()
        self._driver.submit(_events.DrainRequested())
        self._server.start_draining()
        self._forwarding.is_draining = True
        grace_seconds = self._cfg.drain.grace_seconds
        if grace_seconds is None:
            await self._drain()
            return
        seconds = grace_seconds - stop.seconds_waited(grace_seconds)
        with trio.move_on_after(
            max(0.0, seconds - settings.GRACE_END_SECONDS)
        ) as scope:
            await self._drain()
            # The server may still be sending the last bytes.
            await trio.sleep_forever()
        if scope.cancelled_caught:
            await self._end_open_requests()

    async def _drain(self) -> None:
        """Take requests during the notice, then wait for the longest one."""
        await trio.sleep(self._cfg.drain.notice_seconds)
        await self._server.take_in()
        # The server may stop at once, and answers nothing that comes later.
        self._driver.submit(_events.DrainNoticeEnded())
        self._server.start_refusing()
        await self._server.wait_idle()
        while self._forwarding.open_forwards:
            await trio.sleep(_DRAIN_POLL_SECONDS)
        with trio.move_on_after(_SETTLE_TIMEOUT_SECONDS):
            while not self._reducer.is_idle:
                await trio.sleep(_DRAIN_POLL_SECONDS)
        await self._server.finish_draining()

    async def _end_open_requests(self) -> None:
        """Answer what is open at the end of the grace period, and stop."""
        ended = _events.GracePeriodEnded(
            self._forwarding.open_forwards, self._server.unread_requests
        )
        self._forwarding.record_cut()
        self._driver.submit(ended)
        self._server.start_refusing()
        self._server.refuse_unread_requests()
        with trio.move_on_after(_LAST_ANSWERS_SECONDS):
            while self._server.owes_answers:
                await trio.sleep(_LAST_ANSWERS_POLL_SECONDS)
        self._nursery.cancel_scope.cancel()

    def _apply_effect(self, effect: _effects.EntryEffect) -> None:
        match effect:
            case (
                _effects.DeliverPieces()
                | _effects.EndAnswer()
                | _effects.AnswerCall()
                | _effects.RefuseCaller()
            ):
                self._server.apply_effect(effect)
            case _effects.SendMessage(recipient, message):
                self._transport.send(recipient, message)
            case _effects.StartStream():
                self._nursery.start_soon(self._run_stream, effect)
            case _effects.CallService():
                self._nursery.start_soon(self._call_service, effect)
            case _effects.ProbeStages():
                self._nursery.start_soon(self._probe, effect)
            case _effects.ProbePath():
                self._nursery.start_soon(
                    _endpoint_client.probe_path, effect, self._driver.submit
                )
            case _effects.CancelStream(request_id, attempt):
                _cancel(self._streams, (request_id, attempt))
            case _effects.CancelCall(request_id, attempt):
                _cancel(self._calls, (request_id, attempt))
            case _effects.ReplyAnnouncement() | _effects.RefuseAnnouncement():
                self._server.reply_announcement(effect)
            case _effects.WriteLog(line):
                logs.write(line)
            case _effects.CountMetric(name, count):
                self._metrics.increment(name, count)
            case _effects.RecordDuration(name, duration):
                self._metrics.record_duration(name, duration)

    def _submit_peer_event(self, event: protocol.PeerEvent) -> None:
        """Submit an event; a message that fails counts as lost."""
        with containment.contain("peer_message"):
            self._driver.submit(event)

    async def _run_stream(self, effect: _effects.StartStream) -> None:
        """Run an attempt; one that fails unexpectedly may have run."""
        with containment.contain("stream") as outcome:
            await self._send_stream(effect)
        if outcome.failure is not None:
            self._driver.submit(
                _events.StreamFailed(
                    effect.request_id,
                    effect.attempt,
                    effect.pipeline.stages[0].endpoint_id,
                    _failures.EndpointFailed("the attempt failed"),
                    True,
                )
            )

    async def _send_stream(self, effect: _effects.StartStream) -> None:
        key = (effect.request_id, effect.attempt)
        with trio.CancelScope() as scope:
            self._streams[key] = scope
            try:
                submit = self._driver.submit
                if effect.forwarder is None:
                    await self._client.run_stream(effect, submit)
                else:
                    await self._forwarded_client.run_stream(
                        effect, effect.forwarder, submit
                    )
            finally:
                self._streams.pop(key, None)

    async def _probe(self, effect: _effects.ProbeStages) -> None:
        submit = self._driver.submit
        with containment.contain("probe"):
            if effect.forwarder is None:
                await self._client.probe(effect, submit)
            else:
                await self._forwarded_client.probe(
                    effect, effect.forwarder, submit
                )

    async def _call_service(self, effect: _effects.CallService) -> None:
        """Send a call; one that fails unexpectedly may have run."""
        with containment.contain("call") as outcome:
            await self._send_call(effect)
        if outcome.failure is not None:
            self._driver.submit(
                _events.ServiceFailed(
                    effect.request.request_id,
                    effect.attempt,
                    _failures.EndpointFailed("the call failed"),
                    True,
                )
            )

    async def _send_call(self, effect: _effects.CallService) -> None:
        key = (effect.request.request_id, effect.attempt)
        with trio.CancelScope() as scope:
            self._calls[key] = scope
            try:
                submit = self._driver.submit
                if effect.forwarder is None:
                    await self._client.call_service(effect, submit)
                else:
                    await self._forwarded_client.call_service(
                        effect, effect.forwarder, submit
                    )
            finally:
                self._calls.pop(key, None)


_AttemptKey = tuple[model.RequestId, int]


def _cancel(
    scopes: dict[_AttemptKey, trio.CancelScope], key: _AttemptKey
) -> None:
    scope = scopes.get(key)
    if scope is not None:
        scope.cancel()


def run(cfg: settings.EntrySettings) -> None:
    """Set up logging and run the daemon until it has drained on SIGTERM."""
    logs.configure(cfg.log, cfg.id)
    shell.run_daemon(EntryDaemon(cfg, clock.SystemClock()).run)
