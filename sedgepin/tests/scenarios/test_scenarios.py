"""All feature files of this folder, and the steps that look at the end."""

import pytest_bdd

from sedgepin import _model as model
from sedgepin import _state as state
from sedgepin import errors
from sedgepin.tests import fake_engine
from sedgepin.tests import parts
from sedgepin.tests import processes
from sedgepin.tests.scenarios import stage as stages

pytest_bdd.scenarios(".")

_parse = pytest_bdd.parsers.parse
_LEAVING_LIMIT = parts.seconds(3)
_ANY_SECONDS = 30.0


@pytest_bdd.then(_parse('"{who}" has the whole answer of {tokens:d} tokens'))
def has_whole_answer(stage: stages.Stage, who: str, tokens: int) -> None:
    caller = stage.caller(who)
    stage.world.run_until(lambda: caller.is_over, _ANY_SECONDS)
    assert caller.failure is None
    assert caller.text == _true_text(who, tokens)


@pytest_bdd.then(_parse('"{who}" was stalled for at most {limit:g} seconds'))
def was_stalled(stage: stages.Stage, who: str, limit: float) -> None:
    caller = stage.caller(who)
    gaps = zip(caller.heard_at, caller.heard_at[1:])
    assert max(later - sooner for sooner, later in gaps) <= (
        parts.seconds(limit)
    )


@pytest_bdd.then(_parse('"{who}" is refused as {code}, {outcome}'))
def is_refused(stage: stages.Stage, who: str, code: str, outcome: str) -> None:
    caller = stage.caller(who)
    stage.world.run_until(lambda: caller.is_over, _ANY_SECONDS)
    assert caller.failure is not None
    assert caller.failure.code == code
    assert caller.failure.outcome.value == outcome


@pytest_bdd.then(_parse('"{who}" is told when to come back'))
def told_when(stage: stages.Stage, who: str) -> None:
    failure = stage.caller(who).failure
    assert failure is not None
    assert failure.retry_after is not None


@pytest_bdd.then(_parse('"{who}" heard within {limit:g} seconds'))
def heard_within(stage: stages.Stage, who: str, limit: float) -> None:
    caller = stage.caller(who)
    assert caller.answered_at is not None
    assert caller.answered_at - caller.asked_at <= parts.seconds(limit)


@pytest_bdd.then(_parse('"{who}" and "{other}" hear the same answer'))
def same_answer(stage: stages.Stage, who: str, other: str) -> None:
    callers = [stage.caller(who), stage.caller(other)]
    stage.world.run_until(lambda: all(one.is_over for one in callers))
    bodies = [one.answer.body for one in callers]
    assert bodies[0] == bodies[1]


@pytest_bdd.then(_parse('"{who}" hears an answer'))
def hears(stage: stages.Stage, who: str) -> None:
    caller = stage.caller(who)
    stage.world.run_until(lambda: caller.is_over, _ANY_SECONDS)
    assert caller.answer is not None


@pytest_bdd.then(_parse("receipt {key} was executed {count:d} times"))
def executed(stage: stages.Stage, key: str, count: int) -> None:
    assert stage.world.executions[f"1767225600-{key}"] == count


@pytest_bdd.then("nothing was executed twice, and nothing that was denied")
def never_twice(stage: stages.Stage) -> None:
    keyed = {
        key: count
        for key, count in stage.world.executions.items()
        if key != "read"
    }
    assert all(count <= 1 for count in keyed.values())
    for vm in stage.world.vms.values():
        for request_id, caller in vm.callers.items():
            failure = caller.failure
            if failure and failure.outcome is errors.Outcome.NOT_RUN:
                assert request_id not in stage.world.executed_requests


@pytest_bdd.then("every token passed each layer once, in order")
def layers_once(stage: stages.Stage) -> None:
    assert stage.world.runs
    assert stage.world.wrong_resumptions == []
    seen = set()
    for request_id, attempt, position, lineage in stage.world.runs:
        assert (request_id, attempt, position) not in seen
        seen.add((request_id, attempt, position))
        stages = [
            model.Stage(mark.endpoint_id, "", mark.layers) for mark in lineage
        ]
        assert model.Pipeline.tile(stages, processes.LAYER_COUNT).is_ok()


@pytest_bdd.then(_parse("endpoint {name} got nothing new after 3 seconds"))
def got_nothing_new(stage: stages.Stage, name: str) -> None:
    left_at = stage.names[f"leaving of {name}"]
    given = stage.world.endpoints[name].given_at
    assert given, "the endpoint was never used at all"
    assert max(given) - left_at <= _LEAVING_LIMIT


@pytest_bdd.then(_parse("at most {count:d} endpoints are dead"))
def at_most_dead(stage: stages.Stage, count: int) -> None:
    dead = [
        one.name for one in stage.world.endpoints.values() if not one.is_alive
    ]
    assert len(dead) <= count


