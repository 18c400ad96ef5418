"""Translates configuration documents for ``sedgepin check-configuration``.

The findings are computed by ``sedgepin._catalog``.  This module reads the
document as the control VMs do and gives fields the names of the document.
"""

import collections.abc
import datetime
import re
import typing

import msgspec
import result

from sedgepin import _catalog as catalog
from sedgepin import checking
from sedgepin import errors
from sedgepin.platform import _configuration

IN_FORCE_PATH: typing.Final = "/v1/config"

_UNKNOWN_FIELD = "is not a known field"
_IDENTIFIER = re.compile(r"(?<![\w\[])[A-Za-z_]\w*(?![^\[]*\])")
_TARGETS = re.compile(r"^(routes\[(\d+)\]\.)targets.*")
_RETRY_SEMANTICS_FIELD = re.compile(r"routes\[\d+\]\.kind")
_DURATION_FIELD = re.compile(
    r"routes\[\d+\]\.(timeoutMs|targetLatencyMs|gapTargetMs)"
    r"|services\[\d+\]\.engine\.report_lag_ms"
    r"|limits\.(headerTimeoutMs|idleTimeoutMs)"
)
_DOCUMENT_NAMES = {
    "accelerators": "kinds",
    "activation_bytes": "activationBytes",
    "body_bytes": "maxBodyBytes",
    "cache_bytes_per_token": "kvTokenBytes",
    "connection_limit": "maxConnections",
    "context_milliseconds_per_thousand": "context_per_k",
    "customers": "tenants",
    "first_output_target": "targetLatencyMs",
    "header_bytes": "maxHeaderBytes",
    "header_timeout": "headerTimeoutMs",
    "health_path": "healthPath",
    "idle_timeout": "idleTimeoutMs",
    "is_public": "public",
    "keys": "apiKeys",
    "layer_count": "layers",
    "layer_megabytes": "layerMb",
    "load_seconds": "models.loadS",
    "max_attempts": "maxAttempts",
    "memory_megabytes": "mb",
    "path_prefix": "pathPrefix",
    "pause_target": "gapTargetMs",
    "read_factor": "readX",
    "read_tokens_per_second": "read_per_s",
    "report_lag": "report_lag_ms",
    "sequence_milliseconds": "per_seq_ms",
    "step_factor": "pace",
    "step_milliseconds": "step_ms",
    "targets": "trafficSplit",
    "timeout": "timeoutMs",
    "usual_answer_tokens": "usual.answer",
    "usual_prompt_tokens": "usual.prompt",
}


def read(
    document: bytes,
) -> result.Result[catalog.Configuration, errors.DocumentRefused]:
    """Parse a document as control VMs do, or return all its faults.

    Fields that the control VMs do not know are ignored, as they do.
    """
    parsed = _configuration.parse(document)
    if isinstance(parsed, result.Ok):
        return parsed
    faults = _structural_faults(document) or tuple(
        errors.FieldFault(document_field(fault.field, document), fault.problem)
        for fault in parsed.err_value.faults
    )
    return result.Err(errors.DocumentRefused("configuration", faults))


def document_field(field: str, document: bytes = b"") -> str:
    """Return the name in the document for a field of the configuration.

    Names in brackets belong to the author and stay.

    >>> document_field("routes[0].pause_target")
    'routes[0].gapTargetMs'
    """
    matched = _TARGETS.match(field)
    if matched is not None and _names_one_service(
        document, int(matched.group(2))
    ):
        return f"{matched.group(1)}service"
    return _IDENTIFIER.sub(
        lambda name: _DOCUMENT_NAMES.get(name.group(), name.group()), field
    )


def document_value(value: object) -> object:
    """Return a value as the document has it; durations in milliseconds."""
    if isinstance(value, datetime.timedelta):
        return value / datetime.timedelta(milliseconds=1)
    if isinstance(value, catalog.RetrySemantics):
        names = {
            semantics: name
            for name, semantics in _configuration.RETRY_SEMANTICS.items()
        }
        return names[value]
    return value


def _names_one_service(document: bytes, position: int) -> bool:
    """Return whether a route has the short form of its targets."""
    try:
        route = msgspec.json.decode(document)["routes"][position]
        return bool(route.get("service")) and not route.get("trafficSplit")
    except (msgspec.MsgspecError, LookupError, TypeError, AttributeError):
        return False


def _structural_faults(document: bytes) -> tuple[errors.FieldFault, ...]:
    """Return the faults of single fields: their types and values."""
    try:
        value = msgspec.json.decode(document)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return ()
    if isinstance(value, dict) and "changes" in value:
        problem = "is a release note; `sedgepin note publish` checks it"
        return (errors.FieldFault("$", problem),)
    faults = (
        *checking.check(value, _configuration.Document, ""),
        *_conversion_faults(value, ""),
    )
    return tuple(fault for fault in faults if fault.problem != _UNKNOWN_FIELD)


def _conversion_faults(
    value: object, path: str
) -> collections.abc.Iterator[errors.FieldFault]:
    """Yield the faults of values that have the right type."""
    if isinstance(value, dict):
        for name, item in value.items():
            yield from _conversion_faults(item, f"{path}.{name}".lstrip("."))
    elif isinstance(value, list):
        for position, item in enumerate(value):
            yield from _conversion_faults(item, f"{path}[{position}]")
    elif isinstance(value, str) and _RETRY_SEMANTICS_FIELD.fullmatch(path):
        if value not in _configuration.RETRY_SEMANTICS:
            accepted = ", ".join(_configuration.RETRY_SEMANTICS)
            problem = f"{value!r} is not one of: {accepted}"
            yield errors.FieldFault(path, problem)
    elif isinstance(value, (int, float)) and _DURATION_FIELD.fullmatch(path):
        try:
            _configuration.duration(value)
        except OverflowError as exc:
            yield errors.FieldFault(path, str(exc))
