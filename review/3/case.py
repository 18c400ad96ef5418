"""An engine leaves with a DELETE, at another machine than its check-ins."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins import consumers
from stand_ins import engines
from stand_ins import manifests
from stand_ins import world as worlds

_KEYS = {"cooperative": ["held-key"]}
_STABILITY_S = 3.0
_DRAIN_S = 2.0
# An engine that leaves serves for ``drainMs`` and a little longer.
_EXTRA_S = 0.6
_AFTER_S = 4.0


async def case(world: worlds.World) -> bool:
    """Return whether the rule was kept."""
    servers = [
        engines.Engine(world, number, manifests.SERVICE, work_s=0.3)
        for number in (1, 2, 3)
    ]
    for server in servers:
        await server.start()
    leaving = servers[0]
    leaving.check_in_at = world.control_addresses[0]
    await world.publish(manifests.manifest(1, _KEYS))
    await world.wait_ready()
    await asyncio.sleep(_STABILITY_S + 1.0)
    writers = consumers.Repeaters(
        world, "POST", "/receipts/17", "held-key", 4, b"receipt"
    )
    writers.start()
    await asyncio.sleep(4.0)
    if not any(attempt.status == 200 for attempt in writers.attempts):
        raise worlds.CannotRun("no request is served")
    if not worlds.has_trouble():
        await asyncio.sleep(_DRAIN_S + _EXTRA_S + _AFTER_S)
        statuses = {attempt.status for attempt in writers.attempts}
        world.record.add(f"no engine leaves; consumers got {statuses}")
        print(f"no engine leaves; consumers got {statuses}")
        return statuses == {200}
    # A comparison beside the case: the DELETE goes where the check-ins go.
    is_same = os.environ.get("DELETE_AT") == "same"
    delete_at = world.control_addresses[0 if is_same else 1]
    if not await leaving.leave(delete_at):
        raise worlds.CannotRun("the DELETE is not acknowledged")
    acked_at = world.record.now
    await asyncio.sleep(_DRAIN_S + _EXTRA_S)
    await leaving.exit()
    await asyncio.sleep(_AFTER_S)
    late = [run for run in leaving.runs if run.at > acked_at + _DRAIN_S]
    cut_ids = {run.request_id for run in leaving.cut_runs}
    broken_off = [
        attempt.status
        for attempt in writers.attempts
        if attempt.request_id in cut_ids
    ]
    world.record.add(
        f"{len(late)} requests reached {leaving.engine_id} later than"
        f" {_DRAIN_S} s after its DELETE was acknowledged"
    )
    world.record.add(
        f"at its exit {len(cut_ids)} of its requests, which may run once, were"
        f" broken off; their consumers got {broken_off}"
    )
    print(f"late: {len(late)}; broken off at the exit: {broken_off}")
    return not late


if __name__ == "__main__":
    worlds.main(case, __file__)
