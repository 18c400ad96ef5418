"""Exit codes of the ``sedgepin`` command, and how it ends with one."""

import enum
import sys
import typing

from sedgepin import errors


class ExitCode(enum.IntEnum):
    """What the command's exit status says."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    FAULTY_DOCUMENT = 4


def fail(failure: errors.Failure, code: ExitCode) -> typing.NoReturn:
    """Print ``failure`` to standard error and end with ``code``."""
    if isinstance(failure, errors.DocumentRefused):
        for fault in failure.faults:
            print(f"{failure.document}: {fault}", file=sys.stderr)
    else:
        print(f"{failure.code}: {failure.detail()}", file=sys.stderr)
    raise SystemExit(int(code))
