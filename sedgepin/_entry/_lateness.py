"""Counts first tokens and pauses that are late by the targets in force."""

import collections.abc
import datetime

from sedgepin._entry import _context
from sedgepin._entry import _effects
from sedgepin._entry import _open_answer

Effects = list[_effects.EntryEffect]


def check_first_token(
    context: _context.ReducerContext,
    answer: _open_answer.OpenAnswer,
    now: datetime.datetime,
) -> Effects:
    """Count the first token of an answer if it is late at ``now``."""
    target = context.cfg.targets.first_token_milliseconds
    if target is None:
        return []
    if now - answer.received_at <= datetime.timedelta(milliseconds=target):
        return []
    request = answer.request
    context.levels.count_late_first_output(
        request.customer, request.service, now
    )
    return [_effects.CountMetric("first_tokens_late")]


def check_pauses(
    context: _context.ReducerContext,
    open_answers: collections.abc.Iterable[_open_answer.OpenAnswer],
    now: datetime.datetime,
) -> Effects:
    """Count the pauses of streams that became late since the last check.

    The caller of an answer that is sent as a whole sees no pauses.  The
    periodic check costs nothing for each token.
    """
    target = context.cfg.targets.pause_milliseconds
    if target is None:
        return []
    late_before = now - datetime.timedelta(milliseconds=target)
    effects: Effects = []
    for answer in open_answers:
        if not answer.request.is_streamed:
            continue
        assembly = answer.assembly
        if not answer.pause_monitor.check(
            assembly.next_position,
            assembly.last_progress_at or now,
            late_before,
        ):
            continue
        request = answer.request
        context.levels.count_late_pause(request.customer, request.service, now)
        effects.append(_effects.CountMetric("pauses_late"))
    return effects
