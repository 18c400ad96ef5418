"""Given and when steps: set up a system, send requests, inject faults."""

import typing

import pytest_bdd

from sedgepin import _state as state
from sedgepin.tests import fakes
from sedgepin.tests import processes
from sedgepin.tests.scenarios import context as contexts
from sedgepin.tests import simulation as simulations

_parse = pytest_bdd.parsers.parse


@pytest_bdd.given(
    _parse(
        "a system with {controls:d} control VMs, {entries:d} entry VMs and "
        "{replicas:d} replicas of each stage"
    ),
    target_fixture="context",
)
def create_system(
    controls: int, entries: int, replicas: int
) -> contexts.ScenarioContext:
    simulation = simulations.Simulation(controls, entries, replicas)
    simulation.start_and_publish()
    return contexts.ScenarioContext(simulation)


@pytest_bdd.when(
    _parse('"{caller_name}" requests {tokens:d} tokens from {vm}')
)
def send_prompt(
    context: contexts.ScenarioContext, caller_name: str, vm: str, tokens: int
) -> None:
    context.bindings[caller_name] = context.simulation.send_prompt(
        vm, f"prompt of {caller_name}", tokens
    )


@pytest_bdd.when(
    _parse("{count:d} callers request {tokens:d} tokens each from {vm}")
)
def send_many_prompts(
    context: contexts.ScenarioContext, count: int, vm: str, tokens: int
) -> None:
    for number in range(count):
        context.simulation.send_prompt(vm, f"prompt {number}", tokens)


@pytest_bdd.when(
    _parse('"{caller_name}" sends a request that crashes engines to {vm}')
)
def send_crashing_prompt(
    context: contexts.ScenarioContext, caller_name: str, vm: str
) -> None:
    context.bindings[caller_name] = context.simulation.send_prompt(
        vm, "CRASH", 20
    )


@pytest_bdd.when(
    _parse('"{caller_name}" sends a prompt of its own after {start} to {vm}')
)
def send_prompt_after_start(
    context: contexts.ScenarioContext, caller_name: str, start: str, vm: str
) -> None:
    """Send blocks of a prompt that others share, and one of its own."""
    blocks = ["shared"]
    if "crashes" in start:
        blocks.append("CRASH")
    blocks.append(caller_name)
    prompt = "".join(block.ljust(256) for block in blocks)
    context.bindings[caller_name] = context.simulation.send_prompt(
        vm, prompt, 20
    )


@pytest_bdd.when(_parse('"{caller_name}" records receipt {key} through {vm}'))
def record_receipt(
    context: contexts.ScenarioContext, caller_name: str, key: str, vm: str
) -> None:
    context.bindings[caller_name] = context.simulation.call_ledger(
        vm, f"1767225600-{key}"
    )


@pytest_bdd.when(_parse('"{caller_name}" reads the ledger through {vm}'))
def read_ledger(
    context: contexts.ScenarioContext, caller_name: str, vm: str
) -> None:
    context.bindings[caller_name] = context.simulation.call_ledger(
        vm, "read", "GET"
    )


@pytest_bdd.when(_parse("{number:g} seconds pass"))
def advance_time(context: contexts.ScenarioContext, number: float) -> None:
    context.simulation.run(number)


@pytest_bdd.when(_parse("{name} is killed"))
def kill_vm(context: contexts.ScenarioContext, name: str) -> None:
    context.bindings["the killed VM"] = context.vm(name)
    context.simulation.kill(context.vm(name))


@pytest_bdd.when(_parse("{name} restarts"))
def restart_vm(context: contexts.ScenarioContext, name: str) -> None:
    context.simulation.start(context.vm(name))


@pytest_bdd.when(_parse("{name} loses its disk"))
def replace_disk(context: contexts.ScenarioContext, name: str) -> None:
    context.simulation.replace_disk(context.vm(name))


@pytest_bdd.when(_parse("{name} freezes"))
def freeze_vm(context: contexts.ScenarioContext, name: str) -> None:
    context.simulation.freeze(context.vm(name))


@pytest_bdd.when(_parse("{name} resumes"))
def resume_vm(context: contexts.ScenarioContext, name: str) -> None:
    context.simulation.resume(context.vm(name))


@pytest_bdd.when(_parse("data centre {name} is partitioned from the others"))
def partition_data_centre(
    context: contexts.ScenarioContext, name: str
) -> None:
    context.simulation.isolate_data_centre(name)


