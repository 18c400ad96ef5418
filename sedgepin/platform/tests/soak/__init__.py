"""A randomized soak test of the real programs under injected faults.

``python -m sedgepin.platform.tests.soak --seeds 50`` runs fifty seeds.  The
programs run as separate processes; callers, engines and the operator are
simulated in the soak's own process.  Every connection crosses a proxy that
can inject faults.  At the end of each seed, the requests and answers that
were recorded are checked against the system's invariants.
"""

from sedgepin.platform.tests.soak._invariants import find_violations
from sedgepin.platform.tests.soak._record import Record
from sedgepin.platform.tests.soak._seed_run import run_seed

__all__ = ["Record", "find_violations", "run_seed"]
