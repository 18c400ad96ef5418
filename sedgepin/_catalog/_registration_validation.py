"""Validation of registrations, wherever they come from."""

import re

from sedgepin._catalog import _registration
from sedgepin import _model as model
from sedgepin import errors

# The largest number that fits into a message to a peer of any version.
_MAX_NUMBER = 2**63 - 1
_MAX_LAYERS = 65_536
_MAX_PORT = 65_535
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
    (FieldFault(field='address', problem='80800 is no port'),)
    """
    faults: list[errors.FieldFault] = []
    if _ENDPOINT_ID.fullmatch(registration.endpoint_id) is None:
        problem = "is not 1 to 256 visible ASCII characters"
        faults.append(errors.FieldFault("id", problem))
    port = registration.address.rpartition(":")[2]
    if _PORT.fullmatch(port) is None or not 1 <= int(port) <= _MAX_PORT:
        faults.append(errors.FieldFault("address", f"{port} is no port"))
    for field, number in (
        ("incarnation", registration.incarnation),
        ("sequence", registration.sequence),
        ("slots", registration.slots),
        ("weights_version", registration.weights_version or 0),
    ):
        if not 0 <= number <= _MAX_NUMBER:
            problem = f"{number} is not between 0 and {_MAX_NUMBER}"
            faults.append(errors.FieldFault(field, problem))
    if not are_valid_layers(registration.layers):
        problem = f"{registration.layers} is not within 0 to {_MAX_LAYERS}"
        faults.append(errors.FieldFault("layers", problem))
    return tuple(faults)


def are_valid_layers(layers: model.LayerRange | None) -> bool:
    """Return whether layers are none, or a range that an engine can hold."""
    return layers is None or 0 <= layers.first < layers.end <= _MAX_LAYERS
