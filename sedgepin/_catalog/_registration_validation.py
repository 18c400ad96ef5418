"""Validation of registrations, wherever they come from."""

import re

from sedgepin._catalog import _registration
from sedgepin import _model as model
from sedgepin import errors

_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)
# An id is sent in a header field.
_ENDPOINT_ID = re.compile(r"[!-~]{1,256}", re.ASCII)


def validate_registration(
    registration: _registration.Registration,
) -> tuple[errors.FieldFault, ...]:
    """Return all faults of a registration; it names an endpoint if none.

    A registration with a fault would fail in every VM that encodes it for its
    peers, connects to its address or names its id to the endpoint.  A control
    VM of an earlier version may relay one.

    >>> validate_registration(registration)
    (FieldFault('address', "port '80800' is not between 1 and 65535"),)
    """
    faults: list[errors.FieldFault] = []
    if _ENDPOINT_ID.fullmatch(registration.endpoint_id) is None:
        problem = "is not 1 to 256 visible ASCII characters"
        faults.append(errors.FieldFault("id", problem))
    port = registration.address.rpartition(":")[2]
    if _PORT.fullmatch(port) is None or not 1 <= int(port) <= model.MAX_PORT:
        problem = f"port {port!r} is not between 1 and {model.MAX_PORT}"
        faults.append(errors.FieldFault("address", problem))
    for field, number in (
        ("incarnation", registration.incarnation),
        ("sequence", registration.sequence),
        ("slots", registration.slots),
        ("weights_version", registration.weights_version or 0),
    ):
        if not 0 <= number <= model.MAX_NUMBER:
            problem = f"{number} is not between 0 and {model.MAX_NUMBER}"
            faults.append(errors.FieldFault(field, problem))
    if not are_valid_layers(registration.layers):
        problem = (
            f"{registration.layers} is not within 0 to {model.MAX_LAYERS}"
        )
        faults.append(errors.FieldFault("layers", problem))
    return tuple(faults)


def are_valid_layers(layers: model.LayerRange | None) -> bool:
    """Return whether layers are ``None`` or a range that a model can have."""
    return layers is None or 0 <= layers.first < layers.end <= model.MAX_LAYERS
