"""What to do when a stage dies in the middle of an answer."""

import abc
import dataclasses

import result

from sedgepin._answers import _assembly
from sedgepin._answers import _failures
from sedgepin import _model as model

ATTEMPTS_LIMIT = 8


@dataclasses.dataclass(slots=True, frozen=True)
class CacheExport:
    """A KV cache that was saved: whose layers, and how many positions."""

    holder: model.EndpointId
    layers: model.LayerRange
    positions: int


@dataclasses.dataclass(slots=True, frozen=True)
class StageLoss:
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
    """Load ``layers`` of the cache that ``holder`` saved."""

    holder: model.EndpointId
    layers: model.LayerRange


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptPlan:
    """How the next attempt is to be built.

    ``avoid`` is never chosen; ``prefer`` keeps its layers, because its
    prefix cache is warm.  With ``imports`` every stage starts from a cache
    cut to ``keep_positions``; without, the prompt and the delivered tokens
    are prefilled again.
    """

    avoid: frozenset[model.EndpointId]
    prefer: tuple[model.Stage, ...]
    resume: _assembly.ResumePoint
    keep_positions: int = 0
    imports: tuple[CacheImport, ...] = ()

    @property
    def prefills_again(self) -> bool:
        """Tell whether every layer has to run the prompt again."""
        return self.keep_positions == 0


class AttemptPolicy(abc.ABC):
    """Decides how a lost attempt is followed by the next one."""

    def plan(
        self, loss: StageLoss, resume: _assembly.ResumePoint
    ) -> result.Result[AttemptPlan, _failures.AttemptsExhausted]:
        """Return the plan of the next attempt, or that there is none."""
        if loss.attempt >= ATTEMPTS_LIMIT:
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
            keep_positions = positions_needed(loss.prompt_tokens, resume)
        return result.Ok(
            AttemptPlan(
                loss.dead, survivors, resume, keep_positions, imports or ()
            )
        )

    @abc.abstractmethod
    def choose_imports(
        self, loss: StageLoss, resume: _assembly.ResumePoint
    ) -> tuple[CacheImport, ...] | None:
        """Return the caches to load, or ``None`` to prefill again."""


class ImportOrPrefill(AttemptPolicy):
    """Import when saved caches cover every lost layer and position.

    A lost connection with all stages alive needs no import: the stages
    still hold their own caches.
    """

    __slots__ = ()

    def choose_imports(
        self, loss: StageLoss, resume: _assembly.ResumePoint
    ) -> tuple[CacheImport, ...] | None:
        """Return one import for each lost stage, or ``None``."""
        needed = positions_needed(loss.prompt_tokens, resume)
        chosen: list[CacheImport] = []
        for stage in loss.pipeline.stages:
            if stage.endpoint_id not in loss.dead:
                continue
            export = _covering_export(loss, stage.layers, needed)
            if export is None:
                return None
            chosen.append(CacheImport(export.holder, stage.layers))
        return tuple(chosen)


def positions_needed(prompt_tokens: int, resume: _assembly.ResumePoint) -> int:
    """Return how many positions a cache must hold to go on without prefill.

    The last token so far is the input of the next step, so its own keys and
    values are not yet needed.
    """
    return prompt_tokens + resume.next_position - 1


def _covering_export(
    loss: StageLoss, layers: model.LayerRange, positions: int
) -> CacheExport | None:
    for export in loss.exports:
        if export.holder in loss.dead:
            continue
        if export.layers.holds(layers) and export.positions >= positions:
            return export
    return None
