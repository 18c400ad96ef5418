"""Configuration documents, routes, and the registry of endpoints."""

from sedgepin._catalog._configuration import AcceleratorProfile
from sedgepin._catalog._configuration import CallerLimits
from sedgepin._catalog._configuration import Configuration
from sedgepin._catalog._configuration import Customer
from sedgepin._catalog._configuration import decode
from sedgepin._catalog._configuration import encode
from sedgepin._catalog._configuration import EngineProfile
from sedgepin._catalog._configuration import RetrySemantics
from sedgepin._catalog._configuration import Route
from sedgepin._catalog._configuration import RouteTable
from sedgepin._catalog._configuration import Service
from sedgepin._catalog._configuration import Target
from sedgepin._catalog._differences import Change
from sedgepin._catalog._differences import compare
from sedgepin._catalog._differences import Difference
from sedgepin._catalog._findings import Finding
from sedgepin._catalog._findings import FindingKind
from sedgepin._catalog._findings import inspect
from sedgepin._catalog._registration import EndpointState
from sedgepin._catalog._registration import Registration
from sedgepin._catalog._registration_validation import validate_registration
from sedgepin._catalog._registry import EndpointRecord
from sedgepin._catalog._registry import heartbeat_timeout
from sedgepin._catalog._registry import Registry
from sedgepin._catalog._restrictions import EndpointNotice
from sedgepin._catalog._restrictions import EndpointRestrictions
from sedgepin._catalog._validation import validate

__all__ = [
    "AcceleratorProfile",
    "CallerLimits",
    "Change",
    "Configuration",
    "Customer",
    "Difference",
    "EndpointNotice",
    "EndpointRecord",
    "EndpointRestrictions",
    "EndpointState",
    "EngineProfile",
    "Finding",
    "FindingKind",
    "Registration",
    "Registry",
    "RetrySemantics",
    "Route",
    "RouteTable",
    "Service",
    "Target",
    "compare",
    "decode",
    "encode",
    "heartbeat_timeout",
    "inspect",
    "validate",
    "validate_registration",
]
