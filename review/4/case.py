"""A tenant whose name has letters beyond Latin-1 is added."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins import consumers
from stand_ins import engines
from stand_ins import manifests
from stand_ins import world as worlds

_KEYS = {"cooperative": ["held-key"]}
_ADDED = {True: "Ìtànkálẹ̀", False: "Itankale"}
_STABILITY_S = 3.0
_CONFIG_S = 2.0
_ATTEMPTS = 9
# The rule excuses up to this many requests.
_EXCUSED = 3


async def case(world: worlds.World) -> bool:
    """Return whether the rule was kept."""
    servers = [
        engines.Engine(world, number, manifests.SERVICE, work_s=0.3)
        for number in (1, 2, 3)
    ]
    for server in servers:
        await server.start()
    await world.publish(manifests.manifest(1, _KEYS))
    await world.wait_ready()
    await asyncio.sleep(_STABILITY_S + 1.0)
    readers = consumers.Repeaters(world, "GET", "/accounts/17", "held-key")
    readers.start()
    await asyncio.sleep(2.0)
    if not any(attempt.status == 200 for attempt in readers.attempts):
        raise worlds.CannotRun("no request is served")
    name = _ADDED[worlds.has_trouble()]
    await world.publish(manifests.manifest(2, {**_KEYS, name: ["added-key"]}))
    await asyncio.sleep(_CONFIG_S + 0.5)
    added = []
    for number in range(_ATTEMPTS):
        machine = world.entries[number % len(world.entries)]
        channel = consumers.Channel(world, machine)
        added.append(await channel.send("GET", "/accounts/18", "added-key"))
        channel.close()
        await asyncio.sleep(2.0)
    run_ids = {run.request_id for server in servers for run in server.runs}
    lost = consumers.lost_on_kept_channels(readers.attempts, run_ids)
    statuses = [attempt.status or attempt.outcome for attempt in added]
    ends = {one.name: len(one.own_ends) for one in world.machines}
    world.record.add(f"requests of tenant {name} ended with {statuses}")
    world.record.add(f"processes that ended by themselves: {ends}")
    world.record.add(
        f"{len(lost)} of {len(readers.attempts)} requests were passed on to a"
        f" sound engine from a kept channel that was closed without an answer;"
        f" {_EXCUSED} are excused"
    )
    print(f"lost: {len(lost)}; {name}: {statuses}; own ends: {ends}")
    return len(lost) <= _EXCUSED


if __name__ == "__main__":
    worlds.main(case, __file__)
