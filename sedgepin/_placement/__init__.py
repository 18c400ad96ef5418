"""Which engine holds which layers, and which engines a request runs on."""

from sedgepin._placement._engines import cache_bytes_per_layer
from sedgepin._placement._engines import cache_room_tokens
from sedgepin._placement._engines import Engine
from sedgepin._placement._engines import layer_limit
from sedgepin._placement._paths import Found
from sedgepin._placement._paths import PathEngine
from sedgepin._placement._paths import PathFinder
from sedgepin._placement._paths import Size
from sedgepin._placement._plan import Plan
from sedgepin._placement._plan import plan

__all__ = [
    "Engine",
    "Found",
    "PathEngine",
    "PathFinder",
    "Plan",
    "Size",
    "cache_bytes_per_layer",
    "cache_room_tokens",
    "layer_limit",
    "plan",
]
