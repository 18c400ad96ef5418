"""Plans of days that mix cuts of entry VMs with other troubles, by seed."""

import dataclasses
import random

from sedgepin.tests import cut_plan

_Group = cut_plan.Group
_FIRST_CUT_SECOND = 4.0


def draw_plan(entry_count: int, seed: int) -> cut_plan.Plan:
    """Return a plan whose troubles are drawn at random.

    One cut or two, one or two faults of endpoints, the fault of a forwarder
    unless nearly all VMs are cut off, and VMs of the build before.
    """
    rng = random.Random(seed)
    group = rng.choice(
        [
            _Group.ONE,
            _Group.HALF_DATA_CENTRE,
            _Group.DATA_CENTRE,
            _Group.MOST,
        ]
    )
    cuts = _draw_cuts(rng, group)
    plan = cut_plan.make_plan(entry_count, group, *cuts, seed=seed)
    forwarder_faults: tuple[cut_plan.ForwarderFault, ...] = ()
    if group is not _Group.MOST and rng.random() < 0.4:
        start = _FIRST_CUT_SECOND + rng.uniform(0.5, 4.0)
        forwarder_faults = (
            cut_plan.ForwarderFault(
                start,
                start + rng.uniform(0.5, 3.0),
                rng.choice(list(cut_plan.FaultMode)),
            ),
        )
    return dataclasses.replace(
        plan,
        faults=forwarder_faults,
        endpoint_faults=tuple(
            _draw_endpoint_fault(rng) for _ in range(rng.choice([1, 1, 2]))
        ),
        old_every=rng.choice([0, 0, 2, 3]),
        engine_pairs=18,
        cut_per_second=40.0,
        other_per_second=40.0,
    )


def _draw_cuts(
    rng: random.Random, group: cut_plan.Group
) -> tuple[cut_plan.Cut, ...]:
    end = _FIRST_CUT_SECOND + rng.uniform(1.0, 8.0)
    modes = list(cut_plan.CutMode)
    first = cut_plan.Cut(_FIRST_CUT_SECOND, end, group, rng.choice(modes))
    draw = rng.random()
    if draw < 0.6:
        return (first,)
    # Again before direct paths are in use, or the forwarders in turn.
    if draw < 0.8 or group is _Group.MOST:
        start, next_group = end + 0.3, group
    else:
        start, next_group = end, _Group.OTHER_DATA_CENTRE
    last = start + rng.uniform(1.0, 5.0)
    return (
        first,
        cut_plan.Cut(start, last, next_group, rng.choice(modes)),
    )


def _draw_endpoint_fault(rng: random.Random) -> cut_plan.EndpointFault:
    start = rng.uniform(2.0, 8.0)
    is_crash = rng.random() < 0.5
    mode = rng.choice(list(cut_plan.CutMode))
    if is_crash:
        mode = rng.choice([cut_plan.CutMode.RESET, cut_plan.CutMode.SILENT])
    return cut_plan.EndpointFault(
        start,
        start + rng.uniform(1.0, 8.0),
        rng.choice([3, 4, 6]),
        mode,
        is_crash,
        rng.random() < 0.5,
    )
