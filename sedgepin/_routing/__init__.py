"""Chooses pipelines over mixed accelerators and unequal network links."""

from sedgepin._routing._failures import NoEndpoint
from sedgepin._routing._failures import NoPipeline
from sedgepin._routing._links import LinkCost
from sedgepin._routing._links import LinkTable
from sedgepin._routing._load import EndpointLoad
from sedgepin._routing._load import LoadEstimator
from sedgepin._routing._prefix_cache import PrefixCacheView
from sedgepin._routing._request import RoutingRequest
from sedgepin._routing._router import Router
from sedgepin._routing._settings import RoutingSettings

__all__ = [
    "EndpointLoad",
    "LinkCost",
    "LinkTable",
    "LoadEstimator",
    "NoEndpoint",
    "NoPipeline",
    "PrefixCacheView",
    "Router",
    "RoutingRequest",
    "RoutingSettings",
]
