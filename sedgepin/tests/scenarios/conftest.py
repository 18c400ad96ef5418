"""Steps that set a scenario up and let things happen."""

import typing

import pytest_bdd

from sedgepin import _control as control
from sedgepin import _entry as entry
from sedgepin import _state as state
from sedgepin.tests import fakes
from sedgepin.tests import processes
from sedgepin.tests.scenarios import context as contexts
from sedgepin.tests import simulation as simulations

_parse = pytest_bdd.parsers.parse


@pytest_bdd.given(
    _parse(
        "a system with {controls:d} control VMs, {entries:d} entry VMs and "
        "{replicas:d} copies of each stage"
    ),
    target_fixture="context",
)
def a_system(
    controls: int, entries: int, replicas: int
) -> contexts.ScenarioContext:
    made = simulations.Simulation(controls, entries, replicas)
    made.start_and_publish()
    return contexts.ScenarioContext(made)


@pytest_bdd.when(_parse('"{who}" asks {vm} for {tokens:d} tokens'))
def asks(
    context: contexts.ScenarioContext, who: str, vm: str, tokens: int
) -> None:
    context.names[who] = context.simulation.send_prompt(
        vm, f"prompt of {who}", tokens
    )


@pytest_bdd.when(_parse("{count:d} callers ask {vm} for {tokens:d} tokens"))
def many_ask(
    context: contexts.ScenarioContext, count: int, vm: str, tokens: int
) -> None:
    for number in range(count):
        context.simulation.send_prompt(vm, f"prompt {number}", tokens)


@pytest_bdd.when(
    _parse('"{who}" sends a request that crashes engines to {vm}')
)
def asks_crashing(
    context: contexts.ScenarioContext, who: str, vm: str
) -> None:
    context.names[who] = context.simulation.send_prompt(vm, "CRASH", 20)


@pytest_bdd.when(_parse('"{who}" records receipt {key} through {vm}'))
def records(
    context: contexts.ScenarioContext, who: str, key: str, vm: str
) -> None:
    context.names[who] = context.simulation.call_ledger(
        vm, f"1767225600-{key}"
    )


@pytest_bdd.when(_parse('"{who}" reads the ledger through {vm}'))
def reads(context: contexts.ScenarioContext, who: str, vm: str) -> None:
    context.names[who] = context.simulation.call_ledger(vm, "read", "GET")


@pytest_bdd.when(_parse("{number:g} seconds pass"))
def time_passes(context: contexts.ScenarioContext, number: float) -> None:
    context.simulation.run(number)


@pytest_bdd.when(_parse("{name} is killed"))
def is_killed(context: contexts.ScenarioContext, name: str) -> None:
    context.names["the killed VM"] = context.vm(name)
    context.simulation.kill(context.vm(name))


@pytest_bdd.when(_parse("{name} starts again"))
def starts_again(context: contexts.ScenarioContext, name: str) -> None:
    context.simulation.start(context.vm(name))


@pytest_bdd.when(_parse("{name} loses its disk"))
def loses_disk(context: contexts.ScenarioContext, name: str) -> None:
    context.simulation.replace_disk(context.vm(name))


@pytest_bdd.when(_parse("{name} freezes"))
def freezes(context: contexts.ScenarioContext, name: str) -> None:
    context.simulation.freeze(context.vm(name))


@pytest_bdd.when(_parse("{name} wakes"))
def wakes(context: contexts.ScenarioContext, name: str) -> None:
    context.simulation.resume(context.vm(name))


@pytest_bdd.when(_parse("data centre {name} is cut off"))
def is_cut_off(context: contexts.ScenarioContext, name: str) -> None:
    context.simulation.isolate_data_centre(name)


@pytest_bdd.when(_parse("{first} no longer reaches {second}"))
def no_longer_reaches(
    context: contexts.ScenarioContext, first: str, second: str
) -> None:
    context.simulation.block_messages(
        context.vm(first), context.vm(second), bidirectional=False
    )


@pytest_bdd.when(_parse("{name} is isolated"))
def is_isolated(context: contexts.ScenarioContext, name: str) -> None:
    alone = context.vm(name)
    for other in (*context.simulation.vms, *context.simulation.endpoints):
        context.simulation.block_messages(alone, other)


