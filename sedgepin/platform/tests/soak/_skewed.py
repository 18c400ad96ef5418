"""``python -m ..._skewed MILLISECONDS entry|control``: runs with clock skew.

The real program runs with a wall clock that is off by some milliseconds; the
monotonic clock is unchanged.
"""

import runpy
import sys
import time


def main() -> None:
    """Skew the wall clock, then run the program."""
    skew_ns = int(sys.argv.pop(1)) * 1_000_000
    real_time_ns = time.time_ns
    time.time_ns = lambda: real_time_ns() + skew_ns
    time.time = lambda: (real_time_ns() + skew_ns) / 1e9
    sys.argv[0] = "sedgepin.platform"
    runpy.run_module("sedgepin.platform", run_name="__main__")


if __name__ == "__main__":
    main()
