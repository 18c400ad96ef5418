"""The announcements that endpoints send, with load and cache events."""

import enum
import typing

import msgspec

from sedgepin._model import _identity
from sedgepin._model import _layers

_Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
_Count = typing.Annotated[int, msgspec.Meta(ge=0)]


class EndpointKind(enum.Enum):
    """Whether an endpoint is a model engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


class AcceleratorSpec(msgspec.Struct, frozen=True):
    """The accelerators of an engine, by name, number and speed.

    ``layer_tokens_per_second`` is the rate at which the whole engine runs
    tokens through one layer while batching.  An engine that holds 8 layers
    serves an eighth of this number of tokens per second.
    """

    name: _Name
    count: typing.Annotated[int, msgspec.Meta(ge=1)]
    layer_tokens_per_second: typing.Annotated[float, msgspec.Meta(gt=0)]


class LoadReport(msgspec.Struct, frozen=True):
    """The load of an endpoint as it measured it.

    ``queued_tokens`` counts the prompt tokens that wait for prefill.
    ``measured_before_milliseconds`` is the age of the measurement when the
    announcement that carries it was sent.
    """

    running_requests: _Count = 0
    queued_requests: _Count = 0
    queued_tokens: _Count = 0
    measured_before_milliseconds: _Count = 0


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of an engine's prefix cache.

    Events of one endpoint are numbered without gaps.  A ``snapshot`` event
    lists all cached prefix hashes in ``added``; other events add and remove
    hashes.
    """

    sequence: _Count
    snapshot: bool = False
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


class Announcement(msgspec.Struct, frozen=True):
    """The state that an endpoint reports about itself, twice a second.

    An announcement replaces those with lower ``(incarnation, sequence)``.
    ``leaving`` can't be withdrawn within an incarnation.  ``role`` is a role
    of the release notes.  ``checks_fencing`` is set if the endpoint refuses
    orders with an outdated fencing token.  ``echo`` is the ``echo`` field of
    the entry VM's last reply; it gives an upper bound on the age of the
    announcement.  ``requests_per_second`` is how many requests the endpoint
    takes from all VMs together, as the first of a pipeline; ``None`` if it
    names no limit.
    """

    endpoint_id: typing.Annotated[
        _identity.EndpointId, msgspec.Meta(min_length=1, max_length=128)
    ]
    incarnation: typing.Annotated[_identity.Incarnation, msgspec.Meta(ge=0)]
    sequence: _Count
    kind: EndpointKind
    address: typing.Annotated[
        str, msgspec.Meta(pattern=r"^https?://[0-9a-fA-F.:\[\]]+$")
    ]
    data_centre: _identity.DataCentreId
    services: typing.Annotated[
        tuple[_identity.ServiceName, ...], msgspec.Meta(max_length=64)
    ]
    model: _identity.ModelName | None = None
    model_version: str = ""
    adapters: tuple[str, ...] = ()
    layers: _layers.LayerRange | None = None
    accelerator: AcceleratorSpec | None = None
    role: str = "serve"
    checks_fencing: bool = False
    exports_cache: bool = False
    leaving: bool = False
    load: LoadReport = LoadReport()
    cache_events: typing.Annotated[
        tuple[CacheEvent, ...], msgspec.Meta(max_length=64)
    ] = ()
    echo: str = ""
    requests_per_second: typing.Annotated[float, msgspec.Meta(ge=0)] | None = (
        None
    )