@pytest_bdd.when(_parse("{name} is isolated from all VMs but not endpoints"))
def is_isolated_from_vms(context: contexts.ScenarioContext, name: str) -> None:
    alone = context.vm(name)
    for other in context.simulation.vms:
        context.simulation.block_messages(alone, other)


@pytest_bdd.when("the cuts heal")
def cuts_heal(context: contexts.ScenarioContext) -> None:
    context.simulation.unblock_all()


@pytest_bdd.when(_parse("endpoint {name} dies"))
def endpoint_dies(context: contexts.ScenarioContext, name: str) -> None:
    context.simulation.endpoints[name].is_alive = False


@pytest_bdd.when(_parse("endpoint {name} goes silent"))
def endpoint_silent(context: contexts.ScenarioContext, name: str) -> None:
    context.simulation.endpoints[name].is_silent = True


@pytest_bdd.when(_parse("endpoint {name} starts to leave"))
def endpoint_leaves(context: contexts.ScenarioContext, name: str) -> None:
    context.simulation.start_leaving(name)
    context.names[f"leaving of {name}"] = context.simulation.now


@pytest_bdd.when(_parse("the engines of data centre {name} die at once"))
def rack_dies(context: contexts.ScenarioContext, name: str) -> None:
    for endpoint in context.simulation.endpoints.values():
        if endpoint.data_centre == name and endpoint.layers is not None:
            endpoint.is_alive = False


@pytest_bdd.when(_parse('an engine that runs the answer of "{who}" dies'))
def running_engine_dies(context: contexts.ScenarioContext, who: str) -> None:
    caller = context.caller(who)
    found = next(
        request_id
        for vm in context.simulation.vms.values()
        for request_id, one in vm.callers.items()
        if one is caller
    )
    lineage = [run[3] for run in context.simulation.runs if run[0] == found][
        -1
    ]
    context.simulation.endpoints[lineage[1].endpoint_id].is_alive = False
    context.names["death"] = context.simulation.now


@pytest_bdd.when(
    _parse('operator "{who}" publishes note {number:d} as {note_id} at {vm}')
)
def publishes(
    context: contexts.ScenarioContext,
    who: str,
    number: int,
    note_id: str,
    vm: str,
) -> None:
    context.names[who] = context.simulation.publish(
        context.vm(vm), _note(number, note_id)
    )


@pytest_bdd.when(_parse("{count:d} notes are published one after the other"))
def publishes_many(context: contexts.ScenarioContext, count: int) -> None:
    for number in range(2, count + 2):
        leader = context.vm("the leader")
        caller = context.simulation.publish(
            leader, _note(number, f"n{number}")
        )
        _wait_for(context, caller)
        assert isinstance(caller.answer, state.NoteAccepted)


@pytest_bdd.when(_parse("version {version} of the model is published"))
def publishes_version(context: contexts.ScenarioContext, version: str) -> None:
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
    leader = context.vm("the leader")
    context.names["publisher"] = context.simulation.publish(leader, note)


@pytest_bdd.when("a new leader is there")
def new_leader(context: contexts.ScenarioContext) -> None:
    old = context.names.get("the old leader")
    context.simulation.run_until(
        lambda: context.simulation.leader() not in (None, old)
    )


@pytest_bdd.when(_parse("{vm} is told to shut down"))
def shut_down(context: contexts.ScenarioContext, vm: str) -> None:
    name = context.vm(vm)
    role = control if context.simulation.vms[name].role == "control" else entry
    context.simulation.submit(name, role.DrainRequested())


@pytest_bdd.when("the late pieces of all attempts come again, everywhere")
def late_pieces(context: contexts.ScenarioContext) -> None:
    context.simulation.resend_all_pieces()


def _wait_for(context: contexts.ScenarioContext, caller: fakes.Caller) -> None:
    context.simulation.run_until(lambda: caller.is_finished)


def _note(number: int, note_id: str) -> dict[str, typing.Any]:
    item = {"type": "service", "name": f"s-{note_id}", "kind": "plain"}
    return {
        "number": number,
        "note_id": note_id,
        "author": note_id,
        "title": f"Service {note_id}",
        "changes": [{"change": "added", "item": item}],
    }
