"""Tests of the answers that the daemon gives on its own."""

import pathlib

import pytest
import result

from sedgepin._gateway import _daemon
from sedgepin._gateway import _effects
from sedgepin._gateway import _events
from sedgepin._gateway.tests import parts
from sedgepin import _shell as shell
from sedgepin import _web as web
from sedgepin import clock
from sedgepin import events
from sedgepin import logs
from sedgepin.platform import _gateway as platform_gateway


class TestErrorResponse:
    """Only what the caller did is logged as a malformed request."""

    @pytest.mark.parametrize(
        ("failure", "status", "logged"),
        [
            (web.BodyTooLarge(), 413, ["request_unreadable"]),
            (web.HandlerFailed(), 502, []),
        ],
    )
    def test_failed_handler_is_not_laid_on_the_caller(
        self,
        monkeypatch: pytest.MonkeyPatch,
        failure: web.BodyTooLarge | web.HandlerFailed,
        status: int,
        logged: list[str],
    ) -> None:
        lines: list[events.LogLine] = []
        monkeypatch.setattr(logs, "write", lines.append)
        cfg = parts.make_settings()
        source = shell.SettingsSource(
            pathlib.Path("none"), cfg, lambda path: result.Ok(cfg)
        )
        daemon = _daemon.GatewayDaemon(
            source, platform_gateway.GatewayDialect(), clock.SystemClock()
        )
        head, _body = daemon.error_response(failure)
        assert head.status == status
        assert [line.definition.name for line in lines] == logged


class TestHeldRequest:
    def test_it_is_refused_if_the_deadline_comes_first(self) -> None:
        """The timer may be late after a pause of the process."""
        gateway = parts.Gateway(())
        exchange_id, effects = gateway.send_request("/draft/x")
        assert parts.has_no_effect(effects, _effects.FailExchange)
        effects = gateway.handle(_events.DeadlineReached(exchange_id))
        failure = parts.get_effect(effects, _effects.FailExchange).failure
        assert failure.http_status == 503
        assert parts.has_no_effect(gateway.advance(50), _effects.FailExchange)
