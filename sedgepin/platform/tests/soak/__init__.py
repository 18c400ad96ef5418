"""A randomized soak: the real programs, under faults from outside them.

``python -m sedgepin.platform.tests.soak --seeds 50`` plays fifty seeds.  The
programs run as separate processes; callers, engines and the operator are
played here, and every connection crosses a proxy that can harm it.  What
they saw is judged at the end of each seed.
"""

from sedgepin.platform.tests.soak._invariants import find_violations
from sedgepin.platform.tests.soak._record import Record
from sedgepin.platform.tests.soak._seed_run import run_seed

__all__ = ["Record", "find_violations", "run_seed"]
