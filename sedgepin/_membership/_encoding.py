"""Compact encoding of announcements in gossip frames.

Load figures are quantized: small ones are exact, larger ones are rounded to
within 5%.
"""

import math

from sedgepin._membership import _failures as failures
from sedgepin._membership import _frames as frames
from sedgepin import _model as model

_MIN_QUANTIZED = 16
_STEPS_PER_DOUBLING = 8


def to_step(value: int) -> int:
    """Return the number of the quantization step nearest to a count.

    >>> to_step(3), to_step(1000)
    (3, 64)
    """
    if value < _MIN_QUANTIZED:
        return value
    doublings = math.log2(value / _MIN_QUANTIZED)
    return _MIN_QUANTIZED + round(doublings * _STEPS_PER_DOUBLING)


def from_step(step: int) -> int:
    """Return the count that a quantization step represents.

    Steps above 255, which stands for about 1.6e10, count as 255: a frame may
    contain a step so large that the result would overflow.

    >>> from_step(3), from_step(64)
    (3, 1024)
    """
    if step < _MIN_QUANTIZED:
        return step
    doublings = (min(step, 255) - _MIN_QUANTIZED) / _STEPS_PER_DOUBLING
    return round(_MIN_QUANTIZED * math.exp2(doublings))


def find_too_large(
    announcement: model.Announcement,
) -> failures.NumberTooLarge | None:
    """Return a failure for the first number too large for a frame, if any."""
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


def static_part(
    announcement: model.Announcement,
) -> model.Announcement:
    """Return an announcement reduced to the fields that seldom change.

    Sequence, load, echo and cache events take their defaults, so that
    consecutive announcements of an endpoint usually reduce to equal values.
    """
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
        requests_per_second=announcement.requests_per_second,
    )
