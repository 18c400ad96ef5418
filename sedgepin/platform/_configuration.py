"""The configuration document that operators publish."""

import datetime
import typing

import msgspec
import result

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import errors

RETRY_SEMANTICS = {
    "idempotent": catalog.RetrySemantics.IDEMPOTENT,
    "non_idempotent": catalog.RetrySemantics.AT_MOST_ONCE,
    "streaming": catalog.RetrySemantics.STREAM,
}


_Version = typing.Annotated[
    int, msgspec.Meta(ge=-model.MAX_NUMBER, le=model.MAX_NUMBER)
]
_PassCount = typing.Annotated[int, msgspec.Meta(ge=1, le=model.MAX_NUMBER)]
_LayerCount = typing.Annotated[int, msgspec.Meta(ge=0, le=model.MAX_LAYERS)]

# Sums and products of the figures of a model stay finite.
_MAX_ESTIMATE = 1e12
# Divisors stay positive.  A size that is left out, or 0, counts as tiny.
_MIN_DIVISOR = 1e-3
_DEFAULT_READ_PER_SECOND = 1e6
# The sum of an instant and a much longer time may exceed ``datetime``.
_MAX_DURATION = datetime.timedelta(days=366)


class _Target(msgspec.Struct, frozen=True):
    service: str
    # Relative share of the requests.
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
    # Seconds to load all layers; fewer layers take a proportional share.
    load_s: float = msgspec.field(default=0.0, name="loadS")


class _UsualTokens(msgspec.Struct, frozen=True):
    # Mean token counts of a request.
    prompt: float = 0.0
    answer: float = 0.0


class _Accelerator(msgspec.Struct, frozen=True):
    name: str
    # Memory in megabytes.
    mb: float
    # Factor on the duration of a decoding step; higher is slower.
    pace: float
    # Factor on the duration of a prefill; higher is slower.
    read_x: float = msgspec.field(name="readX")


class _Engine(msgspec.Struct, frozen=True):
    slots: int
    step_ms: float
    per_seq_ms: float
    context_per_k: float
    read_per_s: float
    # Key-value cache bytes for one token, summed over all layers.
    cache_bytes: float = msgspec.field(name="kvTokenBytes")
    models: tuple[_Model, ...] = ()
    kinds: tuple[_Accelerator, ...] = ()
    usual: _UsualTokens = _UsualTokens()
    layers: _LayerCount = 0
    layer_mb: float = msgspec.field(default=0.0, name="layerMb")
    activation_bytes: float = msgspec.field(
        default=0.0, name="activationBytes"
    )
    loads_at_once: int = 1
    report_lag_ms: float = 0.0
    # Decoding steps, and at most how many prompt tokens, of one pass.
    stride: _PassCount = 4
    chunk: _PassCount = 512


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


class Document(msgspec.Struct, frozen=True):
    """The document; names of fields are the platform's."""

    version: _Version
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


_DECODER: typing.Final = msgspec.json.Decoder(Document)


def parse(
    document: bytes,
) -> result.Result[catalog.Configuration, errors.DocumentRefused]:
    """Decode and validate a configuration document."""
    try:
        decoded = _DECODER.decode(document)
        configuration = _to_configuration(decoded)
    except (
        msgspec.MsgspecError,
        OverflowError,
        RecursionError,
        ValueError,
    ) as exc:
        fault = errors.FieldFault("document", str(exc))
        return result.Err(_document_refused((fault,)))
    faults = catalog.validate(configuration)
    if faults:
        return result.Err(_document_refused(faults))
    return result.Ok(configuration)


def _document_refused(
    faults: tuple[errors.FieldFault, ...],
) -> errors.DocumentRefused:
    return errors.DocumentRefused("configuration", faults)


