"""Documents that endpoints send: check-ins and reports."""

import typing

import msgspec
import result

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import errors

_Natural = typing.Annotated[int, msgspec.Meta(ge=0, le=model.MAX_NUMBER)]
_Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
_OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_Address = typing.Annotated[
    str, msgspec.Meta(pattern=rf"^{_OCTET}(\.{_OCTET}){{3}}:[0-9]{{1,5}}$")
]


class _Layers(msgspec.Struct, frozen=True):
    first: _Natural = msgspec.field(name="from")
    # Index after the last layer.
    end: _Natural = msgspec.field(name="to")
    version: _Natural | None = None


class _Model(msgspec.Struct, frozen=True):
    name: str
    version: _Natural | None = None


class _CheckIn(msgspec.Struct, frozen=True):
    service: _Name
    address: _Address
    zone: _Name
    state: typing.Literal["ready", "draining"]
    # Number of this check-in since the endpoint started.  The field of the
    # same name in a report counts accepted orders instead.
    sequence: _Natural
    slots: _Natural = 0
    # Start time of the endpoint, in Unix milliseconds.
    born: _Natural = 0
    layers: _Layers | tuple[_Layers, ...] | None = None
    # Type of accelerator.
    kind: str = ""
    models: tuple[_Model, ...] = ()


class _Stalled(msgspec.Struct, frozen=True):
    # Id of the stalled request.
    id: str
    # Address of the engine that the request waits for.
    address: str


class Report(msgspec.Struct, frozen=True):
    """An engine's report on itself; it is some hundred milliseconds old."""

    # Number of orders accepted since the engine started.  The field of the
    # same name in a check-in counts check-ins instead.
    sequence: _Natural = 0
    busy: bool = False
    born: _Natural | None = None
    layers: _Layers | tuple[_Layers, ...] | None = None
    # Factor by which the engine is slower than usual.
    pace: float = 1.0
    stalled: tuple[_Stalled, ...] = ()

    @property
    def held_layers(self) -> model.LayerRange | None:
        """Return the layers that the engine holds, if any."""
        return _layer_range(self.layers)


_CHECK_IN_DECODER: typing.Final = msgspec.json.Decoder(_CheckIn)
_REPORT_DECODER: typing.Final = msgspec.json.Decoder(Report)


def parse_check_in(
    endpoint_id: str, body: bytes
) -> result.Result[catalog.Registration, errors.DocumentRefused]:
    """Parse a check-in: an endpoint registers or renews its registration."""
    try:
        check_in = _CHECK_IN_DECODER.decode(body)
    except (msgspec.MsgspecError, RecursionError) as exc:
        return result.Err(_document_refused("check-in", exc))
    state = catalog.EndpointState.READY
    if check_in.state == "draining":
        state = catalog.EndpointState.DRAINING
    registration = catalog.Registration(
        endpoint_id=model.EndpointId(endpoint_id),
        incarnation=check_in.born,
        sequence=check_in.sequence,
        service=model.ServiceName(check_in.service),
        address=check_in.address,
        data_centre=model.DataCentreId(check_in.zone),
        state=state,
        slots=check_in.slots,
        layers=_layer_range(check_in.layers),
        accelerator=check_in.kind,
        weights_version=check_in.models[0].version
        if check_in.models
        else None,
    )
    faults = catalog.validate_registration(registration)
    if faults:
        return result.Err(errors.DocumentRefused("check-in", faults))
    return result.Ok(registration)


def parse_report(body: bytes) -> result.Result[Report, errors.DocumentRefused]:
    """Parse the body of an engine's report."""
    try:
        return result.Ok(_REPORT_DECODER.decode(body))
    except (msgspec.MsgspecError, RecursionError) as exc:
        return result.Err(_document_refused("report", exc))


def _layer_range(
    layers: _Layers | tuple[_Layers, ...] | None,
) -> model.LayerRange | None:
    """Return the first range, or ``None`` if there is none or it is empty."""
    if isinstance(layers, tuple):
        layers = layers[0] if layers else None
    if layers is None or layers.end <= layers.first:
        return None
    return model.LayerRange(layers.first, layers.end)


def _document_refused(document: str, exc: Exception) -> errors.DocumentRefused:
    fault = errors.FieldFault(document, str(exc))
    return errors.DocumentRefused(document, (fault,))
