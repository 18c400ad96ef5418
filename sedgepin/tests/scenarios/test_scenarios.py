"""All feature files of this folder, and the steps that look at the end."""

import pytest_bdd

from sedgepin import _model as model
from sedgepin import _state as state
from sedgepin import errors
from sedgepin.tests import fake_engine
from sedgepin.tests import fakes
from sedgepin.tests import processes
from sedgepin.tests.scenarios import context as contexts

pytest_bdd.scenarios(".")

_parse = pytest_bdd.parsers.parse
_LEAVING_LIMIT = fakes.seconds(3)
_ANY_SECONDS = 30.0


@pytest_bdd.then(_parse('"{who}" has the whole answer of {tokens:d} tokens'))
def has_whole_answer(
    context: contexts.ScenarioContext, who: str, tokens: int
) -> None:
    caller = context.caller(who)
    context.simulation.run_until(lambda: caller.is_finished, _ANY_SECONDS)
    assert caller.failure is None
    assert caller.text == _true_text(who, tokens)


@pytest_bdd.then(_parse('"{who}" was stalled for at most {limit:g} seconds'))
def was_stalled(
    context: contexts.ScenarioContext, who: str, limit: float
) -> None:
    caller = context.caller(who)
    gaps = zip(caller.piece_times, caller.piece_times[1:])
    assert max(later - sooner for sooner, later in gaps) <= (
        fakes.seconds(limit)
    )


@pytest_bdd.then(_parse('"{who}" is refused as {code}, {outcome}'))
def is_refused(
    context: contexts.ScenarioContext, who: str, code: str, outcome: str
) -> None:
    caller = context.caller(who)
    context.simulation.run_until(lambda: caller.is_finished, _ANY_SECONDS)
    assert caller.failure is not None
    assert caller.failure.code == code
    assert caller.failure.outcome.value == outcome


@pytest_bdd.then(_parse('"{who}" is told when to come back'))
def told_when(context: contexts.ScenarioContext, who: str) -> None:
    failure = context.caller(who).failure
    assert failure is not None
    assert failure.retry_after is not None


@pytest_bdd.then(_parse('"{who}" heard within {limit:g} seconds'))
def heard_within(
    context: contexts.ScenarioContext, who: str, limit: float
) -> None:
    caller = context.caller(who)
    assert caller.answered_at is not None
    assert caller.answered_at - caller.sent_at <= fakes.seconds(limit)


@pytest_bdd.then(_parse('"{who}" and "{other}" hear the same answer'))
def same_answer(
    context: contexts.ScenarioContext, who: str, other: str
) -> None:
    callers = [context.caller(who), context.caller(other)]
    context.simulation.run_until(
        lambda: all(one.is_finished for one in callers)
    )
    bodies = [one.answer.body for one in callers]
    assert bodies[0] == bodies[1]


@pytest_bdd.then(_parse('"{who}" hears an answer'))
def hears(context: contexts.ScenarioContext, who: str) -> None:
    caller = context.caller(who)
    context.simulation.run_until(lambda: caller.is_finished, _ANY_SECONDS)
    assert caller.answer is not None


@pytest_bdd.then(_parse("receipt {key} was executed {count:d} times"))
def executed(context: contexts.ScenarioContext, key: str, count: int) -> None:
    assert context.simulation.executions[f"1767225600-{key}"] == count


@pytest_bdd.then("nothing was executed twice, and nothing that was denied")
def never_twice(context: contexts.ScenarioContext) -> None:
    keyed = {
        key: count
        for key, count in context.simulation.executions.items()
        if key != "read"
    }
    assert all(count <= 1 for count in keyed.values())
    for vm in context.simulation.vms.values():
        for request_id, caller in vm.callers.items():
            failure = caller.failure
            if failure and failure.outcome is errors.Outcome.NOT_RUN:
                assert request_id not in context.simulation.executed_requests


@pytest_bdd.then("every token passed each layer once, in order")
def layers_once(context: contexts.ScenarioContext) -> None:
    assert context.simulation.runs
    assert context.simulation.wrong_resumptions == []
    seen = set()
    for request_id, attempt, position, lineage in context.simulation.runs:
        assert (request_id, attempt, position) not in seen
        seen.add((request_id, attempt, position))
        stages = [
            model.Stage(mark.endpoint_id, "", mark.layers) for mark in lineage
        ]
        assert model.Pipeline.tile(stages, processes.LAYER_COUNT).is_ok()


@pytest_bdd.then(_parse("endpoint {name} got nothing new after 3 seconds"))
def got_nothing_new(context: contexts.ScenarioContext, name: str) -> None:
    left_at = context.names[f"leaving of {name}"]
    given = context.simulation.endpoints[name].work_received_at
    assert given, "the endpoint was never used at all"
    assert max(given) - left_at <= _LEAVING_LIMIT


@pytest_bdd.then(_parse("at most {count:d} endpoints are dead"))
def at_most_dead(context: contexts.ScenarioContext, count: int) -> None:
    dead = [
        one.name
        for one in context.simulation.endpoints.values()
        if not one.is_alive
    ]
    assert len(dead) <= count


@pytest_bdd.then(
    _parse(
        "note {number:d} is in force on every running entry VM within "
        "{limit:g} seconds"
    )
)
def in_force(
    context: contexts.ScenarioContext, number: int, limit: float
) -> None:
    context.simulation.run_until(
        lambda: all(
            context.simulation.note_number_in_force(name) == number
            for name in context.running("entry")
        ),
        limit,
    )


