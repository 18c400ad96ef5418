"""Judges which requests a planned stop of an entry VM has lost.

The rule of the platform's pages, "Draining and shutdown": around a SIGTERM to
the VM that took it, until 1 s after the grace period, a request is lost if its
connection ends without a complete answer, once it was passed on to an engine
or later than ``lossSlackMs`` after its last byte.  What is excused is in
``find_excuse``.
"""

import collections.abc
import math

from sedgepin.platform.tests.soak import _configurations
from sedgepin.platform.tests.soak import _programs
from sedgepin.platform.tests.soak import _record

GRACE_SECONDS = _programs.GRACE_PERIOD_SECONDS
# Ends of connections count until then after the grace period.
_AFTER_GRACE_SECONDS = 1.0
# The pages excuse what is sent up to 3 s after SIGTERM, under a grace period
# of 8 s.  The soak has another grace period, of which it is the same share.
EXCUSED_SENDING_SECONDS = GRACE_SECONDS * 3 / 8
# The last sixth of the grace period.
EXCUSED_WORK_SECONDS = GRACE_SECONDS * 5 / 6
# ``lossSlackMs``.
_LOSS_SLACK_SECONDS = 0.2
# How late what ended a connection may be recorded, or its end be seen.
_LATE_SECONDS = 0.1
_OK = 200
_UNAVAILABLE = 503

_Findings = collections.abc.Iterator[str]


def check_stops(record: _record.Record) -> _Findings:
    """Find requests that were lost around stops without other faults."""
    for end, stop in _unanswered(record):
        run = find_last_run(record, end.request_id, end.at)
        if run is None and not _was_read(record, end):
            continue
        at = closed_at(record, end)
        if find_excuse(record, end.request_id, at, stop) is not None:
            continue
        sent = record.sent[end.request_id]
        place = "within" if end.has_begun else "before"
        passed_on = "never"
        if run is not None:
            passed_on = f"{run.at - stop.at:.2f} s"
        yield (
            f"lost: {end.request_id} ({sent.route}, {sent.sending}), sent"
            f" {sent.at - stop.at:.2f} s and whole"
            f" {_whole_at(record, end.request_id) - stop.at:.2f} s after"
            f" SIGTERM to {end.entry}, passed on {passed_on} after it, cut"
            f" {place} its answer {at - stop.at:.2f} s after it; the VM"
            f" ended {stop.ended_at - stop.at:.2f} s after it, held for"
            f" {record.seconds_held(end.entry, stop.at, stop.ended_at):.2f} s;"
            f" its lines: {_lines(record, end)}"
        )


def check_lines(record: _record.Record) -> _Findings:
    """Find requests that a VM ended around a stop and has not logged."""
    for end, stop in _unanswered(record):
        if find_last_run(record, end.request_id, end.at) is None:
            continue
        if not any(
            line.event == "answer_cut" and line.reason
            for line in _lines(record, end)
        ):
            yield (
                f"{end.entry} has ended {end.request_id} at {end.at:.2f} s"
                f" without a line with a reason: {_lines(record, end)}; it"
                f" was stopped at {stop.at:.2f} s, ended"
                f" {stop.ended_at - stop.at:.2f} s later, and was held for"
                f" {record.seconds_held(end.entry, stop.at, end.at):.2f} s"
            )


def check_counts(record: _record.Record) -> _Findings:
    """Compare what stopping VMs have counted with their lines.

    A line that was written while the count was read may be in it or not.
    """
    for counts in record.stop_counts:
        counted = sum(
            count
            for (end, closed_by), count in counts.counts.items()
            if closed_by == "server" and end in ("unanswered", "incomplete")
        )
        times = [
            line.at
            for line in record.vm_ends
            if line.entry == counts.entry
            and line.event == "answer_cut"
            and line.at >= counts.since
        ]
        least = sum(at <= counts.asked_at - _LATE_SECONDS for at in times)
        most = sum(at <= counts.at + _LATE_SECONDS for at in times)
        if not least <= counted <= most:
            yield (
                f"{counts.entry}, which stops, has counted {counted} answers"
                f" that it cut at {counts.at:.2f} s, and logged {least} to"
                f" {most}"
            )


def check_failures(record: _record.Record) -> _Findings:
    """Find requests that are said not to have run, and had begun."""
    for failure in record.failures:
        end = record.caller_ends.get(failure.request_id)
        if end is None or failure.may_have_run:
            continue
        if (
            end.entry == failure.entry
            and end.has_begun
            and (end.kind is _record.EndKind.CUT)
        ):
            yield f"a stream that had begun is said not to have run: {failure}"


def describe_early_requests(record: _record.Record) -> str:
    """Return how many were served of those that a stop left enough time.

    They were sent in the first quarter of the grace period, and their engines
    at the usual pace would have ended them before its last tenth.
    """
    due = served = refused = 0
    for end in record.caller_ends.values():
        sent = record.sent[end.request_id]
        whole_at = record.whole_at.get(end.request_id)
        if sent.route not in _record.LONG_ROUTES or whole_at is None:
            continue
        stop = find_stop(record, end.entry, end.connected_at, whole_at)
        if (
            stop is None
            or not stop.at <= sent.at
            or (whole_at > stop.at + GRACE_SECONDS / 4)
        ):
            continue
        ends_at = whole_at + sent.usual_seconds
        if ends_at > stop.at + GRACE_SECONDS * 0.9 or any(
            start < ends_at and whole_at < until
            for start, until in record.slow_spans
        ):
            continue
        due += 1
        answer = record.answers.get(end.request_id)
        if answer is not None and answer.is_complete:
            served += answer.status == _OK
            refused += answer.status == _UNAVAILABLE
    return f"{served} of {due} early requests served, {refused} refused"


