"""Command line of the daemons.

Usage: ``python -m sedgepin.platform entry|control [METRICS_PORT]``.
"""

import fcntl
import gc
import os
import signal
import sys
import time
import tomllib


def lock_data_folder(arguments: list[str]) -> tuple[str, int, float] | None:
    """Lock a control VM's data folder before the imports, if it exists.

    Return the folder, the descriptor and ``CLOCK_BOOTTIME`` after that: the
    voter's wait counts from there, because an earlier process of the member
    has ended.  A failure is left to the later attempt to take the lock.
    """
    if arguments[:1] != ["control"]:
        return None
    try:
        with open(os.environ["SEDGEPIN_NODE_FILE"], "rb") as file:
            folder = tomllib.load(file)["dataDir"]
        fd = os.open(os.path.join(folder, "lock"), os.O_RDWR)
    except (KeyError, OSError, TypeError, ValueError):
        return None
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(fd)
        return None
    return folder, fd, time.clock_gettime(time.CLOCK_BOOTTIME)


def main(arguments: list[str]) -> int:
    """Run a daemon until it is asked to stop, and return the exit code.

    SIGHUP reloads the settings.  Before the daemon has installed its handler
    the default action would end the process, so it is ignored before the
    other imports.  These run without garbage collection.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    early_lock = lock_data_folder(arguments)
    from sedgepin.platform import _program

    return _program.main(arguments, early_lock)


if __name__ == "__main__":
    exit_code = main(sys.argv[1:])
    # The interpreter's own teardown takes longer than all else that a stop
    # does after its last answers, and a daemon leaves nothing to it.
    sys.stdout.flush()
    os._exit(exit_code)
