"""Checks a decoded document against a type and lists every fault.

``msgspec.convert`` stops at the first fault.  Here the document is walked
field by field, so that its author can mend all faults at once.  Fields that
the type does not have are faults too: a misspelt one would be lost silently.
"""

import functools
import types
import typing

import msgspec

from sedgepin import errors

_SHOWN_KEY_LIMIT = 64


def check(
    value: object, kind: typing.Any, path: str
) -> list[errors.FieldFault]:
    """Return every fault of ``value`` against the type ``kind``.

    >>> check({"first": 0, "last": 2}, model.LayerRange, "layers")
    [FieldFault(field='layers.end', problem='is missing'),
     FieldFault(field='layers.last', problem='is not a known field')]
    """
    bare = kind
    if typing.get_origin(kind) is typing.Annotated:
        bare = typing.get_args(kind)[0]
    if _is_struct(bare):
        return _check_struct(value, bare, path)
    if typing.get_origin(bare) is tuple:
        return _check_sequence(value, kind, bare, path)
    if typing.get_origin(bare) in (typing.Union, types.UnionType):
        return _check_union(value, bare, path)
    return _check_leaf(value, kind, path)


@functools.cache
def _fields_of(
    kind: type[msgspec.Struct],
) -> tuple[msgspec.structs.FieldInfo, ...]:
    """Return a type's fields; reading them from its hints is slow."""
    return msgspec.structs.fields(kind)


def _is_struct(kind: typing.Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _check_leaf(
    value: object, kind: typing.Any, path: str
) -> list[errors.FieldFault]:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as exc:
        problem = str(exc).replace(" - at `$`", "")
        return [errors.FieldFault(path, problem)]
    return []


def _check_sequence(
    value: object, kind: typing.Any, bare: typing.Any, path: str
) -> list[errors.FieldFault]:
    bounds = getattr(kind, "__metadata__", ())
    anything: typing.Any = tuple[typing.Any, ...]
    for bound in bounds:
        anything = typing.Annotated[anything, bound]
    faults = _check_leaf(value, anything, path)
    if not isinstance(value, list):
        return faults
    member = typing.get_args(bare)[0]
    for position, each in enumerate(value):
        faults += check(each, member, f"{path}[{position}]")
    return faults


def _check_union(
    value: object, kind: typing.Any, path: str
) -> list[errors.FieldFault]:
    members = typing.get_args(kind)
    if value is None and type(None) in members:
        return []
    present = [each for each in members if each is not type(None)]
    if len(present) == 1:
        return check(value, present[0], path)
    return _check_tagged(value, present, path)


def _check_tagged(
    value: object, members: list[typing.Any], path: str
) -> list[errors.FieldFault]:
    if not isinstance(value, dict):
        return [errors.FieldFault(path or "$", "is not an object")]
    tag_field = members[0].__struct_config__.tag_field
    by_tag = {each.__struct_config__.tag: each for each in members}
    tag = value.get(tag_field)
    if not isinstance(tag, str) or tag not in by_tag:
        accepted = ", ".join(sorted(by_tag))
        problem = f"is not one of: {accepted}"
        return [errors.FieldFault(f"{path}.{tag_field}", problem)]
    return _check_struct(value, by_tag[tag], path)


def _check_struct(
    value: object, kind: type[msgspec.Struct], path: str
) -> list[errors.FieldFault]:
    if not isinstance(value, dict):
        return [errors.FieldFault(path or "$", "is not an object")]
    prefix = f"{path}." if path else ""
    faults = []
    known = {kind.__struct_config__.tag_field}
    for field in _fields_of(kind):
        known.add(field.encode_name)
        where = prefix + field.encode_name
        if field.encode_name in value:
            faults += check(value[field.encode_name], field.type, where)
        elif field.required:
            faults.append(errors.FieldFault(where, "is missing"))
    for name in value:
        if name not in known:
            where = prefix + str(name)[:_SHOWN_KEY_LIMIT]
            faults.append(errors.FieldFault(where, "is not a known field"))
    return faults
