"""Tests of the answers that the daemon gives on its own."""

import pathlib

import pytest
import result

from sedgepin._gateway import _daemon
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
