"""Runs the daemon that the command line names."""

import gc
import os
import pathlib
import sys

import result

from sedgepin import _shell as shell
from sedgepin import errors
from sedgepin import events
from sedgepin import logs
from sedgepin.platform import _settings
from sedgepin import settings

_USAGE = "usage: python -m sedgepin.platform entry|control [METRICS_PORT]\n"
_EXIT_USAGE = 2
_EXIT_SETTINGS_REFUSED = 3


def main(
    arguments: list[str], early_lock: tuple[str, int, float] | None = None
) -> int:
    """Run a daemon until it is asked to stop, and return the exit code.

    ``early_lock`` is the folder, descriptor and time of a lock that was taken
    before the imports.

    The code is 2 for wrong arguments and 3 for an invalid settings file.

    Each role imports its own package only, since callers of a VM that restarts
    wait for it.
    """
    role = arguments[0] if arguments else ""
    ports = arguments[1:]
    if role not in ("entry", "control") or len(ports) > 1:
        sys.stderr.write(_USAGE)
        return _EXIT_USAGE
    if not all(port.isdigit() for port in ports):
        sys.stderr.write(_USAGE)
        return _EXIT_USAGE
    metrics_port = int(ports[0]) if ports else None
    path = pathlib.Path(os.environ.get(_settings.SETTINGS_VARIABLE, ""))
    log_settings = settings.Log(format=settings.LogFormat.JSON)
    loaded = _settings.read(path)
    if isinstance(loaded, result.Err):
        logs.configure(log_settings, role, logs.Output.STDOUT)
        failure = loaded.err_value.detail()
        logs.write(events.SETTINGS_REFUSED.line(failure=failure))
        return _EXIT_SETTINGS_REFUSED
    logs.configure(log_settings, loaded.ok_value.node_name, logs.Output.STDOUT)
    if role == "entry":
        _run_entry(path, loaded.ok_value, metrics_port)
    else:
        _run_control(path, loaded.ok_value, metrics_port, early_lock)
    return 0


def _finish_imports() -> None:
    """Turn on garbage collection, for what is allocated from now on."""
    gc.freeze()
    gc.enable()


def _run_entry(
    path: pathlib.Path, node: _settings.NodeSettings, metrics_port: int | None
) -> None:
    from sedgepin import _gateway as gateway
    from sedgepin.platform import _gateway

    _finish_imports()

    def read_settings(
        path: pathlib.Path,
    ) -> result.Result[gateway.GatewaySettings, errors.DocumentRefused]:
        loaded = _settings.read(path)
        return loaded.map(lambda node: node.gateway_settings(metrics_port))

    source = shell.SettingsSource(
        path, node.gateway_settings(metrics_port), read_settings
    )
    gateway.run(source, _gateway.GatewayDialect())


def _run_control(
    path: pathlib.Path,
    node: _settings.NodeSettings,
    metrics_port: int | None,
    early_lock: tuple[str, int, float] | None,
) -> None:
    from sedgepin import _registrar as registrar
    from sedgepin import _storage as storage
    from sedgepin.platform import _control

    _finish_imports()

    def read_settings(
        path: pathlib.Path,
    ) -> result.Result[registrar.RegistrarSettings, errors.DocumentRefused]:
        loaded = _settings.read(path)
        return loaded.map(lambda node: node.registrar_settings(metrics_port))

    source = shell.SettingsSource(
        path, node.registrar_settings(metrics_port), read_settings
    )
    lock = None
    if early_lock is not None and early_lock[0] == node.data_dir:
        lock = storage.FolderLock(early_lock[1], early_lock[2])
    registrar.run(source, _control.ControlDialect(), lock)