def _to_configuration(document: Document) -> catalog.Configuration:
    limits = document.limits
    return catalog.Configuration(
        version=document.version,
        routes=tuple(_to_route(route) for route in document.routes),
        services=tuple(_to_service(service) for service in document.services),
        limits=catalog.CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            duration(limits.header_timeout_ms),
            duration(limits.idle_timeout_ms),
        ),
        customers=tuple(
            catalog.Customer(
                model.CustomerId(tenant.name),
                _received_keys(tenant.api_keys),
                tenant.priority,
            )
            for tenant in document.tenants
        ),
    )


def _received_keys(keys: tuple[str, ...]) -> tuple[str, ...]:
    """Return the keys as callers send them in a header field.

    A received field is read as Latin-1; a key with letters beyond ASCII may
    have been sent in UTF-8.
    """
    encoded = (key.encode().decode("latin-1") for key in keys)
    return tuple(dict.fromkeys((*keys, *encoded)))


def _to_route(route: _Route) -> catalog.Route:
    targets = tuple(
        catalog.Target(
            model.ServiceName(target.service),
            min(target.weight, _MAX_ESTIMATE),
        )
        for target in route.traffic_split
    )
    if route.service is not None and not targets:
        name = model.ServiceName(route.service)
        targets = (catalog.Target(name, 1.0),)
    pause_target: datetime.timedelta | None = None
    if route.gap_target_ms is not None:
        pause_target = duration(route.gap_target_ms)
    if route.kind not in RETRY_SEMANTICS:
        raise ValueError(f"route {route.name!r}: unknown kind {route.kind!r}")
    return catalog.Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=RETRY_SEMANTICS[route.kind],
        timeout=duration(route.timeout_ms),
        first_output_target=duration(route.target_latency_ms),
        targets=targets,
        priority=route.priority,
        max_attempts=route.max_attempts,
        is_public=route.public,
        resumable=route.resumable,
        pause_target=pause_target,
    )


def _to_service(service: _Service) -> catalog.Service:
    """Return a service; its model is not spread if it has no layers."""
    engine: catalog.EngineProfile | None = None
    if service.engine is not None and service.engine.layers:
        engine = _to_engine_profile(service.engine)
    return catalog.Service(
        model.ServiceName(service.name),
        service.health_path,
        service.max_connections,
        engine,
    )


def _to_engine_profile(engine: _Engine) -> catalog.EngineProfile:
    return catalog.EngineProfile(
        slots=engine.slots,
        layer_count=engine.layers,
        layer_megabytes=_divisor(engine.layer_mb),
        cache_bytes_per_token=_divisor(engine.cache_bytes),
        step_milliseconds=_estimate(engine.step_ms),
        sequence_milliseconds=_estimate(engine.per_seq_ms),
        context_milliseconds_per_thousand=_estimate(engine.context_per_k),
        read_tokens_per_second=_divisor(
            engine.read_per_s
            if engine.read_per_s > 0
            else _DEFAULT_READ_PER_SECOND
        ),
        load_seconds=max(
            (_estimate(engine_model.load_s) for engine_model in engine.models),
            default=0.0,
        ),
        loads_at_once=engine.loads_at_once,
        activation_bytes=_estimate(engine.activation_bytes),
        usual_prompt_tokens=_estimate(engine.usual.prompt),
        usual_answer_tokens=_estimate(engine.usual.answer),
        report_lag=duration(engine.report_lag_ms),
        accelerators=tuple(
            catalog.AcceleratorProfile(
                accelerator.name,
                _estimate(accelerator.mb),
                _estimate(accelerator.pace),
                _estimate(accelerator.read_x),
            )
            for accelerator in engine.kinds
        ),
        steps_per_pass=engine.stride,
        chunk_tokens=engine.chunk,
    )


def _estimate(value: float) -> float:
    return min(max(value, 0.0), _MAX_ESTIMATE)


def _divisor(value: float) -> float:
    return max(_estimate(value), _MIN_DIVISOR)


def duration(milliseconds: float) -> datetime.timedelta:
    """Return a duration of a document, at most ``_MAX_DURATION``.

    Raises ``OverflowError`` if ``datetime`` cannot represent it.
    """
    return min(datetime.timedelta(milliseconds=milliseconds), _MAX_DURATION)
