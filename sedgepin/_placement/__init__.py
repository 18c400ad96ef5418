"""Placement of model layers on engines, and pipelines for requests."""

from sedgepin._placement._engines import cache_bytes_per_layer
from sedgepin._placement._engines import cache_capacity_tokens
from sedgepin._placement._engines import Engine
from sedgepin._placement._engines import max_layer_count
from sedgepin._placement._paths import CandidateEngine
from sedgepin._placement._paths import PipelineCandidate
from sedgepin._placement._paths import PipelineFinder
from sedgepin._placement._paths import RequestSize
from sedgepin._placement._plan import Plan
from sedgepin._placement._plan import plan

__all__ = [
    "CandidateEngine",
    "Engine",
    "PipelineCandidate",
    "PipelineFinder",
    "Plan",
    "RequestSize",
    "cache_bytes_per_layer",
    "cache_capacity_tokens",
    "max_layer_count",
    "plan",
]
