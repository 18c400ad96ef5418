"""The subcommands that run a daemon.

They import neither the command-line library nor the operators' client, which
would take a third of an idle daemon's memory.
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
        _fail_role(settings_file, "an entry VM's")
    _entry.run(cfg)


def control(settings_file: pathlib.Path) -> None:
    """Run a control VM's daemon until SIGTERM.

    :param settings_file: JSON settings of the daemon
    """
    from sedgepin import _control

    cfg = read_settings(settings_file)
    if not isinstance(cfg, settings.ControlSettings):
        _fail_role(settings_file, "a control VM's")
    _control.run(cfg)


def read_settings(path: pathlib.Path) -> settings.Settings:
    """Return the settings in ``path``, or end with every fault named."""
    read = settings.read(path)
    if read.is_err():
        _exit.fail(read.unwrap_err(), _exit.ExitCode.FAULTY_DOCUMENT)
    return read.unwrap()


def _fail_role(path: pathlib.Path, wanted: str) -> typing.NoReturn:
    print(f"{path}: these are not {wanted} settings", file=sys.stderr)
    raise SystemExit(int(_exit.ExitCode.FAULTY_DOCUMENT))
