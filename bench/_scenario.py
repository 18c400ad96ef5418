"""A simulated fleet, its work and what it announces."""

import dataclasses
import datetime

from sedgepin import _model as model
from sedgepin import _routing

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_MODEL = model.ModelName("m")
_SERVICE = model.ServiceName("answers")


@dataclasses.dataclass(slots=True, frozen=True)
class EngineSpec:
    """One engine: where it is, what it holds, how fast it is."""

    name: str
    data_centre: str
    layers: model.LayerRange
    layer_tokens_per_second: float
    announced_layer_tokens_per_second: float
    resident_layer_tokens: float


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """A fleet and its work.

    ``resident_layer_tokens`` of an engine is how much KV cache it holds;
    with more, ``paging_factor`` multiplies the work of the share that does
    not fit.  ``one_way_seconds`` is keyed by ordered data-centre pairs.
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
        """Return the tokens that each layer runs for one request."""
        return self.prompt_tokens + self.generated_tokens


def timedelta(seconds: float) -> datetime.timedelta:
    """Return simulated seconds as a duration."""
    return datetime.timedelta(seconds=seconds)


def announcement(
    spec: EngineSpec,
    sequence: int,
    running_requests: int,
    queued_tokens: int,
    lag_seconds: float = 0.0,
    cache_events: tuple[model.CacheEvent, ...] = (),
) -> model.Announcement:
    """Return what an engine announces."""
    return model.Announcement(
        endpoint_id=model.EndpointId(spec.name),
        incarnation=model.Incarnation(1),
        sequence=sequence,
        kind=model.EndpointKind.ENGINE,
        address="http://127.0.0.1:1",
        data_centre=model.DataCentreId(spec.data_centre),
        services=(_SERVICE,),
        model=_MODEL,
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


def work(
    scenario: Scenario,
    request_id: model.RequestId,
    prompt_tokens: int,
    prefix_hashes: tuple[str, ...],
) -> _routing.RoutingRequest:
    """Return a request of the scenario."""
    return _routing.RoutingRequest(
        request_id=request_id,
        model=_MODEL,
        service=_SERVICE,
        prompt_tokens=prompt_tokens,
        expected_tokens=scenario.generated_tokens,
        prefix_hashes=prefix_hashes,
    )