@pytest_bdd.then("no VM ever went back to an older note")
def never_back(context: contexts.ScenarioContext) -> None:
    assert context.simulation.note_regressions == []


@pytest_bdd.then(_parse('exactly one of "{who}" and "{other}" is accepted'))
def exactly_one(
    context: contexts.ScenarioContext, who: str, other: str
) -> None:
    callers = [context.caller(who), context.caller(other)]
    context.simulation.run_until(
        lambda: all(one.is_finished for one in callers)
    )
    kinds = sorted(type(one.answer).__name__ for one in callers)
    assert kinds == ["NoteAccepted", "NoteConflicted"]
    winner, loser = sorted(
        (one.answer for one in callers), key=lambda one: type(one).__name__
    )
    assert loser.failure.winner == winner.accepted


@pytest_bdd.then(
    _parse('"{who}" is told of the first acceptance of {note_id}')
)
def first_acceptance(
    context: contexts.ScenarioContext, who: str, note_id: str
) -> None:
    caller = context.caller(who)
    context.simulation.run_until(lambda: caller.is_finished)
    assert isinstance(caller.answer, state.NoteAccepted)
    assert caller.answer.accepted.note_id == note_id


@pytest_bdd.then(_parse("{name} is ready"))
def is_ready(context: contexts.ScenarioContext, name: str) -> None:
    reducer = context.simulation.vms[name].reducer
    context.simulation.run_until(lambda: reducer.is_ready)


@pytest_bdd.then(_parse("{name} is not ready"))
def is_not_ready(context: contexts.ScenarioContext, name: str) -> None:
    assert not context.simulation.vms[name].reducer.is_ready


@pytest_bdd.then(_parse("{name} has nothing left to do"))
def is_idle(context: contexts.ScenarioContext, name: str) -> None:
    reducer = context.simulation.vms[name].reducer
    context.simulation.run_until(lambda: reducer.is_idle)


@pytest_bdd.then(_parse("{name} gave no order after {limit:g} seconds"))
def gave_no_order(
    context: contexts.ScenarioContext, name: str, limit: float
) -> None:
    alone = context.vm(name)
    partitioned_at = context.simulation.partitioned_at[alone]
    late = [
        order
        for giver, order, at in context.simulation.orders
        if giver == alone and at - partitioned_at > fakes.seconds(limit)
    ]
    assert late == []


@pytest_bdd.then(_parse("every engine serves version {version} in time"))
def serves_version(context: contexts.ScenarioContext, version: str) -> None:
    engines = [
        one
        for one in context.simulation.endpoints.values()
        if one.layers is not None and one.is_alive
    ]
    context.simulation.run_until(
        lambda: all(one.version == version for one in engines), 120.0
    )


@pytest_bdd.then("orders carry rising fencing tokens, whoever gives them")
def rising_tokens(context: contexts.ScenarioContext) -> None:
    given = [
        order.fencing_token for _giver, order, _at in context.simulation.orders
    ]
    assert given == sorted(set(given))
    for endpoint in context.simulation.endpoints.values():
        tokens = [order.fencing_token for order in endpoint.orders]
        assert tokens == sorted(set(tokens))


@pytest_bdd.then(_parse("{name} still has work to do"))
def has_work(context: contexts.ScenarioContext, name: str) -> None:
    assert not context.simulation.vms[name].reducer.is_idle


@pytest_bdd.then(_parse("another leader is there within {limit:g} seconds"))
def another_leader(context: contexts.ScenarioContext, limit: float) -> None:
    old = context.names["the old leader"]
    context.simulation.run_until(
        lambda: context.simulation.leader() not in (None, old), limit
    )


@pytest_bdd.then(_parse("dead endpoints were tried at most {count:d} times"))
def dead_tried(context: contexts.ScenarioContext, count: int) -> None:
    died_at = context.names["death"]
    tried = [
        at
        for endpoint in context.simulation.endpoints.values()
        if not endpoint.is_alive
        for at in endpoint.work_received_at
        if at > died_at
    ]
    assert len(tried) <= count


@pytest_bdd.then(_parse("a command is committed within {limit:g} seconds"))
def commits(context: contexts.ScenarioContext, limit: float) -> None:
    context.simulation.run_until(
        lambda: context.simulation.leader() is not None, limit
    )


@pytest_bdd.then("the audit trail tells of a quarantined request")
def audited_quarantine(context: contexts.ScenarioContext) -> None:
    leader = context.vm("the leader")
    trail = context.simulation.vms[leader].reducer.state.audit(0, 1000)
    kinds = [record.kind for record in trail]
    assert state.AuditKind.REQUEST_QUARANTINED in kinds


@pytest_bdd.then("the audit trail tells of an election, a note and a join")
def audited(context: contexts.ScenarioContext) -> None:
    leader = context.vm("the leader")
    trail = context.simulation.vms[leader].reducer.state.audit(0, 1000)
    kinds = {record.kind for record in trail}
    assert {
        state.AuditKind.LEADER_ELECTED,
        state.AuditKind.NOTE_ACCEPTED,
        state.AuditKind.VM_JOINED,
    } <= kinds


def _true_text(who: str, tokens: int) -> str:
    return "".join(
        fake_engine.token_text(f"prompt of {who}", position)
        for position in range(tokens)
    )
