"""Reading JSON documents so that every fault is named, not only the first.

``msgspec`` stops at the first fault.  ``decode`` walks the document field by
field instead and converts each one alone.

>>> class Point(msgspec.Struct):
...     x: int
...     y: int
>>> decode(b'{"x": "a", "z": 1}', Point, "point.json").unwrap_err().detail()
'point.json: x: Expected `int`, got `str`; y: is required; z: is unknown'
"""

import collections.abc
import enum
import typing

import msgspec
import result

from sedgepin import errors

DOCUMENT_LIMIT_BYTES = 4 * 1024 * 1024

_T = typing.TypeVar("_T", bound=msgspec.Struct)
_Faults: typing.TypeAlias = list[errors.FieldFault]


def decode(
    raw: bytes, struct_type: type[_T], document: str
) -> result.Result[_T, errors.DocumentRefused]:
    """Return ``raw`` as a ``struct_type``, or every fault it has."""
    if len(raw) > DOCUMENT_LIMIT_BYTES:
        problem = f"is over {DOCUMENT_LIMIT_BYTES} bytes"
        return _refuse(document, [errors.FieldFault("$", problem)])
    try:
        value = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return _refuse(document, [errors.FieldFault("$", str(exc))])
    faults: _Faults = []
    _check_struct(value, struct_type, "", faults)
    if faults:
        return _refuse(document, faults)
    try:
        return result.Ok(msgspec.convert(value, struct_type))
    except msgspec.ValidationError as exc:
        return _refuse(document, [errors.FieldFault("$", str(exc))])


def _refuse(
    document: str, faults: _Faults
) -> result.Err[errors.DocumentRefused]:
    return result.Err(errors.DocumentRefused(document, tuple(faults)))


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _check_struct(
    value: object,
    struct_type: type[msgspec.Struct],
    path: str,
    faults: _Faults,
) -> None:
    if not isinstance(value, dict):
        faults.append(errors.FieldFault(path or "$", "must be an object"))
        return
    fields = msgspec.structs.fields(struct_type)
    names = {field.encode_name for field in fields}
    for field in fields:
        where = _join(path, field.encode_name)
        if field.encode_name in value:
            _check_value(value[field.encode_name], field.type, where, faults)
        elif field.required:
            faults.append(errors.FieldFault(where, "is required"))
    for name in value:
        if name not in names:
            faults.append(
                errors.FieldFault(_join(path, str(name)), "is unknown")
            )


def _check_value(
    value: object, expected: typing.Any, path: str, faults: _Faults
) -> None:
    item = _struct_inside_tuple(expected)
    known = len(faults)
    struct_type = _struct_of(expected)
    if item is not None and isinstance(value, list):
        for position, member in enumerate(value):
            _check_struct(member, item, f"{path}[{position}]", faults)
    elif struct_type is not None and value is not None:
        _check_struct(value, struct_type, path, faults)
    if len(faults) > known:
        return
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as exc:
        problem = str(exc).replace(" - at `$`", "")
        faults.append(errors.FieldFault(path, problem))


def _struct_of(expected: typing.Any) -> type[msgspec.Struct] | None:
    for candidate in (expected, *typing.get_args(expected)):
        if isinstance(candidate, type) and issubclass(
            candidate, msgspec.Struct
        ):
            return candidate
    return None


def _struct_inside_tuple(
    expected: typing.Any,
) -> type[msgspec.Struct] | None:
    if typing.get_origin(expected) is typing.Annotated:
        expected = typing.get_args(expected)[0]
    if typing.get_origin(expected) not in (tuple, collections.abc.Sequence):
        return None
    return _struct_of(typing.get_args(expected)[0])


def struct_inside(expected: typing.Any) -> type[msgspec.Struct] | None:
    """Return the struct that a field's type holds, alone or in a tuple."""
    return _struct_inside_tuple(expected) or _struct_of(expected)


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
