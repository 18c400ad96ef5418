"""The subcommands that run a daemon.

This module imports neither the command-line library nor the operators'
client.  These would take up a third of an idle daemon's memory.
"""

import pathlib
import sys
import typing

from sedgepin.cli import _exit
from sedgepin import settings


def entry(settings_file: pathlib.Path) -> None:
    """Run an entry VM's daemon until SIGTERM.

    :param settings_file: JSON settings of the daemon
    """
    from sedgepin import _entry

    cfg = read_settings(settings_file)
    if not isinstance(cfg, settings.EntrySettings):
        _exit_with_wrong_role(settings_file, "an entry VM")
    _entry.run(cfg)
    _exit.end_stopped_daemon()


def control(settings_file: pathlib.Path) -> None:
    """Run a control VM's daemon until SIGTERM.

    :param settings_file: JSON settings of the daemon
    """
    from sedgepin import _control

    cfg = read_settings(settings_file)
    if not isinstance(cfg, settings.ControlSettings):
        _exit_with_wrong_role(settings_file, "a control VM")
    _control.run(cfg)
    _exit.end_stopped_daemon()


def read_settings(path: pathlib.Path) -> settings.Settings:
    """Return the settings in ``path``, or print every fault and exit."""
    read = settings.read(path)
    if read.is_err():
        _exit.exit_with_failure(
            read.unwrap_err(), _exit.ExitCode.FAULTY_DOCUMENT
        )
    return read.unwrap()


def _exit_with_wrong_role(
    path: pathlib.Path, expected_role: str
) -> typing.NoReturn:
    print(f"{path}: not the settings of {expected_role}", file=sys.stderr)
    raise SystemExit(int(_exit.ExitCode.FAULTY_DOCUMENT))
