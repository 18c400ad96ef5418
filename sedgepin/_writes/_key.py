"""Idempotency keys and the dates they carry.

A key shows its age in one of two ways: it is a UUID of version 7, whose first
48 bits are milliseconds since 1970 (RFC 9562, section 5.7), or it starts with
ten digits and a hyphen, the seconds since 1970.  Whether a key is dated
depends on the key alone, never on the time at which it is read.
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

# Ten digits outside 2020 to 2100 are taken for a number that means something
# else to the caller, such as a telephone number.
_EARLIEST_SECONDS = 1_577_836_800
_LATEST_SECONDS = 4_102_444_800

_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.timezone.utc)
_MILLISECOND = datetime.timedelta(milliseconds=1)


# Each command asks several times for the date of one key.
@functools.lru_cache(maxsize=64)
def key_date_milliseconds(key: str) -> int | None:
    """Return when the key was made, in milliseconds since 1970, if it says.

    >>> key_date_milliseconds("1790000000-receipt-17")
    1790000000000
    >>> key_date_milliseconds("receipt-17") is None
    True
    """
    found = _UUID_7.fullmatch(key)
    if found is not None:
        return int(found[1] + found[2], 16)
    found = _SECONDS_PREFIX.fullmatch(key)
    if found is None:
        return None
    seconds = int(found[1])
    if not _EARLIEST_SECONDS <= seconds < _LATEST_SECONDS:
        return None
    return seconds * 1000


def to_milliseconds(at: datetime.datetime) -> int:
    """Return an instant as whole milliseconds since 1970."""
    return (at - _EPOCH) // _MILLISECOND
