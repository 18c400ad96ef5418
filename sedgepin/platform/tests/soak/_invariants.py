"""The promises of the platform's pages, judged from a record."""

import collections
import collections.abc
import re

from sedgepin.platform.tests.soak import _record

# Statuses that say a request has not run and will not run.
_NOT_RUN = frozenset((408, 421, 429, 503))
# How long after its acknowledgement a configuration must be in force, and a
# leaving endpoint be left alone: ``configMs`` and ``drainMs``.
CONFIGURATION_SECONDS = 2.0
DRAIN_SECONDS = 2.0
# Requests of calm spans that must be answered with success.
_CALM_SHARE = 0.95
# Retries allowed: ``retryBudgetRatio`` and ``budgetMinRetries``.
BUDGET_RATIO = 0.2
BUDGET_LEAST = 30
BUDGET_SECONDS = 10.0
# Engines may be handed this much more time than is left.
_DEADLINE_SLACK_MS = 500
_EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")

_Findings = collections.abc.Iterator[str]


def find_violations(record: _record.Record) -> list[str]:
    """Return every promise that was broken, in words."""
    return [finding for check in _CHECKS for finding in check(record)]


def event_data(request_id: str, number: int) -> bytes:
    """Return what every engine puts into an event of a stream."""
    return b"%s-%d" % (request_id.encode(), number)


def _runs_by_request(
    record: _record.Record,
) -> dict[str, list[_record.Run]]:
    found: dict[str, list[_record.Run]] = collections.defaultdict(list)
    for run in record.runs:
        found[run.request_id].append(run)
    return found


def _writes_run_once(record: _record.Record) -> _Findings:
    for request_id, runs in _runs_by_request(record).items():
        sent = record.sent.get(request_id)
        if sent is not None and sent.kind == "write" and len(runs) > 1:
            where = [run.endpoint_id for run in runs]
            yield f"write {request_id} ran {len(runs)} times, on {where}"


def _not_run_is_true(record: _record.Record) -> _Findings:
    runs = _runs_by_request(record)
    for request_id, answer in record.answers.items():
        if answer.status in _NOT_RUN and request_id in runs:
            yield f"{request_id} was answered {answer.status} and has run"


def _answers_are_the_engines(record: _record.Record) -> _Findings:
    seals = {run.seal: run for run in record.runs}
    for request_id, answer in record.answers.items():
        is_success = 200 <= answer.status < 300
        if is_success and not answer.seal:
            yield f"{request_id} has a success without a seal"
        if not answer.seal or not answer.is_complete:
            continue
        run = seals.get(answer.seal)
        if run is None or run.request_id != request_id:
            yield f"{request_id} got the answer of {run}"
        elif run.status != answer.status:
            yield f"{request_id} got {answer.status}, not {run.status}"
        elif record.sent[request_id].kind != "stream":
            if answer.body != run.answer:
                yield f"{request_id} got another body than its engine's"


def _streams_are_in_order(record: _record.Record) -> _Findings:
    for request_id, answer in record.answers.items():
        sent = record.sent[request_id]
        if sent.kind != "stream" or answer.status != 200:
            continue
        last = int(sent.target.rsplit("/", 1)[1])
        found = [
            (int(number), data) for number, data in _EVENT.findall(answer.body)
        ]
        expected = [
            (number, event_data(request_id, number))
            for number in range(1, last + 1)
        ]
        if answer.is_complete and found != expected:
            yield f"stream {request_id} is complete with {len(found)} events"
        elif found != expected[: len(found)]:
            yield f"stream {request_id} has events out of order"


def _runs_are_asked_for(record: _record.Record) -> _Findings:
    for run in record.runs:
        sent = record.sent.get(run.request_id)
        if sent is None:
            yield f"{run.endpoint_id} ran {run.request_id}, which nobody sent"
        elif (run.target, run.body) != (sent.target, sent.body):
            yield f"{run.request_id} reached its engine changed"
        elif run.method != "POST" or run.customer != f"customer-{sent.key}":
            yield f"{run.request_id} ran for {run.customer}"
        if run.pipeline_fault:
            yield f"{run.request_id} ran on {run.pipeline_fault}"


