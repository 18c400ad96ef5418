"""What frames can carry of an announcement, and in how few bytes.

Load figures are exact while small, and in 5% steps beyond.
"""

import math

from sedgepin._membership import _failures as failures
from sedgepin._membership import _frames as frames
from sedgepin import _model as model

_EXACT_LIMIT = 16
_STEPS_PER_DOUBLING = 8


def to_step(value: int) -> int:
    """Return the number of the step nearest to a count.

    >>> to_step(3), to_step(1000)
    (3, 64)
    """
    if value < _EXACT_LIMIT:
        return value
    doublings = math.log2(value / _EXACT_LIMIT)
    return _EXACT_LIMIT + round(doublings * _STEPS_PER_DOUBLING)


def from_step(step: int) -> int:
    """Return the count that a step stands for.

    >>> from_step(3), from_step(64)
    (3, 1024)
    """
    if step < _EXACT_LIMIT:
        return step
    doublings = (min(step, 255) - _EXACT_LIMIT) / _STEPS_PER_DOUBLING
    return round(_EXACT_LIMIT * math.exp2(doublings))


def find_too_large(
    announcement: model.Announcement,
) -> failures.NumberTooLarge | None:
    """Return which number of an announcement no frame can carry, if any."""
    numbers = [
        ("incarnation", announcement.incarnation),
        ("sequence", announcement.sequence),
    ]
    if announcement.layers is not None:
        numbers.append(("layers", announcement.layers.first))
        numbers.append(("layers", announcement.layers.end))
    if announcement.accelerator is not None:
        numbers.append(("accelerator", announcement.accelerator.count))
    numbers += [
        ("cache_events", event.sequence) for event in announcement.cache_events
    ]
    for field, number in numbers:
        if number > frames.LARGEST_NUMBER:
            return failures.NumberTooLarge(field, frames.LARGEST_NUMBER)
    return None


def without_changing_parts(
    announcement: model.Announcement,
) -> model.Announcement:
    """Return what an announcement says that stays the same between two."""
    return model.Announcement(
        endpoint_id=announcement.endpoint_id,
        incarnation=announcement.incarnation,
        sequence=0,
        kind=announcement.kind,
        address=announcement.address,
        data_centre=announcement.data_centre,
        services=announcement.services,
        model=announcement.model,
        model_version=announcement.model_version,
        adapters=announcement.adapters,
        layers=announcement.layers,
        accelerator=announcement.accelerator,
        role=announcement.role,
        checks_fencing=announcement.checks_fencing,
        exports_cache=announcement.exports_cache,
    )
