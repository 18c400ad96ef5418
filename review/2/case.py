"""Another writer checks in with an address that cannot be read."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins import consumers
from stand_ins import engines
from stand_ins import manifests
from stand_ins import world as worlds

_KEYS = {"cooperative": ["held-key"]}
_STABILITY_S = 3.0
_LENGTH_S = 15.0
# The rule excuses up to this many requests.
_EXCUSED = 3


async def _other_writer(
    world: worlds.World, engine_id: str, port: int, number: int
) -> None:
    """Check in as often as engines do, with one value that is none."""
    address = world.engine_address(99).partition(":")[0]
    while True:
        body = {
            "service": manifests.SERVICE,
            "address": f"{address}:{port}",
            "zone": worlds.ZONES[0],
            "version": "v1",
            "slots": 96,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": number,
            "born": 1,
        }
        is_taken = await engines.check_in(world, engine_id, body)
        world.record.add(f"check-in of {engine_id} taken: {is_taken}")
        number += 1
        await asyncio.sleep(engines.HEARTBEAT_S)


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
    await asyncio.sleep(3.0)
    if not any(attempt.status == 200 for attempt in readers.attempts):
        raise worlds.CannotRun("no request is served")
    if worlds.has_trouble():
        world.spawn(_other_writer(world, "i-no-port", 80800, 1))
    await asyncio.sleep(_LENGTH_S)
    run_ids = {run.request_id for server in servers for run in server.runs}
    lost = consumers.lost_on_kept_channels(readers.attempts, run_ids)
    entry_ends = {one.name: len(one.own_ends) for one in world.entries}
    world.record.add(f"entries that ended by themselves: {entry_ends}")
    world.record.add(
        f"{len(lost)} of {len(readers.attempts)} requests were passed on to a"
        f" sound engine from a kept channel that was closed without an answer;"
        f" {_EXCUSED} are excused"
    )
    # Beside the case, and not judged: a number of more than 64 bits.
    if worlds.has_trouble():
        world.spawn(_other_writer(world, "i-no-number", 8080, 10**20))
    await asyncio.sleep(_LENGTH_S)
    control_ends = {one.name: len(one.own_ends) for one in world.controls}
    world.record.add(f"controls that ended by themselves: {control_ends}")
    print(f"lost: {len(lost)}; own ends: {entry_ends}, then {control_ends}")
    return len(lost) <= _EXCUSED


if __name__ == "__main__":
    worlds.main(case, __file__)
