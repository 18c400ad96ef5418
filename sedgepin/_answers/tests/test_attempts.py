"""Plans for the attempt that follows a loss."""

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
NEEDED = PROMPT_TOKENS + 2


def plan(
    *exports: answers.CacheExport,
    dead: tuple[str, ...] = ("b",),
    resume: answers.ResumePoint = RESUME,
) -> answers.AttemptPlan:
    loss = answers.FailedAttempt(
        model.Pipeline(STAGES),
        1,
        frozenset(model.EndpointId(name) for name in dead),
        PROMPT_TOKENS,
        exports,
    )
    return answers.ImportOrPrefill().plan(loss, resume).unwrap()


def export(
    positions: int, endpoint_id: str = "d", first: int = 0, end: int = 12
) -> answers.CacheExport:
    return answers.CacheExport(
        model.EndpointId(endpoint_id), model.LayerRange(first, end), positions
    )


class TestImportOrPrefill:
    def test_the_dead_is_avoided_and_survivors_preferred(self) -> None:
        made = plan()
        assert made.excluded_endpoints == {"b"}
        assert [stage.endpoint_id for stage in made.preferred_stages] == [
            "a",
            "c",
        ]
        assert made.resume.text == "xyz"

    def test_imports_only_what_covers_every_position(self) -> None:
        table = (
            (plan(export(NEEDED)), NEEDED),
            (plan(export(NEEDED + 40)), NEEDED),
            (plan(export(NEEDED - 1)), 0),
            (plan(export(NEEDED, first=5)), 0),
            (plan(export(NEEDED, endpoint_id="b")), 0),
            (plan(export(NEEDED), dead=()), NEEDED),
            (plan(export(NEEDED, end=8), dead=("b", "c")), 0),
        )
        for made, keep_positions in table:
            assert made.keep_positions == keep_positions
            assert made.prefills_again == (keep_positions == 0)

    def test_nothing_is_kept_before_the_first_token(self) -> None:
        resume = answers.ResumePoint(0, (), 8)
        assert plan(export(NEEDED), resume=resume).prefills_again

    def test_attempts_are_bounded(self) -> None:
        loss = answers.FailedAttempt(
            model.Pipeline(STAGES),
            answers.MAX_ATTEMPTS,
            frozenset(),
            PROMPT_TOKENS,
        )
        failure = answers.ImportOrPrefill().plan(loss, RESUME).unwrap_err()
        assert failure.delivered_tokens == 3
