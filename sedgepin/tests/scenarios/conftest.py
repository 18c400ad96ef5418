"""Steps that set a scenario up and let things happen."""

import typing

import pytest_bdd

from sedgepin import _control as control
from sedgepin import _entry as entry
from sedgepin import _state as state
from sedgepin.tests import parts
from sedgepin.tests import processes
from sedgepin.tests.scenarios import stage as stages
from sedgepin.tests import world as worlds

_parse = pytest_bdd.parsers.parse


@pytest_bdd.given(
    _parse(
        "a system with {controls:d} control VMs, {entries:d} entry VMs and "
        "{replicas:d} copies of each stage"
    ),
    target_fixture="stage",
)
def a_system(controls: int, entries: int, replicas: int) -> stages.Stage:
    made = worlds.World(controls, entries, replicas)
    made.settle()
    return stages.Stage(made)


@pytest_bdd.when(_parse('"{who}" asks {vm} for {tokens:d} tokens'))
def asks(stage: stages.Stage, who: str, vm: str, tokens: int) -> None:
    stage.names[who] = stage.world.ask(vm, f"prompt of {who}", tokens)


@pytest_bdd.when(_parse("{count:d} callers ask {vm} for {tokens:d} tokens"))
def many_ask(stage: stages.Stage, count: int, vm: str, tokens: int) -> None:
    for number in range(count):
        stage.world.ask(vm, f"prompt {number}", tokens)


@pytest_bdd.when(
    _parse('"{who}" sends a request that crashes engines to {vm}')
)
def asks_crashing(stage: stages.Stage, who: str, vm: str) -> None:
    stage.names[who] = stage.world.ask(vm, "CRASH", 20)


@pytest_bdd.when(_parse('"{who}" records receipt {key} through {vm}'))
def records(stage: stages.Stage, who: str, key: str, vm: str) -> None:
    stage.names[who] = stage.world.record(vm, f"1767225600-{key}")


@pytest_bdd.when(_parse('"{who}" reads the ledger through {vm}'))
def reads(stage: stages.Stage, who: str, vm: str) -> None:
    stage.names[who] = stage.world.record(vm, "read", "GET")


@pytest_bdd.when(_parse("{number:g} seconds pass"))
def time_passes(stage: stages.Stage, number: float) -> None:
    stage.world.run(number)


@pytest_bdd.when(_parse("{name} is killed"))
def is_killed(stage: stages.Stage, name: str) -> None:
    stage.names["the killed VM"] = stage.vm(name)
    stage.world.kill(stage.vm(name))


@pytest_bdd.when(_parse("{name} starts again"))
def starts_again(stage: stages.Stage, name: str) -> None:
    stage.world.start(stage.vm(name))


@pytest_bdd.when(_parse("{name} loses its disk"))
def loses_disk(stage: stages.Stage, name: str) -> None:
    stage.world.lose_disk(stage.vm(name))


@pytest_bdd.when(_parse("{name} freezes"))
def freezes(stage: stages.Stage, name: str) -> None:
    stage.world.freeze(stage.vm(name))


@pytest_bdd.when(_parse("{name} wakes"))
def wakes(stage: stages.Stage, name: str) -> None:
    stage.world.wake(stage.vm(name))


@pytest_bdd.when(_parse("data centre {name} is cut off"))
def is_cut_off(stage: stages.Stage, name: str) -> None:
    stage.world.cut_off(name)


@pytest_bdd.when(_parse("{first} no longer reaches {second}"))
def no_longer_reaches(stage: stages.Stage, first: str, second: str) -> None:
    stage.world.cut(stage.vm(first), stage.vm(second), both_ways=False)


@pytest_bdd.when(_parse("{name} is isolated"))
def is_isolated(stage: stages.Stage, name: str) -> None:
    alone = stage.vm(name)
    for other in (*stage.world.vms, *stage.world.endpoints):
        stage.world.cut(alone, other)


@pytest_bdd.when(_parse("{name} is isolated from all VMs but not endpoints"))
def is_isolated_from_vms(stage: stages.Stage, name: str) -> None:
    alone = stage.vm(name)
    for other in stage.world.vms:
        stage.world.cut(alone, other)


