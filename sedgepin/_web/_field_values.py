"""Encoding of any text as the value of a header field."""

import re

# Control characters, and spaces at the ends, are not part of a value
# (RFC 9110, section 5.5).
_NOT_ALLOWED = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]|^[ \t]+|[ \t]+\Z")


def encode_field_value(text: str) -> bytes:
    """Return text as the value of a header field, whatever its letters.

    The value is in Latin-1 if that has all letters, otherwise in UTF-8.
    What no value may contain is percent-encoded.

    >>> encode_field_value("caf\u00e9")
    b'caf\\xe9'
    >>> encode_field_value(" a\\n")
    b'%20a%0A'
    """
    try:
        encoded = text.encode("latin-1")
    except UnicodeEncodeError:
        encoded = text.encode("utf-8", "backslashreplace")
    return _NOT_ALLOWED.sub(_percent_encode, encoded)


def _percent_encode(match: re.Match[bytes]) -> bytes:
    return b"".join(b"%%%02X" % byte for byte in match.group())
