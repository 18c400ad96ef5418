"""What endpoints say of themselves: check-ins and reports."""

import typing

import msgspec
import result

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import errors

_Natural = typing.Annotated[int, msgspec.Meta(ge=0)]
_Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
_Address = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")
]


class _Layers(msgspec.Struct, frozen=True):
    first: _Natural = msgspec.field(name="from")
    # Exclusive.
    end: _Natural = msgspec.field(name="to")
    version: int | None = None


class _Model(msgspec.Struct, frozen=True):
    name: str
    version: int | None = None


class _CheckIn(msgspec.Struct, frozen=True):
    service: _Name
    address: _Address
    zone: _Name
    state: typing.Literal["ready", "draining"]
    # Counts the check-ins of this start; in a report the name counts orders.
    sequence: _Natural
    slots: _Natural = 0
    # Unix milliseconds of the endpoint's start.
    born: _Natural = 0
    layers: _Layers | tuple[_Layers, ...] | None = None
    # The kind of accelerator.
    kind: str = ""
    models: tuple[_Model, ...] = ()


class _Stalled(msgspec.Struct, frozen=True):
    # The id of the request that waits.
    id: str
    # Where the engine is that it waits for.
    address: str


class Report(msgspec.Struct, frozen=True):
    """An engine's own view; it lags by some hundred milliseconds."""

    # Counts the orders accepted since the start, not check-ins.
    sequence: _Natural = 0
    busy: bool = False
    born: _Natural | None = None
    layers: _Layers | tuple[_Layers, ...] | None = None
    # How many times longer than usual the engine takes.
    pace: float = 1.0
    stalled: tuple[_Stalled, ...] = ()

    @property
    def held_layers(self) -> model.LayerRange | None:
        """Return the layers that the engine holds."""
        return _layer_range(self.layers)


_CHECK_IN: typing.Final = msgspec.json.Decoder(_CheckIn)
_REPORT: typing.Final = msgspec.json.Decoder(Report)


def parse_check_in(
    endpoint_id: str, body: bytes
) -> result.Result[catalog.Registration, errors.DocumentRefused]:
    """Return what an endpoint says in a check-in."""
    try:
        found = _CHECK_IN.decode(body)
    except (msgspec.MsgspecError, RecursionError) as exc:
        return result.Err(_refused("check-in", exc))
    state = catalog.EndpointState.READY
    if found.state == "draining":
        state = catalog.EndpointState.DRAINING
    return result.Ok(
        catalog.Registration(
            endpoint_id=model.EndpointId(endpoint_id),
            incarnation=found.born,
            sequence=found.sequence,
            service=model.ServiceName(found.service),
            address=found.address,
            data_centre=model.DataCentreId(found.zone),
            state=state,
            slots=found.slots,
            layers=_layer_range(found.layers),
            accelerator=found.kind,
            weights_version=found.models[0].version if found.models else None,
        )
    )


def parse_report(body: bytes) -> result.Result[Report, errors.DocumentRefused]:
    """Return what an engine reports when it is asked."""
    try:
        return result.Ok(_REPORT.decode(body))
    except (msgspec.MsgspecError, RecursionError) as exc:
        return result.Err(_refused("report", exc))


def _layer_range(
    found: _Layers | tuple[_Layers, ...] | None,
) -> model.LayerRange | None:
    if isinstance(found, tuple):
        found = found[0] if found else None
    if found is None or found.end <= found.first:
        return None
    return model.LayerRange(found.first, found.end)


def _refused(document: str, exc: Exception) -> errors.DocumentRefused:
    fault = errors.FieldFault(document, str(exc))
    return errors.DocumentRefused(document, (fault,))
