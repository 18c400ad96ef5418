"""Data types shared by all packages: identifiers, layers, announcements."""

from sedgepin._model._announcement import AcceleratorSpec
from sedgepin._model._announcement import Announcement
from sedgepin._model._announcement import CacheEvent
from sedgepin._model._announcement import EndpointKind
from sedgepin._model._announcement import LoadReport
from sedgepin._model._announcement_validation import validate_announcement
from sedgepin._model._bounds import MAX_LAYERS
from sedgepin._model._bounds import MAX_NUMBER
from sedgepin._model._bounds import MAX_PORT
from sedgepin._model._identity import CustomerId
from sedgepin._model._identity import DataCentreId
from sedgepin._model._identity import EndpointId
from sedgepin._model._identity import Incarnation
from sedgepin._model._identity import ModelName
from sedgepin._model._identity import RequestId
from sedgepin._model._identity import ServiceName
from sedgepin._model._identity import VmId
from sedgepin._model._layers import LayerRange
from sedgepin._model._layers import LayersNotTiled
from sedgepin._model._layers import Pipeline
from sedgepin._model._layers import Stage
from sedgepin._model._tokens import StageMark
from sedgepin._model._tokens import TokenPiece

__all__ = [
    "AcceleratorSpec",
    "Announcement",
    "CacheEvent",
    "CustomerId",
    "DataCentreId",
    "EndpointId",
    "EndpointKind",
    "Incarnation",
    "LayerRange",
    "LayersNotTiled",
    "LoadReport",
    "MAX_LAYERS",
    "MAX_NUMBER",
    "MAX_PORT",
    "ModelName",
    "Pipeline",
    "RequestId",
    "ServiceName",
    "Stage",
    "StageMark",
    "TokenPiece",
    "VmId",
    "validate_announcement",
]
