"""Exit codes of the ``sedgepin`` command and exits with a failure."""

import enum
import os
import sys
import typing

from sedgepin import errors


class ExitCode(enum.IntEnum):
    """Exit status of the command.

    ``REFUSED`` means that a control VM refused the request or that a request
    id was not found, ``UNREACHABLE`` that no control VM answered, and
    ``FAULTY_DOCUMENT`` that a settings file, release note or configuration
    has faults.  ``check-configuration`` returns ``FINDINGS`` for a valid
    configuration with findings, ``DIFFERENT`` for one without findings that
    differs from the other, and ``FAULTY_REFERENCE`` if the other has faults.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    FAULTY_DOCUMENT = 4
    FINDINGS = 5
    DIFFERENT = 6
    FAULTY_REFERENCE = 7


def exit_with_failure(
    failure: errors.Failure, code: ExitCode
) -> typing.NoReturn:
    """Print ``failure`` to standard error and exit with ``code``."""
    if isinstance(failure, errors.DocumentRefused):
        for fault in failure.faults:
            print(f"{failure.document}: {fault}", file=sys.stderr)
    else:
        print(f"{failure.code}: {failure.detail()}", file=sys.stderr)
    raise SystemExit(int(code))


def end_stopped_daemon() -> typing.NoReturn:
    """End the process of a daemon that has stopped.

    The interpreter's own teardown would take longer than all else that a stop
    does after its last answers, and a daemon leaves nothing to it.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(int(ExitCode.DONE))
