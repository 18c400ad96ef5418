"""Log lines on what is held back, the same for all kinds of VMs."""

from sedgepin._crash_causes import _tracker
from sedgepin._crash_causes import _verdicts
from sedgepin import events


def change_line(change: _tracker.CauseChange) -> events.LogLine:
    """Return the line on a cause that is held back or free again."""
    cause = change.cause
    if change.is_held:
        return events.CAUSE_HELD_BACK.line(
            cause=str(cause),
            crashes=_format_crashes(cause),
            held_until=_format_end(cause),
        )
    return events.CAUSE_FREED.line(cause=str(cause), reason=change.reason)


def held_back_line(request_id: str, cause: _verdicts.Cause) -> events.LogLine:
    """Return the line on a request that is not sent to an endpoint."""
    return events.REQUEST_HELD_BACK.line(
        request=request_id,
        cause=str(cause),
        crashes=_format_crashes(cause),
        held_until=_format_end(cause),
    )


def _format_crashes(cause: _verdicts.Cause) -> str:
    """Return which endpoints were lost, when, and which VM saw it.

    An endpoint's incarnation tells when it started.
    """
    return " ".join(
        f"{mark.death},{mark.at.isoformat(timespec='milliseconds')},"
        f"{mark.seen_by}"
        for mark in cause.marks
    )


def _format_end(cause: _verdicts.Cause) -> str:
    return cause.held_until.isoformat(timespec="milliseconds")
