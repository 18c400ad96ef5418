"""The configuration document that operators send."""

import datetime
import typing

import msgspec
import result

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import errors

_KINDS = {
    "idempotent": catalog.RetrySemantics.IDEMPOTENT,
    "non_idempotent": catalog.RetrySemantics.AT_MOST_ONCE,
    "streaming": catalog.RetrySemantics.STREAM,
}


class _Target(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True, rename="camel"):
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    name: str = ""
    target_latency_ms: float = 0.0
    priority: int = 1
    service: str | None = None
    traffic_split: tuple[_Target, ...] = ()
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float | None = None


class _Model(msgspec.Struct, frozen=True):
    # Seconds to load all layers; a part takes its share of it.
    load_s: float = msgspec.field(default=0.0, name="loadS")


class _Usual(msgspec.Struct, frozen=True):
    # Mean numbers of tokens.
    prompt: float = 0.0
    answer: float = 0.0


class _Kind(msgspec.Struct, frozen=True):
    name: str
    mb: float
    # Factor on the time of a step; higher is slower.
    pace: float
    # Factor on the time of reading a prompt; higher is slower.
    read_x: float = msgspec.field(name="readX")


class _Engine(msgspec.Struct, frozen=True):
    slots: int
    step_ms: float
    per_seq_ms: float
    context_per_k: float
    read_per_s: float
    # Bytes in the cache for one token of all layers together.
    cache_bytes: float = msgspec.field(name="kvTokenBytes")
    models: tuple[_Model, ...] = ()
    kinds: tuple[_Kind, ...] = ()
    usual: _Usual = _Usual()
    layers: int = 0
    layer_mb: float = msgspec.field(default=0.0, name="layerMb")
    activation_bytes: float = msgspec.field(
        default=0.0, name="activationBytes"
    )
    loads_at_once: int = 1
    report_lag_ms: float = 0.0


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    health_path: str = "/"
    max_connections: int = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _Document(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


_DECODER: typing.Final = msgspec.json.Decoder(_Document)


def parse(
    document: bytes,
) -> result.Result[catalog.Configuration, errors.DocumentRefused]:
    """Return the configuration that a document describes, if it is valid."""
    try:
        found = _DECODER.decode(document)
        configuration = _configuration(found)
    except (
        msgspec.MsgspecError,
        OverflowError,
        RecursionError,
        ValueError,
    ) as exc:
        fault = errors.FieldFault("document", str(exc))
        return result.Err(_refused((fault,)))
    faults = catalog.validate(configuration)
    if faults:
        return result.Err(_refused(faults))
    return result.Ok(configuration)


def _refused(
    faults: tuple[errors.FieldFault, ...],
) -> errors.DocumentRefused:
    return errors.DocumentRefused("configuration", faults)


def _configuration(found: _Document) -> catalog.Configuration:
    limits = found.limits
    return catalog.Configuration(
        version=found.version,
        routes=tuple(_route(one) for one in found.routes),
        services=tuple(_service(one) for one in found.services),
        limits=catalog.CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            _span(limits.header_timeout_ms),
            _span(limits.idle_timeout_ms),
        ),
        customers=tuple(
            catalog.Customer(
                model.CustomerId(one.name), one.api_keys, one.priority
            )
            for one in found.tenants
        ),
    )


def _route(found: _Route) -> catalog.Route:
    targets = tuple(
        catalog.Target(model.ServiceName(one.service), one.weight)
        for one in found.traffic_split
    )
    if found.service is not None and not targets:
        name = model.ServiceName(found.service)
        targets = (catalog.Target(name, 1.0),)
    pause: datetime.timedelta | None = None
    if found.gap_target_ms is not None:
        pause = _span(found.gap_target_ms)
    if found.kind not in _KINDS:
        raise ValueError(f"unknown kind {found.kind!r}")
    return catalog.Route(
        name=found.name,
        host=found.host.lower(),
        path_prefix=found.path_prefix,
        kind=_KINDS[found.kind],
        timeout=_span(found.timeout_ms),
        first_output_target=_span(found.target_latency_ms),
        targets=targets,
        priority=found.priority,
        max_attempts=found.max_attempts,
        is_public=found.public,
        resumable=found.resumable,
        pause_target=pause,
    )


def _service(found: _Service) -> catalog.Service:
    engine = None if found.engine is None else _engine(found.engine)
    return catalog.Service(
        model.ServiceName(found.name),
        found.health_path,
        found.max_connections,
        engine,
    )


def _engine(found: _Engine) -> catalog.EngineProfile:
    return catalog.EngineProfile(
        slots=found.slots,
        layer_count=found.layers,
        layer_megabytes=found.layer_mb,
        cache_bytes_per_token=found.cache_bytes,
        step_milliseconds=found.step_ms,
        sequence_milliseconds=found.per_seq_ms,
        context_milliseconds_per_thousand=found.context_per_k,
        read_tokens_per_second=found.read_per_s,
        load_seconds=max((one.load_s for one in found.models), default=0.0),
        loads_at_once=found.loads_at_once,
        activation_bytes=found.activation_bytes,
        usual_prompt_tokens=found.usual.prompt,
        usual_answer_tokens=found.usual.answer,
        report_lag=_span(found.report_lag_ms),
        accelerators=tuple(
            catalog.AcceleratorProfile(one.name, one.mb, one.pace, one.read_x)
            for one in found.kinds
        ),
    )


def _span(milliseconds: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=milliseconds)
