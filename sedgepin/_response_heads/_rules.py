"""What makes the head of a response invalid (RFC 9110 and RFC 9112)."""

import dataclasses
import re
import typing

Fields: typing.TypeAlias = tuple[tuple[bytes, bytes], ...]

_VERSIONS = (b"1.0", b"1.1")
# RFC 9110, section 15: other values are invalid.
_STATUS = re.compile(rb"[1-5][0-9]{2}")
_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_DIGITS = re.compile(rb"[0-9]+")
# Of a value in a message.
_MAX_SHOWN_BYTES = 40


@dataclasses.dataclass(slots=True, frozen=True)
class ResponseHead:
    """The parts of a head as they were sent.

    ``version`` is the part after ``HTTP/``.  Values are without the spaces
    around them.  A folded line belongs to the value before it, with its line
    feed; a line without a colon is the value of an empty name.
    """

    version: bytes
    status: bytes
    reason: bytes
    fields: Fields


def find_fault(head: ResponseHead) -> str | None:
    """Return the rule that a head breaks, or ``None``.

    >>> find_fault(ResponseHead(b"1.1", b"600", b"", ()))
    "the status b'600' is not between 100 and 599"
    """
    if head.version not in _VERSIONS:
        return f"the version {_shown(head.version)} is neither 1.0 nor 1.1"
    if not _STATUS.fullmatch(head.status):
        return f"the status {_shown(head.status)} is not between 100 and 599"
    if _CONTROL.search(head.reason):
        return f"the reason {_shown(head.reason)} has a control byte"
    for name, value in head.fields:
        fault = _field_fault(name, value)
        if fault is not None:
            return fault
    return _framing_fault(head.fields)


def _field_fault(name: bytes, value: bytes) -> str | None:
    if not name:
        return f"the field {_shown(value)} has no name"
    if not _TOKEN.fullmatch(name):
        return f"the field name {_shown(name)} is not a token"
    if b"\n" in value:
        return f"the field {_shown(name)} has a folded line"
    if _CONTROL.search(value):
        return f"the field {_shown(name)} has a control byte in its value"
    return None


def _framing_fault(fields: Fields) -> str | None:
    """Return why the end of the body is ambiguous, if it is."""
    lengths: set[bytes] = set()
    has_coding = False
    for name, value in fields:
        lower_name = name.lower()
        if lower_name == b"transfer-encoding":
            has_coding = True
        if lower_name == b"content-length":
            lengths.update(part.strip(b" \t") for part in value.split(b","))
    for length in lengths:
        if not _DIGITS.fullmatch(length):
            return f"the length {_shown(length)} is not a number"
    if len(lengths) > 1:
        return "the lengths differ"
    if lengths and has_coding:
        return "it has both a length and a transfer coding"
    return None


def _shown(value: bytes) -> str:
    return repr(value[:_MAX_SHOWN_BYTES])
