"""Command line of the daemons.

Usage: ``python -m sedgepin.platform entry|control [METRICS_PORT]``.
"""

import gc
import os
import signal
import sys


def main(arguments: list[str]) -> int:
    """Run a daemon until it is asked to stop, and return the exit code.

    SIGHUP reloads the settings.  Before the daemon has installed its handler
    the default action would end the process, so it is ignored before the
    other imports.  These run without garbage collection.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    from sedgepin.platform import _program

    return _program.main(arguments)


if __name__ == "__main__":
    exit_code = main(sys.argv[1:])
    # The interpreter's own teardown takes longer than all else that a stop
    # does after its last answers, and a daemon leaves nothing to it.
    sys.stdout.flush()
    os._exit(exit_code)
