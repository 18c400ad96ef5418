"""Control daemon for deployments whose endpoints register with control VMs.

It replicates the configuration with Raft, collects the registrations of
endpoints, sends both to every entry VM, and assigns model layers to engines.
A ``ControlDialect`` translates the HTTP API of the deployment.
"""

from sedgepin._registrar._daemon import run
from sedgepin._registrar._dialect import Call
from sedgepin._registrar._dialect import ControlDialect
from sedgepin._registrar._dialect import DeregisterCall
from sedgepin._registrar._dialect import PublishCall
from sedgepin._registrar._dialect import ReadCall
from sedgepin._registrar._dialect import RegisterCall
from sedgepin._registrar._effects import OrderLayers
from sedgepin._registrar._effects import SendMessage
from sedgepin._registrar._events import EngineReport
from sedgepin._registrar._events import LayerOrderAnswered
from sedgepin._registrar._failures import NotFound
from sedgepin._registrar._load_aggregation import LoadAggregator
from sedgepin._registrar._settings import RegistrarSettings

__all__ = [
    "Call",
    "ControlDialect",
    "DeregisterCall",
    "EngineReport",
    "LayerOrderAnswered",
    "LoadAggregator",
    "NotFound",
    "OrderLayers",
    "PublishCall",
    "ReadCall",
    "RegisterCall",
    "RegistrarSettings",
    "SendMessage",
    "run",
]
