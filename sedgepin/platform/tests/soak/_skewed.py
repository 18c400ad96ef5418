"""``python -m ..._skewed MILLISECONDS entry|control``: a wrong clock.

Runs the real program with a time of day that is off by some milliseconds;
elapsed time is right.
"""

import runpy
import sys
import time


def main() -> None:
    """Set the clock wrong, then run the program."""
    off_ns = int(sys.argv.pop(1)) * 1_000_000
    real = time.time_ns
    time.time_ns = lambda: real() + off_ns
    time.time = lambda: (real() + off_ns) / 1e9
    sys.argv[0] = "sedgepin.platform"
    runpy.run_module("sedgepin.platform", run_name="__main__")


if __name__ == "__main__":
    main()
