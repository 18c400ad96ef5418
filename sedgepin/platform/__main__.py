"""``python -m sedgepin.platform entry|control [METRICS_PORT]``."""

import os
import pathlib
import signal
import sys

import result

from sedgepin import _gateway as gateway
from sedgepin import _registrar as registrar
from sedgepin import _shell as shell
from sedgepin import errors
from sedgepin import events
from sedgepin import logs
from sedgepin.platform import _control
from sedgepin.platform import _gateway
from sedgepin.platform import _settings
from sedgepin import settings

_USAGE = "usage: python -m sedgepin.platform entry|control [METRICS_PORT]\n"
_USAGE_ERROR = 2
_SETTINGS_REFUSED = 3


def main(arguments: list[str]) -> int:
    """Run one daemon until it is told to leave; return its exit code."""
    # Until the daemon watches for it, SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    role = arguments[0] if arguments else ""
    ports = arguments[1:]
    if role not in ("entry", "control") or len(ports) > 1:
        sys.stderr.write(_USAGE)
        return _USAGE_ERROR
    if not all(one.isdigit() for one in ports):
        sys.stderr.write(_USAGE)
        return _USAGE_ERROR
    metrics_port = int(ports[0]) if ports else None
    path = pathlib.Path(os.environ.get(_settings.SETTINGS_VARIABLE, ""))
    log_cfg = settings.Log(format=settings.LogFormat.JSON)
    read = _settings.read(path)
    if isinstance(read, result.Err):
        logs.configure(log_cfg, role, logs.Output.STDOUT)
        failure = read.err_value.detail()
        logs.write(events.SETTINGS_REFUSED.line(failure=failure))
        return _SETTINGS_REFUSED
    logs.configure(log_cfg, read.ok_value.node_name, logs.Output.STDOUT)
    if role == "entry":
        _run_entry(path, read.ok_value, metrics_port)
    else:
        _run_control(path, read.ok_value, metrics_port)
    return 0


def _run_entry(
    path: pathlib.Path, node: _settings.NodeSettings, metrics_port: int | None
) -> None:
    def read(
        path: pathlib.Path,
    ) -> result.Result[gateway.GatewaySettings, errors.DocumentRefused]:
        found = _settings.read(path)
        return found.map(lambda node: node.gateway_settings(metrics_port))

    source = shell.SettingsSource(
        path, node.gateway_settings(metrics_port), read
    )
    gateway.run(source, _gateway.GatewayDialect())


def _run_control(
    path: pathlib.Path, node: _settings.NodeSettings, metrics_port: int | None
) -> None:
    def read(
        path: pathlib.Path,
    ) -> result.Result[registrar.RegistrarSettings, errors.DocumentRefused]:
        found = _settings.read(path)
        return found.map(lambda node: node.registrar_settings(metrics_port))

    source = shell.SettingsSource(
        path, node.registrar_settings(metrics_port), read
    )
    registrar.run(source, _control.ControlDialect())


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
