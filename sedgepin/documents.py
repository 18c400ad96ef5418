"""Reading JSON documents so that every fault is named, not only the first.

>>> class Point(msgspec.Struct):
...     x: int
...     y: int
>>> raw = b'{"x": "a", "z": 1}'
>>> for fault in decode(raw, Point, "point.json").unwrap_err().faults:
...     print(fault)
x: Expected `int`, got `str`
y: is missing
z: is not a known field
"""

import enum
import typing

import msgspec
import result

from sedgepin import checking
from sedgepin import errors

DOCUMENT_LIMIT_BYTES = 4 * 1024 * 1024

_T = typing.TypeVar("_T", bound=msgspec.Struct)


def decode(
    raw: bytes,
    struct_type: type[_T],
    document: str,
    limit_bytes: int = DOCUMENT_LIMIT_BYTES,
) -> result.Result[_T, errors.DocumentRefused]:
    """Return ``raw`` as a ``struct_type``, or every fault it has.

    A field that the type does not have is a fault: a misspelt one would be
    lost silently.
    """
    if len(raw) > limit_bytes:
        return _refuse(document, f"is over {limit_bytes} bytes")
    try:
        value = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return _refuse(document, f"is not JSON: {exc}")
    except RecursionError:
        return _refuse(document, "is nested too deeply")
    faults = checking.check(value, struct_type, "")
    if faults:
        return result.Err(errors.DocumentRefused(document, tuple(faults)))
    return result.Ok(msgspec.convert(value, struct_type))


def decode_message(
    raw: bytes, struct_type: type[_T], document: str
) -> result.Result[_T, errors.DocumentRefused]:
    """Return ``raw`` as a ``struct_type``, passing over unknown fields.

    For what a program sends, which may be of a later version.
    """
    try:
        return result.Ok(msgspec.json.decode(raw, type=struct_type))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return _refuse(document, str(exc))


def _refuse(document: str, problem: str) -> result.Err[errors.DocumentRefused]:
    fault = errors.FieldFault("$", problem)
    return result.Err(errors.DocumentRefused(document, (fault,)))


def nested_struct(expected: typing.Any) -> type[msgspec.Struct] | None:
    """Return the struct that a field's type holds, alone or in a tuple."""
    for candidate in (expected, *typing.get_args(expected)):
        if isinstance(candidate, type) and issubclass(
            candidate, msgspec.Struct
        ):
            return candidate
        if typing.get_origin(candidate) is tuple:
            return nested_struct(typing.get_args(candidate)[0])
    return None


def type_name(expected: typing.Any) -> str:
    """Return a field's type as people read it.

    >>> type_name(tuple[int, ...])
    'list of int'
    """
    if typing.get_origin(expected) is typing.Annotated:
        bare, *bounds = typing.get_args(expected)
        shown = [str(bound) for bound in bounds]
        limits = "; ".join(shown).replace("msgspec.Meta", "")
        return f"{type_name(bare)} `{limits}`"
    if typing.get_origin(expected) is tuple:
        return f"list of {type_name(typing.get_args(expected)[0])}"
    inner = typing.get_args(expected)
    if inner:
        return " or ".join(type_name(each) for each in inner)
    if isinstance(expected, type) and issubclass(expected, enum.Enum):
        return " or ".join(f"`{member.value}`" for member in expected)
    if expected is type(None):
        return "nothing"
    return str(getattr(expected, "__name__", expected))
