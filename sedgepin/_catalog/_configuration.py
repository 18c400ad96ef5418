"""The configuration that an operator publishes as one document."""

import collections.abc
import datetime
import enum
import typing

import msgspec

from sedgepin import _model as model


class RetrySemantics(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class Target(msgspec.Struct, frozen=True):
    """A service that takes a share of a route's requests."""

    service: model.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where the requests of one host and path prefix go.

    A ``STREAM`` may be started anew only with ``resumable``.  ``priority`` 0
    is the most urgent.  ``first_output_target`` and ``pause_target`` are what
    counts as in time; ``timeout`` ends a request for good.
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
    def may_repeat(self) -> bool:
        """Tell whether a request may run on a second endpoint."""
        if self.kind is RetrySemantics.STREAM:
            return self.resumable
        return self.kind is RetrySemantics.IDEMPOTENT


class AcceleratorProfile(msgspec.Struct, frozen=True):
    """How a kind of accelerator compares with the reference engine.

    Steps and context take ``step_factor`` times as long, reading a prompt
    ``read_factor`` times.
    """

    name: str
    memory_megabytes: float
    step_factor: float
    read_factor: float


class EngineProfile(msgspec.Struct, frozen=True):
    """How long the reference engine takes, and what a layer weighs.

    Times are for a pass through all layers and scale with the share of the
    layers that an engine runs.
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

    def accelerator(self, name: str) -> AcceleratorProfile | None:
        """Return the profile of a kind of accelerator."""
        for found in self.accelerators:
            if found.name == name:
                return found
        return None


class Service(msgspec.Struct, frozen=True):
    """A service that endpoints run; with ``engine`` a model in layers."""

    name: model.ServiceName
    health_path: str
    connection_limit: int
    engine: EngineProfile | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)


class Customer(msgspec.Struct, frozen=True):
    """A customer and the keys that its callers show."""

    name: model.CustomerId
    keys: tuple[str, ...]
    priority: int | None = None


class Configuration(msgspec.Struct, frozen=True):
    """Routes, services and customers of one version."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits = CallerLimits()
    customers: tuple[Customer, ...] = ()


class RouteTable:
    """Finds the route of a request and the customer of a key.

    >>> table = RouteTable(configuration)
    >>> table.find("one.example", "/drafts/12").path_prefix
    '/drafts/'
    """

    __slots__ = ("_customers", "_routes", "_services", "configuration")

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._routes: dict[tuple[str, str], Route] = {
            (one.host, one.path_prefix): one for one in configuration.routes
        }
        self._services = {one.name: one for one in configuration.services}
        self._customers = {
            key: customer
            for customer in configuration.customers
            for key in customer.keys
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``."""
        end = len(path)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            found = self._routes.get((host, path[: end + 1]))
            if found is not None:
                return found

    def customer(self, key: str) -> Customer | None:
        """Return the customer that holds a key."""
        return self._customers.get(key)

    def service(self, name: model.ServiceName) -> Service | None:
        """Return a service by its name."""
        return self._services.get(name)

    @property
    def services(self) -> collections.abc.Iterable[Service]:
        """Return all services."""
        return self._services.values()


def encode(configuration: Configuration) -> bytes:
    """Return a configuration as bytes for storage and peers."""
    return _ENCODER.encode(configuration)


def decode(raw: bytes) -> Configuration:
    """Return the configuration that ``encode`` wrote."""
    return _DECODER.decode(raw)


_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODER: typing.Final = msgspec.msgpack.Decoder(Configuration)
