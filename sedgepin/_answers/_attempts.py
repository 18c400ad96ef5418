"""Plans the next attempt after one failed in the middle of an answer."""

import abc
import dataclasses

import result

from sedgepin._answers import _assembly
from sedgepin._answers import _failures
from sedgepin import _model as model

MAX_ATTEMPTS = 8


@dataclasses.dataclass(slots=True, frozen=True)
class CacheExport:
    """A KV cache that an endpoint exported: its layers and positions."""

    endpoint_id: model.EndpointId
    layers: model.LayerRange
    positions: int


@dataclasses.dataclass(slots=True, frozen=True)
class FailedAttempt:
    """A failed attempt and the KV caches exported during it.

    ``failed_endpoints`` are those reported by the error or by the failure
    detector.  It is empty if only a connection failed.
    """

    pipeline: model.Pipeline
    number: int
    failed_endpoints: frozenset[model.EndpointId]
    prompt_tokens: int
    exports: tuple[CacheExport, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class CacheImport:
    """Load ``layers`` of the KV cache that ``endpoint_id`` exported."""

    endpoint_id: model.EndpointId
    layers: model.LayerRange


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptPlan:
    """How to dispatch the next attempt.

    ``excluded_endpoints`` are never chosen; ``preferred_stages`` keep their
    layers, because their prefix caches are warm.  With ``imports`` every stage
    starts from a cache truncated to ``keep_positions``; without, the prompt
    and the delivered tokens are prefilled again.
    """

    excluded_endpoints: frozenset[model.EndpointId]
    preferred_stages: tuple[model.Stage, ...]
    resume: _assembly.ResumePoint
    keep_positions: int = 0
    imports: tuple[CacheImport, ...] = ()

    @property
    def needs_prefill(self) -> bool:
        """Return whether every layer has to run the prompt again."""
        return self.keep_positions == 0


class ResumePolicy(abc.ABC):
    """Decides how to continue an answer after a failed attempt."""

    def plan(
        self, attempt: FailedAttempt, resume: _assembly.ResumePoint
    ) -> result.Result[AttemptPlan, _failures.AttemptsExhausted]:
        """Return the plan of the next attempt, or an error at the limit."""
        if attempt.number >= MAX_ATTEMPTS:
            return result.Err(
                _failures.AttemptsExhausted(
                    attempt.number, resume.next_position
                )
            )
        surviving_stages = tuple(
            stage
            for stage in attempt.pipeline.stages
            if stage.endpoint_id not in attempt.failed_endpoints
        )
        imports = None
        # Before the first token no stage is known to have the whole prompt in
        # its KV cache.
        if resume.next_position > 0:
            imports = self.choose_imports(attempt, resume)
        keep_positions = 0
        if imports is not None:
            keep_positions = required_positions(attempt.prompt_tokens, resume)
        return result.Ok(
            AttemptPlan(
                attempt.failed_endpoints,
                surviving_stages,
                resume,
                keep_positions,
                imports or (),
            )
        )

    @abc.abstractmethod
    def choose_imports(
        self, attempt: FailedAttempt, resume: _assembly.ResumePoint
    ) -> tuple[CacheImport, ...] | None:
        """Return the caches to import, or ``None`` to prefill again."""


class ImportOrPrefill(ResumePolicy):
    """Imports if exported caches cover all layers and positions needed.

    If only a connection failed, no import is needed: all stages still hold
    their own caches.
    """

    __slots__ = ()

    def choose_imports(
        self, attempt: FailedAttempt, resume: _assembly.ResumePoint
    ) -> tuple[CacheImport, ...] | None:
        """Return one import for each failed stage, or ``None``."""
        needed = required_positions(attempt.prompt_tokens, resume)
        imports: list[CacheImport] = []
        for stage in attempt.pipeline.stages:
            if stage.endpoint_id not in attempt.failed_endpoints:
                continue
            export = _covering_export(attempt, stage.layers, needed)
            if export is None:
                return None
            imports.append(CacheImport(export.endpoint_id, stage.layers))
        return tuple(imports)


def required_positions(
    prompt_tokens: int, resume: _assembly.ResumePoint
) -> int:
    """Return how many positions a cache must hold to resume without prefill.

    The last delivered token is the input of the next step, which computes
    its keys and values, so the cache needn't hold them.
    """
    return prompt_tokens + resume.next_position - 1


def _covering_export(
    attempt: FailedAttempt, layers: model.LayerRange, positions: int
) -> CacheExport | None:
    for export in attempt.exports:
        if export.endpoint_id in attempt.failed_endpoints:
            continue
        if export.layers.contains(layers) and export.positions >= positions:
            return export
    return None