def find_stop(
    record: _record.Record, entry: str, connected_at: float, at: float
) -> _record.Stop | None:
    """Return the stop of the process that took a request, if it is around.

    ``at`` is the end of the request.
    """
    return max(
        (
            stop
            for stop in record.stops
            if stop.program == entry
            and connected_at <= stop.ended_at
            and stop.at <= at
            and at <= stop.at + GRACE_SECONDS + _AFTER_GRACE_SECONDS
        ),
        key=lambda stop: stop.at,
        default=None,
    )


def find_excuse(
    record: _record.Record, request_id: str, at: float, stop: _record.Stop
) -> str | None:
    """Return why a request that ends without an answer is not lost."""
    cause = find_cause(record, request_id, at)
    if cause is None and was_cut_at_work(record, request_id, at, stop):
        return "last sixth"
    return cause


def find_cause(
    record: _record.Record, request_id: str, at: float
) -> str | None:
    """Return what ended a request before its VM did.

    Its time was up, or an engine of its latest run has broken off.
    """
    sent = record.sent[request_id]
    if sent.crashing_part is not None:
        return "part"
    seconds = at - record.handed_over_at.get(request_id, sent.at)
    if seconds + _LATE_SECONDS >= min(
        sent.time_left_ms / 1000,
        _configurations.min_route_timeout_seconds(sent.route),
    ):
        return "deadline"
    run = find_last_run(record, request_id, at)
    if run is None:
        return None
    names = {run.engine, *run.path}
    names |= {record.link_names.get(name, "") for name in names}
    if run.status != _OK or any(
        record.has_ended(name, run.at, at) for name in names
    ):
        return "engine"
    return None


def was_cut_at_work(
    record: _record.Record, request_id: str, at: float, stop: _record.Stop
) -> bool:
    """Return whether an engine had the whole time that a stop allows.

    The request was sent early, to its last byte, and its engine still worked
    in the last sixth of the grace period.
    """
    run = find_last_run(record, request_id, at)
    if run is None or at < stop.at + EXCUSED_WORK_SECONDS:
        return False
    if run.ended_at is not None:
        # What the machine did not run after it is not the VM's time.
        ended_at = run.ended_at + max(
            record.seconds_held(stop.program, run.ended_at, at),
            record.seconds_paused(run.ended_at, at),
        )
        if ended_at < stop.at + EXCUSED_WORK_SECONDS:
            return False
    return _whole_at(record, request_id) <= stop.at + EXCUSED_SENDING_SECONDS


def closed_at(record: _record.Record, end: _record.CallerEnd) -> float:
    """Return when the VM closed a connection, as its line says if it has one.

    Callers hear of it later if the machine does not run them.
    """
    times = [
        line.at for line in _lines(record, end) if line.event == "answer_cut"
    ]
    return min([end.at, *times])


def has_crossed_end(
    record: _record.Record, request_id: str, at: float
) -> bool:
    """Return whether a request came whole just before its VM closed.

    It was passed on to no engine.
    """
    whole_at = record.whole_at.get(request_id)
    if whole_at is None or find_last_run(record, request_id, at) is not None:
        return False
    return at - whole_at <= _LOSS_SLACK_SECONDS


def find_last_run(
    record: _record.Record, request_id: str, at: float
) -> _record.EngineRun | None:
    """Return the latest run of a request that began until an instant.

    That is the one that ended last.  An attempt that the VM has given up may
    reach its engine after the one that follows it.
    """
    return max(
        (
            run
            for run in record.runs
            if run.request_id == request_id and run.at <= at
        ),
        key=lambda run: (
            math.inf if run.ended_at is None else run.ended_at,
            run.at,
        ),
        default=None,
    )


def _unanswered(
    record: _record.Record,
) -> collections.abc.Iterator[tuple[_record.CallerEnd, _record.Stop]]:
    """Return the unanswered requests of the spans with stops alone."""
    for end in record.caller_ends.values():
        if end.kind is not _record.EndKind.CUT:
            continue
        sent_at = record.sent[end.request_id].at
        if not any(
            start <= sent_at and end.at <= until
            for start, until in record.stop_spans
        ):
            continue
        at = closed_at(record, end)
        stop = find_stop(record, end.entry, end.connected_at, at)
        if stop is not None:
            yield end, stop


def _was_read(record: _record.Record, end: _record.CallerEnd) -> bool:
    """Return whether a VM had the time to read a whole request.

    The time in which the machine ran the VM or the callers not is left out.
    """
    if end.request_id not in record.handed_over_at:
        return False
    whole_at = record.whole_at.get(end.request_id)
    if whole_at is None:
        return False
    seconds = end.at - whole_at
    seconds -= record.seconds_held(end.entry, whole_at, end.at)
    seconds -= record.seconds_paused(whole_at, end.at)
    return seconds > _LOSS_SLACK_SECONDS


def _whole_at(record: _record.Record, request_id: str) -> float:
    """Return when the last byte of a request was sent."""
    return record.whole_at.get(request_id, record.sent[request_id].at)


def _lines(
    record: _record.Record, end: _record.CallerEnd
) -> list[_record.VmEnd]:
    return [
        line
        for line in record.vm_ends
        if line.request_id == end.request_id and line.entry == end.entry
    ]
