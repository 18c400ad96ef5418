"""The entry point of the ``sedgepin`` command and its subcommands."""

import pathlib
import sys
import typing

from sedgepin.cli import _daemons
from sedgepin.cli import _exit

_DAEMONS = {"entry": _daemons.entry, "control": _daemons.control}


def main(arguments: list[str] | None = None) -> int:
    """Run the command and return its exit code.

    Starting a daemon bypasses the command-line library to save memory.
    """
    argv = sys.argv[1:] if arguments is None else arguments
    if len(argv) == 2 and argv[0] in _DAEMONS and argv[1][:1] != "-":
        _DAEMONS[argv[0]](pathlib.Path(argv[1]))
        return int(_exit.ExitCode.DONE)
    return _parse_and_run(argv)


def _parse_and_run(argv: list[str]) -> int:
    import defopt

    from sedgepin.cli import _check_configuration
    from sedgepin.cli import _explain
    from sedgepin.cli import _operations
    from sedgepin.cli import _service_levels

    commands: dict[str, typing.Any] = {
        **_DAEMONS,
        "check-settings": _operations.check_settings,
        "check-configuration": _check_configuration.check_configuration,
        "note": {
            "publish": _operations.publish,
            "status": _operations.note_status,
            "show": _operations.note_show,
        },
        "status": _operations.status,
        "endpoints": _operations.endpoints,
        "audit": _operations.audit,
        "explain": _explain.explain,
        "service-levels": _service_levels.service_levels,
    }
    defopt.run(
        commands,
        argv=argv,
        short={},
        argparse_kwargs={"prog": "sedgepin"},
    )
    return int(_exit.ExitCode.DONE)
