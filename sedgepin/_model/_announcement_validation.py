"""Validation of announcements beyond their schema."""

import ipaddress
import urllib.parse

from sedgepin._model import _announcement
from sedgepin import errors

_MAX_LAYERS = 65_536


def validate_announcement(
    announcement: _announcement.Announcement,
) -> tuple[errors.FieldFault, ...]:
    """Return the faults of an announcement for which no VM could use it.

    >>> validate_announcement(announcement)
    (FieldFault(field='address', problem='Port out of range 0-65535'),)
    """
    faults: list[errors.FieldFault] = []
    problem = _address_problem(announcement.address)
    if problem is not None:
        faults.append(errors.FieldFault("address", problem))
    layers = announcement.layers
    if layers is not None and layers.end > _MAX_LAYERS:
        problem = f"{layers.end} is over {_MAX_LAYERS}"
        faults.append(errors.FieldFault("layers.end", problem))
    return tuple(faults)


def _address_problem(address: str) -> str | None:
    try:
        parts = urllib.parse.urlsplit(address)
        ipaddress.ip_address(parts.hostname or "")
        if parts.port == 0:
            return "port 0 is none"
    except ValueError as exc:
        return str(exc)
    return None
