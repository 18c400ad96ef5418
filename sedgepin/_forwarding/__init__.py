"""Requests that reach endpoints through another entry VM.

An entry VM that has lost its own paths to endpoints keeps its callers and all
decisions about their requests, and lets another entry VM carry them.
"""

from sedgepin._forwarding._client import ForwardedConnection
from sedgepin._forwarding._client import ForwardFailed
from sedgepin._forwarding._frames import ForwardRefused
from sedgepin._forwarding._frames import OpenForward
from sedgepin._forwarding._links import EndpointLinks
from sedgepin._forwarding._server import ForwardingPolicy
from sedgepin._forwarding._server import ForwardingServer

__all__ = [
    "EndpointLinks",
    "ForwardFailed",
    "ForwardRefused",
    "ForwardedConnection",
    "ForwardingPolicy",
    "ForwardingServer",
    "OpenForward",
]
