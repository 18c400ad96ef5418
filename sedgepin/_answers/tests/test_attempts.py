"""Tests of plans for the attempt that follows a failed one."""

from sedgepin import _answers as answers
from sedgepin import _model as model

STAGES = tuple(
    model.Stage(
        model.EndpointId(name), "http://127.0.0.1:1", model.LayerRange(*layers)
    )
    for name, layers in (("a", (0, 4)), ("b", (4, 8)), ("c", (8, 12)))
)
PROMPT_TOKENS = 100
RESUME = answers.ResumePoint(3, ("x", "y", "z"), 5)
# The last of the 3 delivered tokens needs no position in the cache.
REQUIRED_POSITIONS = PROMPT_TOKENS + 2


def plan(
    *exports: answers.CacheExport,
    failed_names: tuple[str, ...] = ("b",),
    resume: answers.ResumePoint = RESUME,
) -> answers.AttemptPlan:
    attempt = answers.FailedAttempt(
        model.Pipeline(STAGES),
        1,
        frozenset(model.EndpointId(name) for name in failed_names),
        PROMPT_TOKENS,
        exports,
    )
    return answers.ImportOrPrefill().plan(attempt, resume).unwrap()


def export(
    positions: int, endpoint_id: str = "d", first: int = 0, end: int = 12
) -> answers.CacheExport:
    return answers.CacheExport(
        model.EndpointId(endpoint_id), model.LayerRange(first, end), positions
    )


class TestImportOrPrefill:
    def test_failed_endpoints_are_excluded_and_survivors_preferred(
        self,
    ) -> None:
        resume_plan = plan()
        assert resume_plan.excluded_endpoints == {"b"}
        assert [
            stage.endpoint_id for stage in resume_plan.preferred_stages
        ] == [
            "a",
            "c",
        ]
        assert resume_plan.resume.text == "xyz"

    def test_caches_are_imported_only_if_they_cover_all_layers_and_positions(
        self,
    ) -> None:
        table = (
            (plan(export(REQUIRED_POSITIONS)), REQUIRED_POSITIONS),
            (plan(export(REQUIRED_POSITIONS + 40)), REQUIRED_POSITIONS),
            (plan(export(REQUIRED_POSITIONS - 1)), 0),
            (plan(export(REQUIRED_POSITIONS, first=5)), 0),
            (plan(export(REQUIRED_POSITIONS, endpoint_id="b")), 0),
            (
                plan(export(REQUIRED_POSITIONS), failed_names=()),
                REQUIRED_POSITIONS,
            ),
            (
                plan(
                    export(REQUIRED_POSITIONS, end=8), failed_names=("b", "c")
                ),
                0,
            ),
        )
        for resume_plan, keep_positions in table:
            assert resume_plan.keep_positions == keep_positions
            assert resume_plan.needs_prefill == (keep_positions == 0)

    def test_failure_before_first_token_needs_prefill(self) -> None:
        resume = answers.ResumePoint(0, (), 8)
        assert plan(export(REQUIRED_POSITIONS), resume=resume).needs_prefill

    def test_no_plan_after_last_allowed_attempt(self) -> None:
        attempt = answers.FailedAttempt(
            model.Pipeline(STAGES),
            answers.MAX_ATTEMPTS,
            frozenset(),
            PROMPT_TOKENS,
        )
        failure = answers.ImportOrPrefill().plan(attempt, RESUME).unwrap_err()
        assert failure.delivered_tokens == 3