@pytest_bdd.then(
    _parse(
        "note {number:d} is in force on every running entry VM within "
        "{limit:g} seconds"
    )
)
def in_force(stage: stages.Stage, number: int, limit: float) -> None:
    stage.world.run_until(
        lambda: all(
            stage.world.note_on(name) == number
            for name in stage.running("entry")
        ),
        limit,
    )


@pytest_bdd.then("no VM ever went back to an older note")
def never_back(stage: stages.Stage) -> None:
    assert stage.world.notes_gone_back == []


@pytest_bdd.then(_parse('exactly one of "{who}" and "{other}" is accepted'))
def exactly_one(stage: stages.Stage, who: str, other: str) -> None:
    callers = [stage.caller(who), stage.caller(other)]
    stage.world.run_until(lambda: all(one.is_over for one in callers))
    kinds = sorted(type(one.answer).__name__ for one in callers)
    assert kinds == ["NoteAccepted", "NoteConflicted"]
    winner, loser = sorted(
        (one.answer for one in callers), key=lambda one: type(one).__name__
    )
    assert loser.failure.winner == winner.accepted


@pytest_bdd.then(
    _parse('"{who}" is told of the first acceptance of {note_id}')
)
def first_acceptance(stage: stages.Stage, who: str, note_id: str) -> None:
    caller = stage.caller(who)
    stage.world.run_until(lambda: caller.is_over)
    assert isinstance(caller.answer, state.NoteAccepted)
    assert caller.answer.accepted.note_id == note_id


@pytest_bdd.then(_parse("{name} is ready"))
def is_ready(stage: stages.Stage, name: str) -> None:
    reducer = stage.world.vms[name].reducer
    stage.world.run_until(lambda: reducer.is_ready)


@pytest_bdd.then(_parse("{name} is not ready"))
def is_not_ready(stage: stages.Stage, name: str) -> None:
    assert not stage.world.vms[name].reducer.is_ready


@pytest_bdd.then(_parse("{name} has nothing left to do"))
def is_idle(stage: stages.Stage, name: str) -> None:
    reducer = stage.world.vms[name].reducer
    stage.world.run_until(lambda: reducer.is_idle)


@pytest_bdd.then(_parse("{name} gave no order after {limit:g} seconds"))
def gave_no_order(stage: stages.Stage, name: str, limit: float) -> None:
    alone = stage.vm(name)
    cut_at = stage.world.cut_at[alone]
    late = [
        order
        for giver, order, at in stage.world.orders
        if giver == alone and at - cut_at > parts.seconds(limit)
    ]
    assert late == []


@pytest_bdd.then(_parse("every engine serves version {version} in time"))
def serves_version(stage: stages.Stage, version: str) -> None:
    engines = [
        one
        for one in stage.world.endpoints.values()
        if one.layers is not None and one.is_alive
    ]
    stage.world.run_until(
        lambda: all(one.version == version for one in engines), 120.0
    )


@pytest_bdd.then("orders carry rising fencing tokens, whoever gives them")
def rising_tokens(stage: stages.Stage) -> None:
    given = [order.fencing_token for _giver, order, _at in stage.world.orders]
    assert given == sorted(set(given))
    for endpoint in stage.world.endpoints.values():
        tokens = [order.fencing_token for order in endpoint.orders]
        assert tokens == sorted(set(tokens))


@pytest_bdd.then(_parse("{name} still has work to do"))
def has_work(stage: stages.Stage, name: str) -> None:
    assert not stage.world.vms[name].reducer.is_idle


@pytest_bdd.then(_parse("another leader is there within {limit:g} seconds"))
def another_leader(stage: stages.Stage, limit: float) -> None:
    old = stage.names["the old leader"]
    stage.world.run_until(
        lambda: stage.world.leader() not in (None, old), limit
    )


@pytest_bdd.then(_parse("dead endpoints were tried at most {count:d} times"))
def dead_tried(stage: stages.Stage, count: int) -> None:
    died_at = stage.names["death"]
    tried = [
        at
        for endpoint in stage.world.endpoints.values()
        if not endpoint.is_alive
        for at in endpoint.given_at
        if at > died_at
    ]
    assert len(tried) <= count


@pytest_bdd.then(_parse("a command is committed within {limit:g} seconds"))
def commits(stage: stages.Stage, limit: float) -> None:
    stage.world.run_until(lambda: stage.world.leader() is not None, limit)


@pytest_bdd.then("the audit trail tells of a quarantined request")
def audited_quarantine(stage: stages.Stage) -> None:
    leader = stage.vm("the leader")
    trail = stage.world.vms[leader].reducer.state.audit(0, 1000)
    kinds = [record.kind for record in trail]
    assert state.AuditKind.REQUEST_QUARANTINED in kinds


@pytest_bdd.then("the audit trail tells of an election, a note and a join")
def audited(stage: stages.Stage) -> None:
    leader = stage.vm("the leader")
    trail = stage.world.vms[leader].reducer.state.audit(0, 1000)
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
