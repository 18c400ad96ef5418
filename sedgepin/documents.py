"""Decoding of JSON documents with a report of all faults.

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
    """Decode ``raw`` as a ``struct_type``, or return all its faults.

    Unknown fields are faults, since a misspelt field would otherwise be
    ignored silently.  ``document`` names the document in the failure.
    """
    if len(raw) > limit_bytes:
        return _refused(
            document, f"has {len(raw)} bytes, over the limit of {limit_bytes}"
        )
    try:
        value = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return _refused(document, f"is not JSON: {exc}")
    except RecursionError:
        return _refused(document, "is nested too deeply")
    faults = checking.check(value, struct_type, "")
    if faults:
        return result.Err(errors.DocumentRefused(document, tuple(faults)))
    return result.Ok(msgspec.convert(value, struct_type))


def decode_message(
    raw: bytes, struct_type: type[_T], document: str
) -> result.Result[_T, errors.DocumentRefused]:
    """Decode ``raw`` as a ``struct_type``, ignoring unknown fields.

    This is for messages of programs, whose version may be later.
    """
    try:
        return result.Ok(msgspec.json.decode(raw, type=struct_type))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return _refused(document, str(exc))


def _refused(
    document: str, problem: str
) -> result.Err[errors.DocumentRefused]:
    fault = errors.FieldFault("$", problem)
    return result.Err(errors.DocumentRefused(document, (fault,)))


def nested_struct(expected: typing.Any) -> type[msgspec.Struct] | None:
    """Return the struct type within a field's type, if there is one.

    It may be the type itself, a member of a union or the item of a tuple.
    """
    for candidate in (expected, *typing.get_args(expected)):
        if isinstance(candidate, type) and issubclass(
            candidate, msgspec.Struct
        ):
            return candidate
        if typing.get_origin(candidate) is tuple:
            return nested_struct(typing.get_args(candidate)[0])
    return None


def type_name(expected: typing.Any) -> str:
    """Return a readable description of a field's type.

    >>> type_name(tuple[int, ...])
    'list of int'
    """
    if typing.get_origin(expected) is typing.Annotated:
        bare, *bounds = typing.get_args(expected)
        shown_bounds = [str(bound) for bound in bounds]
        limits = "; ".join(shown_bounds).replace("msgspec.Meta", "")
        return f"{type_name(bare)} `{limits}`"
    if typing.get_origin(expected) is tuple:
        return f"list of {type_name(typing.get_args(expected)[0])}"
    inner = typing.get_args(expected)
    if inner:
        return " or ".join(type_name(member) for member in inner)
    if isinstance(expected, type) and issubclass(expected, enum.Enum):
        return " or ".join(f"`{member.value}`" for member in expected)
    if expected is type(None):
        return "nothing"
    return str(getattr(expected, "__name__", expected))
