"""The configuration that operators publish: routes, services, customers.

Control VMs send its structs to entry VMs, so their field names are part of
the wire format.
"""

import collections.abc
import datetime
import enum
import typing

import msgspec

from sedgepin import _model as model


class RetrySemantics(enum.Enum):
    """Whether a request of a route may be retried after a failed attempt."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class Target(msgspec.Struct, frozen=True):
    """A service of a route and its relative weight in traffic splitting."""

    service: model.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Routing rule for the requests of one host and path prefix.

    ``kind`` and ``max_attempts`` govern retries; a ``STREAM`` is retried only
    if it is ``resumable``.  ``priority`` 0 is the most urgent.
    ``first_output_target`` (until the first output) and ``pause_target``
    (between two outputs) are latency targets; ``timeout`` is the hard limit
    after which the request is ended.
    """

    name: str
    host: str
    path_prefix: str
    kind: RetrySemantics
    timeout: datetime.timedelta
    first_output_target: datetime.timedelta
    targets: tuple[Target, ...]
    priority: int = 1
    max_attempts: int = 1
    is_public: bool = False
    resumable: bool = False
    pause_target: datetime.timedelta | None = None

    @property
    def is_retryable(self) -> bool:
        """Whether a failed request may be retried on another endpoint."""
        if self.kind is RetrySemantics.STREAM:
            return self.resumable
        return self.kind is RetrySemantics.IDEMPOTENT


class AcceleratorProfile(msgspec.Struct, frozen=True):
    """Memory and relative speed of one type of accelerator.

    Durations relative to the reference engine: ``step_factor`` applies to
    decoding steps, including attention over the context, and ``read_factor``
    to prefill.
    """

    name: str
    memory_megabytes: float
    step_factor: float
    read_factor: float


class EngineProfile(msgspec.Struct, frozen=True):
    """Cost model of the reference engine for one model.

    Times are for a pass through all ``layer_count`` layers and scale with the
    share of the layers that an engine runs.  A decoding step takes
    ``step_milliseconds``, plus ``sequence_milliseconds`` for each running
    request, plus ``context_milliseconds_per_thousand`` for each 1000 cached
    tokens.  A pass of an engine runs ``steps_per_pass`` decoding steps and
    reads up to ``chunk_tokens`` of prompts.  Engine reports are
    ``report_lag`` old on arrival.
    """

    slots: int
    layer_count: int
    layer_megabytes: float
    cache_bytes_per_token: float
    step_milliseconds: float
    sequence_milliseconds: float
    context_milliseconds_per_thousand: float
    read_tokens_per_second: float
    load_seconds: float
    loads_at_once: int
    activation_bytes: float
    usual_prompt_tokens: float
    usual_answer_tokens: float
    report_lag: datetime.timedelta
    accelerators: tuple[AcceleratorProfile, ...]
    steps_per_pass: int = 4
    chunk_tokens: int = 512

    def accelerator(self, name: str) -> AcceleratorProfile | None:
        """Return the profile of an accelerator type, if it is configured."""
        for accelerator in self.accelerators:
            if accelerator.name == name:
                return accelerator
        return None


class Service(msgspec.Struct, frozen=True):
    """A service that endpoints run.

    ``engine`` is set for a model whose layers are spread over engines.
    """

    name: model.ServiceName
    health_path: str
    connection_limit: int
    engine: EngineProfile | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on a caller's request: sizes in bytes, and timeouts."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)


class Customer(msgspec.Struct, frozen=True):
    """A customer, its API keys, and the priority of its requests if set."""

    name: model.CustomerId
    keys: tuple[str, ...]
    priority: int | None = None


class Configuration(msgspec.Struct, frozen=True):
    """One version of the complete configuration.

    Versions are chosen by the operator; the highest one is in force.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits = CallerLimits()
    customers: tuple[Customer, ...] = ()


class RouteTable:
    """Index over a configuration: routes by path, customers by API key.

    >>> table = RouteTable(configuration)
    >>> table.find("one.example", "/drafts/12").path_prefix
    '/drafts/'
    """

    __slots__ = ("_customers", "_routes", "_services", "configuration")

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._routes: dict[tuple[str, str], Route] = {
            (route.host, route.path_prefix): route
            for route in configuration.routes
        }
        self._services = {
            service.name: service for service in configuration.services
        }
        self._customers = {
            key: customer
            for customer in configuration.customers
            for key in customer.keys
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``.

        Path prefixes end with a slash and match whole path segments.
        """
        end = len(path)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route

    def customer(self, key: str) -> Customer | None:
        """Return the customer that owns an API key."""
        return self._customers.get(key)

    def service(self, name: model.ServiceName) -> Service | None:
        """Return the service of that name, if it is configured."""
        return self._services.get(name)

    @property
    def services(self) -> collections.abc.Iterable[Service]:
        """All configured services."""
        return self._services.values()


def encode(configuration: Configuration) -> bytes:
    """Encode a configuration for peers, as msgpack."""
    return _ENCODER.encode(configuration)


def decode(raw: bytes) -> Configuration:
    """Decode what ``encode`` returned."""
    return _DECODER.decode(raw)


_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODER: typing.Final = msgspec.msgpack.Decoder(Configuration)
