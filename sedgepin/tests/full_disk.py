"""Runs a program whose disk is full while a marker file exists.

    python -m sedgepin.tests.full_disk MARKER MODULE ARGUMENT...

A write to a regular file then writes a part and fails; output does not.
"""

import errno
import os
import runpy
import stat
import sys
import typing


def main() -> None:
    """Replace ``os.write`` and run the module."""
    marker = sys.argv[1]
    write = os.write
    output_fds = (sys.stdout.fileno(), sys.stderr.fileno())

    def limited_write(fd: int, data: typing.Any, /) -> int:
        if fd in output_fds or not os.path.exists(marker):
            return write(fd, data)
        if not stat.S_ISREG(os.fstat(fd).st_mode):
            return write(fd, data)
        if len(data) < 2:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return write(fd, data[: len(data) // 2])

    os.write = limited_write
    module = sys.argv[2]
    sys.argv = sys.argv[2:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
