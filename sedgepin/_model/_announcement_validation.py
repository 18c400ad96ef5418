"""Validation of announcements beyond their schema."""

import ipaddress
import urllib.parse

from sedgepin._model import _announcement
from sedgepin._model import _bounds
from sedgepin import errors


def validate_announcement(
    announcement: _announcement.Announcement,
) -> tuple[errors.FieldFault, ...]:
    """Return the faults of an announcement for which no VM could use it.

    They are no part of the schema, so that one announcement that a VM of an
    earlier version relays does not cost the others in the same message.

    >>> validate_announcement(announcement)
    (FieldFault(field='address', problem='Port out of range 0-65535'),)
    """
    faults: list[errors.FieldFault] = []
    problem = _address_problem(announcement.address)
    if problem is not None:
        faults.append(errors.FieldFault("address", problem))
    layers = announcement.layers
    if layers is not None and layers.end > _bounds.MAX_LAYERS:
        problem = f"{layers.end} is over {_bounds.MAX_LAYERS}"
        faults.append(errors.FieldFault("layers.end", problem))
    for field, number in _numbers(announcement):
        if number > _bounds.MAX_NUMBER:
            problem = f"{number} is over {_bounds.MAX_NUMBER}"
            faults.append(errors.FieldFault(field, problem))
    return tuple(faults)


def _numbers(
    announcement: _announcement.Announcement,
) -> list[tuple[str, int]]:
    """Return the numbers of an announcement, with their fields."""
    load = announcement.load
    numbers = [
        ("incarnation", announcement.incarnation),
        ("sequence", announcement.sequence),
        ("load.running_requests", load.running_requests),
        ("load.queued_requests", load.queued_requests),
        ("load.queued_tokens", load.queued_tokens),
        (
            "load.measured_before_milliseconds",
            load.measured_before_milliseconds,
        ),
    ]
    if announcement.accelerator is not None:
        numbers.append(("accelerator.count", announcement.accelerator.count))
    numbers += [
        ("cache_events.sequence", event.sequence)
        for event in announcement.cache_events
    ]
    return numbers


def _address_problem(address: str) -> str | None:
    try:
        parts = urllib.parse.urlsplit(address)
        ipaddress.ip_address(parts.hostname or "")
        if parts.port == 0:
            return f"port 0 is not between 1 and {_bounds.MAX_PORT}"
    except ValueError as exc:
        return str(exc)
    return None
