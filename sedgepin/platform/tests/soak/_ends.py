"""Checks that each request which a VM has read has one end, an answer.

Other ends need a cause: the caller left, the engine broke off, or the machine
or its link ended first.
"""

import collections.abc
import math

from sedgepin.platform.tests.soak import _losses
from sedgepin.platform.tests.soak import _record

# Callers use connections for this share of the idle timeout.
IDLE_SHARE = 0.8
_LATE_SECONDS = 0.1

_Findings = collections.abc.Iterator[str]


def check_callers(record: _record.Record) -> _Findings:
    """Find requests that were read and got no answer without a cause."""
    if not record.has_request_ends:
        return
    for end in record.caller_ends.values():
        if end.kind is not _record.EndKind.CUT:
            continue
        if end.request_id not in record.handed_over_whole:
            continue
        if _find_cause(record, end) is not None:
            continue
        lines = [
            line
            for line in record.vm_ends
            if line.request_id == end.request_id
        ]
        sent = record.sent[end.request_id]
        place = "within" if end.has_begun else "before"
        yield (
            f"{end.request_id} ({sent.route}) was cut {place} its answer by"
            f" {end.entry} at {end.at:.2f} s, sent at {sent.at:.2f} s, handed"
            f" over at {record.handed_over_at[end.request_id]:.2f} s, without"
            f" a cause; idle since {end.idle_since}, under the timeouts"
            f" {_idle_timeouts(record, end)}; its lines: {lines}"
        )


def _find_cause(record: _record.Record, end: _record.CallerEnd) -> str | None:
    """Return who ended a request before the VM, if anybody did.

    The end of a process or link is the end of connections that were opened
    before, also if their callers send after it and hear of it later.
    """
    if record.has_ended(end.entry, end.connected_at, end.at):
        return "machine"
    if record.has_ended(f"{end.entry} front", end.connected_at, end.at):
        return "link"
    if end.has_begun:
        at = _losses.closed_at(record, end)
        return _find_cut_cause(
            record, end.request_id, at, end.entry, end.connected_at
        )
    if _was_idle_too_long(record, end) or _has_crossed_stop(record, end):
        return "connection"
    return None


def _find_cut_cause(
    record: _record.Record,
    request_id: str,
    at: float,
    entry: str,
    connected_at: float = -math.inf,
) -> str | None:
    """Return why an answer that has begun may be cut.

    An engine of the latest attempt has ended or failed.  Those of earlier ones
    are no cause, since the request went on elsewhere.
    """
    cause = _losses.find_cause(record, request_id, at)
    if cause is not None:
        return cause
    stop = _losses.find_stop(record, entry, connected_at, at)
    if stop is not None and (
        _losses.was_cut_at_work(record, request_id, at, stop)
        or _losses.has_crossed_end(record, request_id, at)
    ):
        return "stop"
    return None


def _was_idle_too_long(record: _record.Record, end: _record.CallerEnd) -> bool:
    """Return whether the VM may have closed an idle connection.

    The longest idle timeout counts that it has followed meanwhile; one that it
    follows after the connection was due to be closed keeps nothing open.  A
    new connection is idle until its first request, which a link may hold back.
    """
    idle_since = _idle_since(record, end)
    longest: float | None = None
    for at, seconds in _idle_timeouts(record, end):
        if longest is None or at <= idle_since:
            longest = seconds
        elif at - idle_since < longest:
            longest = max(longest, seconds)
    if longest is None:
        return False
    until = record.handed_over_at[end.request_id]
    return until - idle_since >= IDLE_SHARE * longest


def _idle_since(record: _record.Record, end: _record.CallerEnd) -> float:
    """Return when the VM's wait for a request may have begun.

    An answer that the caller reads when its process runs again may have been
    sent before it paused.
    """
    if end.idle_since is None:
        return end.connected_at
    for start, ended_at in record.pauses:
        if start < end.idle_since <= ended_at + _LATE_SECONDS:
            return start
    return end.idle_since


def _idle_timeouts(
    record: _record.Record, end: _record.CallerEnd
) -> list[tuple[float, float]]:
    """Return the idle timeouts that a VM had followed before a request.

    With the time of each; the first is the one at the start of the wait.
    """
    idle_since = _idle_since(record, end)
    timeouts: list[tuple[float, float]] = []
    for following in record.followings:
        if following.entry != end.entry:
            continue
        if following.at > record.handed_over_at[end.request_id]:
            continue
        if following.at <= idle_since:
            timeouts.clear()
        seconds = record.idle_seconds.get(following.version, math.inf)
        timeouts.append((following.at, seconds))
    return timeouts


