"""What to do when a stage dies in the middle of an answer."""

import abc
import dataclasses

import result

from sedgepin._answers import _assembly
from sedgepin._answers import _failures
from sedgepin import _model as model

MAX_ATTEMPTS = 8


@dataclasses.dataclass(slots=True, frozen=True)
class CacheExport:
    """A KV cache that was saved: whose layers, and how many positions."""

    endpoint_id: model.EndpointId
    layers: model.LayerRange
    positions: int


@dataclasses.dataclass(slots=True, frozen=True)
class FailedAttempt:
    """An attempt that was lost, and what is left of it.

    ``dead`` names the endpoints that the error or the silence verdict
    named.  It is empty when only a connection was lost.
    """

    pipeline: model.Pipeline
    attempt: int
    dead: frozenset[model.EndpointId]
    prompt_tokens: int
    exports: tuple[CacheExport, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class CacheImport:
    """Load ``layers`` of the cache that ``endpoint_id`` saved."""

    endpoint_id: model.EndpointId
    layers: model.LayerRange


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptPlan:
    """How the next attempt is to be built.

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
    def prefills_again(self) -> bool:
        """Tell whether every layer has to run the prompt again."""
        return self.keep_positions == 0


class ResumePolicy(abc.ABC):
    """Decides how a lost attempt is followed by the next one."""

    def plan(
        self, loss: FailedAttempt, resume: _assembly.ResumePoint
    ) -> result.Result[AttemptPlan, _failures.AttemptsExhausted]:
        """Return the plan of the next attempt, or that there is none."""
        if loss.attempt >= MAX_ATTEMPTS:
            return result.Err(
                _failures.AttemptsExhausted(loss.attempt, resume.next_position)
            )
        survivors = tuple(
            stage
            for stage in loss.pipeline.stages
            if stage.endpoint_id not in loss.dead
        )
        imports = None
        # Before the first token no stage is known to hold the whole prompt.
        if resume.next_position > 0:
            imports = self.choose_imports(loss, resume)
        keep_positions = 0
        if imports is not None:
            keep_positions = required_positions(loss.prompt_tokens, resume)
        return result.Ok(
            AttemptPlan(
                loss.dead, survivors, resume, keep_positions, imports or ()
            )
        )

    @abc.abstractmethod
    def choose_imports(
        self, loss: FailedAttempt, resume: _assembly.ResumePoint
    ) -> tuple[CacheImport, ...] | None:
        """Return the caches to load, or ``None`` to prefill again."""


class ImportOrPrefill(ResumePolicy):
    """Import when saved caches cover every lost layer and position.

    A lost connection with all stages alive needs no import: the stages
    still hold their own caches.
    """

    __slots__ = ()

    def choose_imports(
        self, loss: FailedAttempt, resume: _assembly.ResumePoint
    ) -> tuple[CacheImport, ...] | None:
        """Return one import for each lost stage, or ``None``."""
        needed = required_positions(loss.prompt_tokens, resume)
        chosen: list[CacheImport] = []
        for stage in loss.pipeline.stages:
            if stage.endpoint_id not in loss.dead:
                continue
            export = _covering_export(loss, stage.layers, needed)
            if export is None:
                return None
            chosen.append(CacheImport(export.endpoint_id, stage.layers))
        return tuple(chosen)


def required_positions(
    prompt_tokens: int, resume: _assembly.ResumePoint
) -> int:
    """Return how many positions a cache must hold to go on without prefill.

    The last token so far is the input of the next step, so its own keys and
    values are not yet needed.
    """
    return prompt_tokens + resume.next_position - 1


def _covering_export(
    loss: FailedAttempt, layers: model.LayerRange, positions: int
) -> CacheExport | None:
    for export in loss.exports:
        if export.endpoint_id in loss.dead:
            continue
        if export.layers.contains(layers) and export.positions >= positions:
            return export
    return None
