"""The part of an endpoint's limit that one entry VM may use."""

import math
import random

# A sum is up to two intervals old, so that what one interval grants shows in
# the sum after the next one.
_GRANTED_PART = 0.5


def grant(limit: float, unanswered: int) -> float:
    """Return how many requests all VMs may send until the next sum."""
    return max(0.0, limit - unanswered) * _GRANTED_PART


def active_entries(entry_count: int, expected_sends: float) -> float:
    """Return how many entry VMs send something until the next sum.

    ``expected_sends`` is what all of them are expected to send; it may go to
    any of them.  It is at least one, the VM that asks.

    >>> round(active_entries(80, 32), 1)
    26.4
    """
    count = max(1, entry_count)
    return max(1.0, count * -math.expm1(-expected_sends / count))


def draw(share: float, rng: random.Random) -> int:
    """Return a whole number of requests whose mean is ``share``."""
    whole = math.floor(share)
    return whole + (rng.random() < share - whole)
