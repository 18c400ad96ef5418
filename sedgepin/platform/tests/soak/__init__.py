"""A randomized soak: the real programs, under faults from outside them.

``python -m sedgepin.platform.tests.soak --seeds 50`` plays fifty seeds.  The
programs run as separate processes; callers, engines and the operator are
played here, and every connection crosses a proxy that can harm it.  What
they saw is judged at the end of each seed.
"""

from sedgepin.platform.tests.soak._day import play
from sedgepin.platform.tests.soak._promises import find_broken
from sedgepin.platform.tests.soak._record import Record

__all__ = ["Record", "find_broken", "play"]