def _has_crossed_stop(record: _record.Record, end: _record.CallerEnd) -> bool:
    """Return whether a request crossed the close by a VM that stops.

    It then has read nothing of the request.
    """
    has_read = any(
        line.request_id == end.request_id
        or (
            line.entry == end.entry
            and line.event == "request_unread"
            and line.closed_by == "server"
            and abs(line.at - end.at) < _LATE_SECONDS
        )
        for line in record.vm_ends
    )
    return not has_read and any(
        stop.program == end.entry
        and stop.at <= end.at
        and end.connected_at <= stop.ended_at
        for stop in record.stops
    )


def check_vms(record: _record.Record) -> _Findings:
    """Find ends in the logs of VMs that have no cause or contradict."""
    if not record.has_request_ends:
        return
    seen: set[tuple[str, str]] = set()
    for line in record.vm_ends:
        if line.event == "request_unread":
            if line.closed_by == "server" and line.unread_bytes:
                yield f"a VM has left bytes of a request unread: {line}"
            continue
        end = record.caller_ends.get(line.request_id)
        if line.request_id in record.sent:
            key = (line.request_id, line.entry)
            if key in seen:
                yield f"a request has ended twice: {line}"
            seen.add(key)
        if end is None:
            # Callers of the soak that were still there at its end.
            if line.event == "answer_cut" and (
                line.request_id not in record.sent
                or not _find_cut_cause(
                    record, line.request_id, line.at, line.entry
                )
            ):
                yield f"a VM has cut an answer without a cause: {line}"
            continue
        if end.kind is _record.EndKind.ANSWERED:
            yield f"a VM has cut an answer that its caller received: {line}"
        elif line.event == "answer_cut" and not _find_cut_cause(
            record, line.request_id, line.at, line.entry
        ):
            yield f"a VM has cut an answer without a cause: {line}"
        elif (
            line.event == "caller_closed"
            and end.kind is _record.EndKind.CUT
            and not record.has_ended(f"{end.entry} front", 0, end.at)
        ):
            yield f"caller and VM each say that the other has closed: {line}"


def check_counts(record: _record.Record) -> _Findings:
    """Compare what VMs have counted with their logs and their callers.

    Each VM is compared from its last start on.
    """
    for counts in record.end_counts:
        yield from _compare_lines(record, counts)
        complete = sum(
            count
            for (end, _closed_by), count in counts.counts.items()
            if end in ("answered", "failed")
        )
        own = [
            end
            for end in record.caller_ends.values()
            if end.entry == counts.entry
            and record.handed_over_at.get(end.request_id, -1) > counts.since
        ]
        received = sum(end.kind is _record.EndKind.ANSWERED for end in own)
        # Whose caller left, or was still there at the end of the soak.
        unknown = len(own) - received + record.odd_message_count
        unknown += sum(
            request_id not in record.caller_ends for request_id in record.sent
        )
        if not received <= complete <= received + unknown:
            yield (
                f"{counts.entry} has counted {complete} answers, its callers"
                f" received {received} and may have had {unknown} more"
            )


def _compare_lines(
    record: _record.Record, counts: _record.EndCounts
) -> _Findings:
    events = {
        ("answer_cut", "server"): (
            ("unanswered", "server"),
            ("incomplete", "server"),
        ),
        ("caller_closed", "caller"): (
            ("unanswered", "caller"),
            ("incomplete", "caller"),
        ),
        ("request_unread", "server"): (("unread", "server"),),
        ("request_unread", "caller"): (("unread", "caller"),),
    }
    for (event, closed_by), labels in events.items():
        lines = sum(
            line.entry == counts.entry
            and line.event == event
            and line.closed_by in ("", closed_by)
            and counts.since <= line.at <= counts.at
            for line in record.vm_ends
        )
        counted = sum(counts.counts.get(label, 0) for label in labels)
        if lines != counted:
            yield (
                f"{counts.entry} has counted {counted} ends that are"
                f" {event} by {closed_by}, and logged {lines}"
            )
