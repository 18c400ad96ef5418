"""Tests of attempts and calls that fail as nobody expects."""

import datetime

import pytest

from sedgepin._entry import _daemon
from sedgepin._entry import _effects
from sedgepin._entry import _endpoint_client
from sedgepin._entry import _events
from sedgepin._entry.tests import parts
from sedgepin import _model as model
from sedgepin import clock
from sedgepin import settings
from sedgepin.tests import processes

_SECOND = datetime.timedelta(seconds=1)


class _FailingClient(_endpoint_client.EndpointClient):
    async def run_stream(
        self, effect: _effects.StartStream, emit: _endpoint_client.Emit
    ) -> None:
        raise ZeroDivisionError

    async def call_service(
        self, effect: _effects.CallService, emit: _endpoint_client.Emit
    ) -> None:
        raise ZeroDivisionError

    async def probe(
        self, effect: _effects.ProbeStages, emit: _endpoint_client.Emit
    ) -> None:
        raise ZeroDivisionError


class _Driver:
    """Records the events; messages of peers raise an exception."""

    def __init__(self) -> None:
        self.submitted: list[_events.EntryEvent] = []

    def submit(self, event: _events.EntryEvent) -> None:
        if event is _PEER_EVENT:
            raise ZeroDivisionError
        self.submitted.append(event)


_PEER_EVENT = _events.DrainRequested()


@pytest.fixture
def daemon() -> _daemon.EntryDaemon:
    cfg = settings.EntrySettings(
        id="e",
        data_centre="d",
        peer_listen="127.0.0.1:1",
        caller_listen="127.0.0.1:2",
        controls=(),
        customers=(
            settings.Customer(
                id="c",
                credential_sha256=processes.sha256_hex(
                    processes.CALLER_CREDENTIAL
                ),
            ),
        ),
    )
    entry = _daemon.EntryDaemon(cfg, clock.SystemClock())
    entry._client = _FailingClient()
    entry._driver = _Driver()  # type: ignore[assignment]
    return entry


def _submitted(daemon: _daemon.EntryDaemon) -> list[_events.EntryEvent]:
    driver = daemon._driver
    assert isinstance(driver, _Driver)
    return driver.submitted


class TestUnexpectedFailure:
    """It ends its attempt, with an unknown outcome, and nothing else."""

    async def test_stream_counts_as_run(
        self, daemon: _daemon.EntryDaemon
    ) -> None:
        await daemon._run_stream(parts.make_stream())
        (event,) = _submitted(daemon)
        assert isinstance(event, _events.StreamFailed)
        assert event.crashed

    async def test_call_counts_as_sent(
        self, daemon: _daemon.EntryDaemon
    ) -> None:
        request = _events.ServiceRequest(
            model.RequestId("r1"),
            model.CustomerId("c"),
            model.ServiceName("s"),
            "POST",
            "/x",
            (),
            b"",
            "",
            None,
            0,
        )
        effect = _effects.CallService(
            request, 1, model.EndpointId("e"), "http://127.0.0.1:1", _SECOND
        )
        await daemon._call_service(effect)
        (event,) = _submitted(daemon)
        assert isinstance(event, _events.ServiceFailed)
        assert event.bytes_were_sent

    async def test_probe_and_message_are_lost(
        self, daemon: _daemon.EntryDaemon
    ) -> None:
        effect = _effects.ProbeStages(model.RequestId("r1"), 1, 1, (), _SECOND)
        await daemon._probe(effect)
        daemon._submit_peer_event(_PEER_EVENT)  # type: ignore[arg-type]
        assert _submitted(daemon) == []
