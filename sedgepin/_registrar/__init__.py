"""The control daemon of deployments whose endpoints register with it.

It keeps the configuration in a replicated log, takes registrations and tells
every entry VM of both, and orders engines to hold layers.  How the
deployment's calls look is the business of a ``ControlDialect``.
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
