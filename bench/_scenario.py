"""A simulated fleet of engines, its requests and announcements."""

import dataclasses
import datetime

from sedgepin import _model as model
from sedgepin import _routing

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_MODEL_NAME = model.ModelName("m")
_SERVICE_NAME = model.ServiceName("answers")


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSpec:
    """The location, layers and speed of one engine.

    Its actual speed can be below the announced one; both are in layer-tokens
    a second.  ``resident_layer_tokens`` is the KV cache that fits in memory.
    """

    name: str
    data_centre: str
    layers: model.LayerRange
    layer_tokens_per_second: float
    announced_layer_tokens_per_second: float
    resident_layer_tokens: float


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """A fleet and the requests that it serves.

    If the KV cache of an engine exceeds its ``resident_layer_tokens``, the
    work on the share that does not fit is multiplied by ``paging_factor``.
    ``one_way_seconds`` holds the link latency by ordered pairs of data
    centres.

    Without a fixed arrival rate, requests with ``outstanding_tokens`` in total
    are kept in flight by ``entries`` entry VMs; they start at random within
    ``start_seconds``.  Prompt and answer lengths are drawn uniformly within
    the share ``length_spread`` of their means.  Unless ``shared_prefixes`` is
    0, each prompt starts with one of that many prefixes, of which an engine
    caches up to ``cached_prefixes``.

    Engines announce themselves every ``report_seconds``, with their load
    ``report_lag_seconds`` earlier.  A batch takes at least ``step_seconds``
    for each of the ``tokens_per_job`` tokens that a decode job stands for.
    """

    engines: tuple[EngineSpec, ...]
    layer_count: int
    one_way_seconds: dict[tuple[str, str], float]
    outstanding_tokens: float
    prompt_tokens: int = 64
    generated_tokens: int = 32
    length_spread: float = 0.5
    shared_prefixes: int = 0
    entries: int = 4
    report_seconds: float = 0.5
    report_lag_seconds: float = 0.3
    step_seconds: float = 0.004
    start_seconds: float = 10.0
    tokens_per_job: int = 4
    paging_factor: float = 3.0
    cached_prefixes: int = 8

    @property
    def tokens_per_request(self) -> int:
        """Return the tokens that each layer processes for a mean request."""
        return self.prompt_tokens + self.generated_tokens


def timedelta(seconds: float) -> datetime.timedelta:
    """Convert seconds to a ``datetime.timedelta``."""
    return datetime.timedelta(seconds=seconds)


def make_announcement(
    spec: EngineSpec,
    sequence: int,
    running_requests: int,
    queued_tokens: int,
    lag_seconds: float = 0.0,
    cache_events: tuple[model.CacheEvent, ...] = (),
) -> model.Announcement:
    """Return an engine's announcement of the given load."""
    return model.Announcement(
        endpoint_id=model.EndpointId(spec.name),
        incarnation=model.Incarnation(1),
        sequence=sequence,
        kind=model.EndpointKind.ENGINE,
        address="http://127.0.0.1:1",
        data_centre=model.DataCentreId(spec.data_centre),
        services=(_SERVICE_NAME,),
        model=_MODEL_NAME,
        layers=spec.layers,
        accelerator=model.AcceleratorSpec(
            "kind", 1, spec.announced_layer_tokens_per_second
        ),
        load=model.LoadReport(
            running_requests=running_requests,
            queued_tokens=queued_tokens,
            measured_before_milliseconds=int(lag_seconds * 1000),
        ),
        cache_events=cache_events,
    )


def make_request(
    scenario: Scenario,
    request_id: model.RequestId,
    prompt_tokens: int,
    prefix_hashes: tuple[str, ...],
) -> _routing.RoutingRequest:
    """Return a routing request for the scenario's model."""
    return _routing.RoutingRequest(
        request_id=request_id,
        model=_MODEL_NAME,
        service=_SERVICE_NAME,
        prompt_tokens=prompt_tokens,
        expected_tokens=scenario.generated_tokens,
        prefix_hashes=prefix_hashes,
    )
