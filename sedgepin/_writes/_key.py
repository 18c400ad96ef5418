"""Idempotency keys and the dates that they contain.

A key is dated if it is a UUID of version 7, whose first 48 bits are
milliseconds since 1970 (RFC 9562, section 5.7), or if it starts with the
seconds since 1970 as ten digits and a hyphen.  Whether a key is dated depends
on the key alone, never on the current time.
"""

import datetime
import functools
import re

MAX_KEY_CHARACTERS = 255

_UUID_7 = re.compile(
    r"([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}",
    re.IGNORECASE,
)
_SECONDS_PREFIX = re.compile(r"([0-9]{10})-.+", re.DOTALL)

# Ten digits that denote a time outside 2020 to 2100 are not a date but some
# other number, such as a telephone number.
_EARLIEST_SECONDS = 1_577_836_800
_LATEST_SECONDS = 4_102_444_800

_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.timezone.utc)
_MILLISECOND = datetime.timedelta(milliseconds=1)


# Cached because each command reads the date of one key several times.
@functools.lru_cache(maxsize=64)
def key_date_milliseconds(key: str) -> int | None:
    """Return the key's date in milliseconds since 1970, or ``None``.

    >>> key_date_milliseconds("1790000000-receipt-17")
    1790000000000
    >>> key_date_milliseconds("receipt-17") is None
    True
    """
    matched = _UUID_7.fullmatch(key)
    if matched is not None:
        return int(matched[1] + matched[2], 16)
    matched = _SECONDS_PREFIX.fullmatch(key)
    if matched is None:
        return None
    seconds = int(matched[1])
    if not _EARLIEST_SECONDS <= seconds < _LATEST_SECONDS:
        return None
    return seconds * 1000


def to_milliseconds(at: datetime.datetime) -> int:
    """Return a time as whole milliseconds since 1970."""
    return (at - _EPOCH) // _MILLISECOND