def _time_left_is_handed_on(record: _record.Record) -> _Findings:
    for run in record.runs:
        sent = record.sent.get(run.request_id)
        if sent is None or not record.is_calm(sent.at, run.at):
            continue
        spent = (run.at - sent.at) * 1000
        left = sent.time_left_ms - spent + _DEADLINE_SLACK_MS
        if run.time_left_ms is None or run.time_left_ms > left:
            yield f"{run.request_id} was given {run.time_left_ms} ms"


def _leaving_endpoints_are_left(record: _record.Record) -> _Findings:
    for run in record.runs:
        told_at = record.leaving.get(run.endpoint_id)
        sent = record.sent.get(run.request_id)
        if told_at is None or sent is None:
            continue
        limit = told_at + DRAIN_SECONDS
        if run.at > limit and record.is_calm(limit, run.at):
            late = run.at - limit
            yield f"{run.endpoint_id} got {run.request_id} {late:.1f} s late"


def _configurations_are_kept(record: _record.Record) -> _Findings:
    documents = {one.version: one.document for one in record.acknowledged}
    for read in record.read_back:
        newest = max(
            (
                one.version
                for one in record.acknowledged
                if one.at + CONFIGURATION_SECONDS < read.sent_at
            ),
            default=0,
        )
        if read.version < newest:
            yield f"read version {read.version} after {newest}"
        known = documents.get(read.version, read.document)
        if known != read.document:
            yield f"read other content under version {read.version}"
    for refused in record.refused_configurations:
        yield f"a valid configuration was refused: {refused}"
    for accepted in record.accepted_invalid:
        yield f"an invalid configuration was acknowledged: {accepted}"
    if record.acknowledged and not record.read_back:
        yield "the configuration could not be read at the end"


def _budget_holds(record: _record.Record) -> _Findings:
    arrivals = [(run.request_id, run.at) for run in record.runs]
    arrivals += record.turned_away
    seen: set[str] = set()
    repeats: list[float] = []
    for request_id, at in sorted(arrivals, key=lambda one: one[1]):
        if request_id in seen:
            repeats.append(at)
        seen.add(request_id)
    for start in repeats:
        end = start + BUDGET_SECONDS
        count = sum(start <= one <= end for one in repeats)
        before = start - BUDGET_SECONDS
        requests = sum(before <= one.at <= end for one in record.sent.values())
        if count > requests * BUDGET_RATIO + BUDGET_LEAST:
            yield f"{count} retries within {BUDGET_SECONDS} s of {start:.1f}"
            return


def _calm_spans_are_served(record: _record.Record) -> _Findings:
    for start, end in record.calm:
        asked = [
            one
            for one in record.sent.values()
            if start <= one.at < end and one.request_id not in record.left
        ]
        for kind in sorted({one.kind for one in asked}):
            ids = [one.request_id for one in asked if one.kind == kind]
            served = sum(
                one in record.answers and record.answers[one].status == 200
                for one in ids
            )
            if len(ids) >= 5 and served < _CALM_SHARE * len(ids):
                yield (
                    f"{served} of {len(ids)} requests of kind {kind} served"
                    f" in the calm span from {start:.1f} to {end:.1f} s"
                )


def _refusals_name_a_time(record: _record.Record) -> _Findings:
    for request_id, answer in record.answers.items():
        if answer.status in (429, 503) and not answer.has_retry_after:
            yield f"{request_id} was refused without a time to come back"


def _nothing_ends_by_itself(record: _record.Record) -> _Findings:
    for exit_of in record.own_exits:
        yield f"a process ended by itself: {exit_of}"
    for engine in record.overfull:
        yield f"an engine was ordered to hold too much: {engine}"


_CHECKS = (
    _writes_run_once,
    _not_run_is_true,
    _answers_are_the_engines,
    _streams_are_in_order,
    _runs_are_asked_for,
    _time_left_is_handed_on,
    _leaving_endpoints_are_left,
    _configurations_are_kept,
    _budget_holds,
    _calm_spans_are_served,
    _refusals_name_a_time,
    _nothing_ends_by_itself,
)
