"""Checks a decoded document against a type and lists every fault.

``msgspec.convert`` stops at the first fault.  This module visits each field,
so that the author can correct all faults at once.  Unknown fields are faults
too, since a misspelt field would otherwise be ignored silently.
"""

import functools
import types
import typing

import msgspec

from sedgepin import errors

_MAX_SHOWN_KEY_CHARACTERS = 64


def check(
    value: object, expected_type: typing.Any, path: str
) -> list[errors.FieldFault]:
    """Return all faults of ``value`` as an ``expected_type``.

    ``path`` is the field's path within the document, empty at its top.

    >>> check({"first": 0, "last": 2}, model.LayerRange, "layers")
    [FieldFault(field='layers.end', problem='is missing'),
     FieldFault(field='layers.last', problem='is not a known field')]
    """
    unwrapped_type = expected_type
    if typing.get_origin(expected_type) is typing.Annotated:
        unwrapped_type = typing.get_args(expected_type)[0]
    if _is_struct(unwrapped_type):
        return _check_struct(value, unwrapped_type, path)
    if typing.get_origin(unwrapped_type) is tuple:
        return _check_sequence(value, expected_type, unwrapped_type, path)
    if typing.get_origin(unwrapped_type) in (typing.Union, types.UnionType):
        return _check_union(value, unwrapped_type, path)
    return _check_leaf(value, expected_type, path)


@functools.cache
def _fields_of(
    expected_type: type[msgspec.Struct],
) -> tuple[msgspec.structs.FieldInfo, ...]:
    """Return the fields of a struct type, cached since inspection is slow."""
    return msgspec.structs.fields(expected_type)


def _is_struct(expected_type: typing.Any) -> bool:
    return isinstance(expected_type, type) and issubclass(
        expected_type, msgspec.Struct
    )


def _check_leaf(
    value: object, expected_type: typing.Any, path: str
) -> list[errors.FieldFault]:
    try:
        msgspec.convert(value, expected_type)
    except msgspec.ValidationError as exc:
        problem = str(exc).replace(" - at `$`", "")
        return [errors.FieldFault(path, problem)]
    return []


def _check_sequence(
    value: object,
    expected_type: typing.Any,
    unwrapped_type: typing.Any,
    path: str,
) -> list[errors.FieldFault]:
    bounds = getattr(expected_type, "__metadata__", ())
    any_sequence: typing.Any = tuple[typing.Any, ...]
    for bound in bounds:
        any_sequence = typing.Annotated[any_sequence, bound]
    faults = _check_leaf(value, any_sequence, path)
    if not isinstance(value, list):
        return faults
    item_type = typing.get_args(unwrapped_type)[0]
    for position, item in enumerate(value):
        faults += check(item, item_type, f"{path}[{position}]")
    return faults


def _check_union(
    value: object, expected_type: typing.Any, path: str
) -> list[errors.FieldFault]:
    members = typing.get_args(expected_type)
    if value is None and type(None) in members:
        return []
    non_null_members = [
        member for member in members if member is not type(None)
    ]
    if len(non_null_members) == 1:
        return check(value, non_null_members[0], path)
    return _check_tagged(value, non_null_members, path)


def _check_tagged(
    value: object, members: list[typing.Any], path: str
) -> list[errors.FieldFault]:
    if not isinstance(value, dict):
        return [errors.FieldFault(path or "$", "is not an object")]
    tag_field = members[0].__struct_config__.tag_field
    by_tag = {member.__struct_config__.tag: member for member in members}
    tag = value.get(tag_field)
    if not isinstance(tag, str) or tag not in by_tag:
        accepted = ", ".join(sorted(by_tag))
        problem = f"is not one of: {accepted}"
        return [errors.FieldFault(f"{path}.{tag_field}", problem)]
    return _check_struct(value, by_tag[tag], path)


def _check_struct(
    value: object, expected_type: type[msgspec.Struct], path: str
) -> list[errors.FieldFault]:
    if not isinstance(value, dict):
        return [errors.FieldFault(path or "$", "is not an object")]
    prefix = f"{path}." if path else ""
    faults = []
    known_names = {expected_type.__struct_config__.tag_field}
    for field in _fields_of(expected_type):
        known_names.add(field.encode_name)
        field_path = prefix + field.encode_name
        if field.encode_name in value:
            faults += check(value[field.encode_name], field.type, field_path)
        elif field.required:
            faults.append(errors.FieldFault(field_path, "is missing"))
    for name in value:
        if name not in known_names:
            field_path = prefix + str(name)[:_MAX_SHOWN_KEY_CHARACTERS]
            faults.append(
                errors.FieldFault(field_path, "is not a known field")
            )
    return faults
