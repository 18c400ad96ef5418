"""Tests of entry VMs that are cut off beside other troubles, by seed.

More seeds are played by ``python -m sedgepin.tests.test_cut_mixes VMS FIRST
COUNT``, which prints those that fail.
"""

import sys

import pytest

from sedgepin.tests import cut_day
from sedgepin.tests import cut_mix

# From the users' rules.
_MIN_SERVED_RATIO = 0.95


def find_faults(entry_count: int, seed: int) -> list[str]:
    """Play a day and return what it breaks."""
    day = cut_day.CutDay(cut_mix.draw_plan(entry_count, seed))
    day.play()
    record = day.record
    counts = {
        "unanswered": len(record.unanswered()),
        "run too often": len(record.run_too_often()),
        "falsely not run": len(record.falsely_not_run()),
        "with gaps": len(record.with_gaps()),
        "wrongly refused": len(record.wrongly_refused()),
    }
    faults = [f"{name}: {count}" for name, count in counts.items() if count]
    at_cut, at_others = record.served_share(True), record.served_share(False)
    if at_cut < _MIN_SERVED_RATIO * at_others:
        faults.append(f"served: {at_cut:.3f} and {at_others:.3f}")
    return faults


class TestMixes:
    @pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 9])
    def test_cut_vms_are_served_beside_other_troubles(self, seed: int) -> None:
        assert find_faults(7, seed) == []

    @pytest.mark.parametrize("seed", [1, 3])
    def test_larger_fleet(self, seed: int) -> None:
        assert find_faults(66, seed) == []


def _main() -> None:
    entry_count, first, count = map(int, sys.argv[1:])
    failed = 0
    for seed in range(first, first + count):
        faults = find_faults(entry_count, seed)
        if faults:
            failed += 1
            print(seed, *faults, sep="  ", flush=True)
    print(f"{failed} of {count} seeds failed, {entry_count} entry VMs")


if __name__ == "__main__":
    _main()
