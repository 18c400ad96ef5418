"""The configuration in force and the endpoints that have registered."""

from sedgepin._catalog._configuration import AcceleratorProfile
from sedgepin._catalog._configuration import CallerLimits
from sedgepin._catalog._configuration import CallKind
from sedgepin._catalog._configuration import Configuration
from sedgepin._catalog._configuration import Customer
from sedgepin._catalog._configuration import decode
from sedgepin._catalog._configuration import encode
from sedgepin._catalog._configuration import EngineProfile
from sedgepin._catalog._configuration import Route
from sedgepin._catalog._configuration import RouteTable
from sedgepin._catalog._configuration import Service
from sedgepin._catalog._configuration import Target
from sedgepin._catalog._faults import find_faults
from sedgepin._catalog._registration import EndpointState
from sedgepin._catalog._registration import Registration
from sedgepin._catalog._registry import endpoint_silence
from sedgepin._catalog._registry import Known
from sedgepin._catalog._registry import Registry

__all__ = [
    "AcceleratorProfile",
    "CallKind",
    "CallerLimits",
    "Configuration",
    "Customer",
    "EndpointState",
    "EngineProfile",
    "Known",
    "Registration",
    "Registry",
    "Route",
    "RouteTable",
    "Service",
    "Target",
    "decode",
    "encode",
    "endpoint_silence",
    "find_faults",
]