@pytest_bdd.when(_parse("messages from {first} to {second} are lost"))
def lose_messages(
    context: contexts.ScenarioContext, first: str, second: str
) -> None:
    context.simulation.block_messages(
        context.vm(first), context.vm(second), bidirectional=False
    )


@pytest_bdd.when(_parse("{name} is isolated"))
def isolate_vm(context: contexts.ScenarioContext, name: str) -> None:
    isolated = context.vm(name)
    for node in (*context.simulation.vms, *context.simulation.endpoints):
        context.simulation.block_messages(isolated, node)


@pytest_bdd.when(_parse("{name} is isolated from all VMs but not endpoints"))
def isolate_vm_from_vms(context: contexts.ScenarioContext, name: str) -> None:
    isolated = context.vm(name)
    for vm in context.simulation.vms:
        context.simulation.block_messages(isolated, vm)


@pytest_bdd.when("all partitions heal")
def heal_partitions(context: contexts.ScenarioContext) -> None:
    context.simulation.unblock_all()


@pytest_bdd.when(_parse("endpoint {name} crashes"))
def crash_endpoint(context: contexts.ScenarioContext, name: str) -> None:
    context.simulation.endpoints[name].is_alive = False


@pytest_bdd.when(_parse("endpoint {name} stops responding"))
def silence_endpoint(context: contexts.ScenarioContext, name: str) -> None:
    context.simulation.endpoints[name].is_silent = True


@pytest_bdd.when(_parse("endpoint {name} starts to leave"))
def start_leaving(context: contexts.ScenarioContext, name: str) -> None:
    context.simulation.start_leaving(name)
    context.bindings[f"start of leaving of {name}"] = context.simulation.now


@pytest_bdd.when(_parse("all engines of data centre {name} crash"))
def crash_engines_of_data_centre(
    context: contexts.ScenarioContext, name: str
) -> None:
    for endpoint in context.simulation.endpoints.values():
        if endpoint.data_centre == name and endpoint.layers is not None:
            endpoint.is_alive = False


@pytest_bdd.when(
    _parse('an engine that serves the request of "{caller_name}" crashes')
)
def crash_serving_engine(
    context: contexts.ScenarioContext, caller_name: str
) -> None:
    caller = context.caller(caller_name)
    served_id = next(
        request_id
        for vm in context.simulation.vms.values()
        for request_id, vm_caller in vm.callers.items()
        if vm_caller is caller
    )
    lineage = [
        run[3] for run in context.simulation.token_runs if run[0] == served_id
    ][-1]
    context.simulation.endpoints[lineage[1].endpoint_id].is_alive = False
    context.bindings["crash"] = context.simulation.now


@pytest_bdd.when(
    _parse(
        'operator "{caller_name}" publishes release note {number:d} '
        "with id {note_id} at {vm}"
    )
)
def publish_note(
    context: contexts.ScenarioContext,
    caller_name: str,
    number: int,
    note_id: str,
    vm: str,
) -> None:
    context.bindings[caller_name] = context.simulation.publish(
        context.vm(vm), _note(number, note_id)
    )


@pytest_bdd.when(
    _parse("{count:d} release notes are published one after another")
)
def publish_many_notes(context: contexts.ScenarioContext, count: int) -> None:
    for number in range(2, count + 2):
        leader = context.vm("the leader")
        caller = context.simulation.publish(
            leader, _note(number, f"n{number}")
        )
        _wait_for(context, caller)
        assert isinstance(caller.answer, state.NoteAccepted)


@pytest_bdd.when(_parse("version {version} of the model is published"))
def publish_model_version(
    context: contexts.ScenarioContext, version: str
) -> None:
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
    context.bindings["publisher"] = context.simulation.publish(leader, note)


@pytest_bdd.when("a new leader is elected")
def wait_for_new_leader(context: contexts.ScenarioContext) -> None:
    old = context.bindings.get("the old leader")
    context.simulation.run_until(
        lambda: context.simulation.leader() not in (None, old)
    )


@pytest_bdd.when(_parse("{vm} begins a graceful shutdown"))
def begin_shutdown(context: contexts.ScenarioContext, vm: str) -> None:
    context.simulation.begin_shutdown(context.vm(vm))


@pytest_bdd.when(
    "all pieces of all attempts are delivered again on every stream"
)
def resend_all_pieces(context: contexts.ScenarioContext) -> None:
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