@pytest_bdd.when("the cuts heal")
def cuts_heal(stage: stages.Stage) -> None:
    stage.world.heal()


@pytest_bdd.when(_parse("endpoint {name} dies"))
def endpoint_dies(stage: stages.Stage, name: str) -> None:
    stage.world.endpoints[name].is_alive = False


@pytest_bdd.when(_parse("endpoint {name} goes silent"))
def endpoint_silent(stage: stages.Stage, name: str) -> None:
    stage.world.endpoints[name].is_silent = True


@pytest_bdd.when(_parse("endpoint {name} starts to leave"))
def endpoint_leaves(stage: stages.Stage, name: str) -> None:
    stage.world.leave(name)
    stage.names[f"leaving of {name}"] = stage.world.now


@pytest_bdd.when(_parse("the engines of data centre {name} die at once"))
def rack_dies(stage: stages.Stage, name: str) -> None:
    for endpoint in stage.world.endpoints.values():
        if endpoint.data_centre == name and endpoint.layers is not None:
            endpoint.is_alive = False


@pytest_bdd.when(_parse('an engine that runs the answer of "{who}" dies'))
def running_engine_dies(stage: stages.Stage, who: str) -> None:
    caller = stage.caller(who)
    found = next(
        request_id
        for vm in stage.world.vms.values()
        for request_id, one in vm.callers.items()
        if one is caller
    )
    lineage = [run[3] for run in stage.world.runs if run[0] == found][-1]
    stage.world.endpoints[lineage[1].endpoint_id].is_alive = False
    stage.names["death"] = stage.world.now


@pytest_bdd.when(
    _parse('operator "{who}" publishes note {number:d} as {note_id} at {vm}')
)
def publishes(
    stage: stages.Stage, who: str, number: int, note_id: str, vm: str
) -> None:
    stage.names[who] = stage.world.publish(
        stage.vm(vm), _note(number, note_id)
    )


@pytest_bdd.when(_parse("{count:d} notes are published one after the other"))
def publishes_many(stage: stages.Stage, count: int) -> None:
    for number in range(2, count + 2):
        leader = stage.vm("the leader")
        caller = stage.world.publish(leader, _note(number, f"n{number}"))
        _wait_for(stage, caller)
        assert isinstance(caller.answer, state.NoteAccepted)


@pytest_bdd.when(_parse("version {version} of the model is published"))
def publishes_version(stage: stages.Stage, version: str) -> None:
    note = _note(2, "versions")
    changed = {
        "type": "model",
        "name": "beet-32",
        "layer_count": processes.LAYER_COUNT,
        "version": version,
    }
    roles = [
        {
            "type": "role",
            "name": f"stage-{first}",
            "selector": {"layers": {"first": first, "end": end}},
            "model": "beet-32",
            "layers": {"first": first, "end": end},
        }
        for first, end in processes.STAGES
    ]
    note["changes"] = [
        {"change": "changed", "item": changed},
        *({"change": "added", "item": role} for role in roles),
    ]
    leader = stage.vm("the leader")
    stage.names["publisher"] = stage.world.publish(leader, note)


@pytest_bdd.when("a new leader is there")
def new_leader(stage: stages.Stage) -> None:
    old = stage.names.get("the old leader")
    stage.world.run_until(lambda: stage.world.leader() not in (None, old))


@pytest_bdd.when(_parse("{vm} is told to shut down"))
def shut_down(stage: stages.Stage, vm: str) -> None:
    name = stage.vm(vm)
    role = control if stage.world.vms[name].role == "control" else entry
    stage.world.submit(name, role.DrainRequested())


@pytest_bdd.when("the late pieces of all attempts come again, everywhere")
def late_pieces(stage: stages.Stage) -> None:
    stage.world.replay_pieces()


def _wait_for(stage: stages.Stage, caller: parts.Caller) -> None:
    stage.world.run_until(lambda: caller.is_over)


def _note(number: int, note_id: str) -> dict[str, typing.Any]:
    item = {"type": "service", "name": f"s-{note_id}", "kind": "plain"}
    return {
        "number": number,
        "note_id": note_id,
        "author": note_id,
        "title": f"Service {note_id}",
        "changes": [{"change": "added", "item": item}],
    }
