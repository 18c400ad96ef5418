"""``python -m sedgepin.platform entry`` or ``control``."""

import os
import pathlib
import signal
import sys

import result

from sedgepin import _gateway as gateway
from sedgepin import _registrar as registrar
from sedgepin import _shell as shell
from sedgepin import events
from sedgepin import logs
from sedgepin.platform import _control
from sedgepin.platform import _gateway
from sedgepin.platform import _settings
from sedgepin import settings

_USAGE_ERROR = 2
_SETTINGS_REFUSED = 3


def main(arguments: list[str]) -> int:
    """Run one daemon until it is told to leave; return its exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if arguments not in (["entry"], ["control"]):
        sys.stderr.write("usage: python -m sedgepin.platform entry|control\n")
        return _USAGE_ERROR
    path = pathlib.Path(os.environ.get(_settings.SETTINGS_VARIABLE, ""))
    log_cfg = settings.Log(format=settings.LogFormat.JSON)
    read = _settings.read(path)
    if isinstance(read, result.Err):
        logs.set_up(log_cfg, arguments[0], logs.Output.STDOUT)
        failure = read.err_value.detail()
        logs.write(events.SETTINGS_REFUSED.line(failure=failure))
        return _SETTINGS_REFUSED
    node = read.ok_value
    logs.set_up(log_cfg, node.node_name, logs.Output.STDOUT)
    if arguments == ["entry"]:
        entry = shell.SettingsSource(
            path,
            node.gateway(),
            lambda path: _settings.read(path).map(_settings.Node.gateway),
        )
        gateway.run(entry, _gateway.GatewayDialect())
    else:
        control = shell.SettingsSource(
            path,
            node.registrar(),
            lambda path: _settings.read(path).map(_settings.Node.registrar),
        )
        registrar.run(control, _control.ControlDialect())
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
