"""What an endpoint says of itself: its announcement and its load."""

import enum
import typing

import msgspec

from sedgepin._model import _identity
from sedgepin._model import _layers

_Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
_Count = typing.Annotated[int, msgspec.Meta(ge=0)]


class EndpointKind(enum.Enum):
    """What an endpoint runs."""

    ENGINE = "engine"
    SERVICE = "service"


class AcceleratorSpec(msgspec.Struct, frozen=True):
    """The accelerators of an engine, by name, number and speed.

    ``layer_tokens_per_second`` is the rate at which the whole engine moves
    tokens through one layer while batching: an engine that holds 8 layers
    serves an eighth of it.
    """

    name: _Name
    count: typing.Annotated[int, msgspec.Meta(ge=1)]
    layer_tokens_per_second: typing.Annotated[float, msgspec.Meta(gt=0)]


class LoadReport(msgspec.Struct, frozen=True):
    """An endpoint's own view of its load.

    ``measured_before_milliseconds`` is the age of the figures when the
    announcement that carries them was sent.
    """

    running_requests: _Count = 0
    queued_requests: _Count = 0
    queued_tokens: _Count = 0
    measured_before_milliseconds: _Count = 0


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of an engine's prefix cache.

    Events of one endpoint are numbered without gaps.  A ``snapshot`` event
    replaces all that was known; the others add and remove prefix hashes.
    """

    sequence: _Count
    snapshot: bool = False
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


class Announcement(msgspec.Struct, frozen=True):
    """What an endpoint sends on its lease, twice a second.

    Higher ``(incarnation, sequence)`` replaces lower.  ``leaving`` is final
    for its incarnation.  ``echo`` returns the ``echo`` field of the entry's
    last reply, which proves how old the announcement can be at most.
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
