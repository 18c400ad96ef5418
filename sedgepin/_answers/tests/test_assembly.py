"""Answer assembly under late, doubled, reordered and foreign pieces."""

import datetime

from hypothesis import stateful
from hypothesis import strategies

from sedgepin import _answers as answers
from sedgepin import _model as model
from sedgepin import errors

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
REQUEST = model.RequestId("r1")
LIMIT_TOKENS = 12
HALF = (model.LayerRange(0, 4), model.LayerRange(4, 8))


def pipeline(number: int) -> model.Pipeline:
    return model.Pipeline(
        tuple(
            model.Stage(
                model.EndpointId(f"e{number}-{layers.first}"),
                "http://127.0.0.1:1",
                layers,
            )
            for layers in HALF
        )
    )


def lineage(number: int) -> tuple[model.StageMark, ...]:
    return tuple(
        model.StageMark(stage.endpoint_id, stage.layers)
        for stage in pipeline(number).stages
    )


def piece(attempt: int, position: int, text: str = "t") -> model.TokenPiece:
    return model.TokenPiece(REQUEST, attempt, position, text, lineage(attempt))


class Answer(stateful.RuleBasedStateMachine):
    """Attempts that each sample their own tokens after the delivered ones.

    ``truth`` is the answer as the caller may see it: what was delivered
    when the current attempt began, then that attempt's own tokens.
    """

    def __init__(self) -> None:
        super().__init__()
        self.assembly = answers.AnswerAssembly(REQUEST, LIMIT_TOKENS)
        self.delivered: list[str] = []
        self.sent: list[model.TokenPiece] = []
        self.truth: list[str] = []
        self.length = 0
        self.ended = False
        self.open = False

    @stateful.precondition(lambda self: not self.complete)
    @stateful.rule(length=strategies.integers(0, LIMIT_TOKENS))
    def raise_attempt(self, length: int) -> None:
        before = self.assembly.attempt
        resume = self.assembly.resume_point
        assert list(resume.delivered) == self.delivered
        assert resume.tokens_left == LIMIT_TOKENS - len(self.delivered)
        number = self.assembly.start_attempt(pipeline(before + 1), NOW)
        assert number == before + 1
        self.length = max(length, resume.next_position)
        self.truth = self.delivered + [
            f"{number}.{position}"
            for position in range(resume.next_position, self.length)
        ]
        self.sent += [
            piece(number, position, self.truth[position])
            for position in range(resume.next_position, self.length)
        ]
        self.ended = False
        self.open = True

    @stateful.rule()
    def lose_attempt(self) -> None:
        self.assembly.close_attempt(self.assembly.attempt, NOW)
        self.open = False

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=strategies.data())
    def piece_arrives(self, data: strategies.DataObject) -> None:
        # Any piece ever sent, in any order and any number of times.
        index = data.draw(strategies.integers(0, len(self.sent) - 1))
        self.take(self.sent[index])

    @stateful.rule(
        position=strategies.integers(0, LIMIT_TOKENS + 2),
        fault=strategies.sampled_from(("request", "lineage", "attempt")),
    )
    def wrong_piece_arrives(self, position: int, fault: str) -> None:
        attempt = self.assembly.attempt
        wrong = {
            "request": model.TokenPiece(
                model.RequestId("r2"), attempt, position, "x", lineage(attempt)
            ),
            "lineage": model.TokenPiece(
                REQUEST, attempt, position, "x", lineage(attempt)[::-1]
            ),
            "attempt": piece(attempt + 1, position, "x"),
        }[fault]
        assert self.assembly.accept(wrong, NOW).is_err()

    @stateful.rule(
        error=strategies.sampled_from((0, 0, 0, -1, 1)),
        older=strategies.integers(0, 1),
    )
    def end_marker_arrives(self, error: int, older: int) -> None:
        attempt = self.assembly.attempt - older
        ended = self.assembly.accept_end(
            attempt, self.length + error, answers.FinishReason.STOP
        )
        if older or not self.open:
            assert ended.is_err()
        elif error == 0 and not self.ended:
            self.ended = ended.is_ok()

    @property
    def complete(self) -> bool:
        return self.assembly.completion is not None

    def take(self, arrived: model.TokenPiece) -> None:
        taken = self.assembly.accept(arrived, NOW)
        if taken.is_ok():
            assert arrived.attempt == self.assembly.attempt and self.open
            self.delivered += [one.text for one in taken.unwrap()]

    @stateful.invariant()
    def delivered_is_a_prefix_of_the_answer(self) -> None:
        assert self.delivered == self.truth[: len(self.delivered)]
        assert self.assembly.next_position == len(self.delivered)

    @stateful.invariant()
    def complete_only_when_whole(self) -> None:
        completion = self.assembly.completion
        if completion is not None:
            assert completion.token_count == len(self.delivered)

    @stateful.invariant()
    def held_pieces_are_bounded(self) -> None:
        assert self.assembly.buffered_count <= answers.MAX_BUFFERED_PIECES


TestAnswer = Answer.TestCase


class TestDrops:
    def start(self) -> answers.AnswerAssembly:
        assembly = answers.AnswerAssembly(REQUEST, 200)
        assembly.start_attempt(pipeline(1), NOW)
        return assembly

    def test_each_reason_is_counted(self) -> None:
        reasons = answers.DropReason
        assembly = self.start()
        assembly.accept(piece(1, 0), NOW)
        table = (
            (piece(1, 0), reasons.POSITION_HELD),
            (piece(0, 1), reasons.OLDER_ATTEMPT),
            (piece(2, 1), reasons.UNKNOWN_ATTEMPT),
            (piece(1, 200), reasons.BEYOND_LIMIT),
            (
                piece(1, 2 + answers.MAX_BUFFERED_PIECES),
                reasons.BEYOND_WINDOW,
            ),
            (
                model.TokenPiece(REQUEST, 1, 1, "t", lineage(2)),
                reasons.UNEXPECTED_LINEAGE,
            ),
            (
                model.TokenPiece(model.RequestId("r2"), 1, 1, "t", lineage(1)),
                reasons.FOREIGN_REQUEST,
            ),
        )
        for dropped, reason in table:
            failure = assembly.accept(dropped, NOW).unwrap_err()
            assert failure.reason == reason
            assert assembly.drop_counts[reason] == 1

    def test_held_piece_that_comes_again(self) -> None:
        assembly = self.start()
        assert assembly.accept(piece(1, 5), NOW).unwrap() == ()
        failure = assembly.accept(piece(1, 5), NOW).unwrap_err()
        assert failure.reason == answers.DropReason.POSITION_HELD

    def test_pieces_held_by_an_older_attempt_are_forgotten(self) -> None:
        assembly = self.start()
        assembly.accept(piece(1, 1, "old"), NOW)
        assembly.start_attempt(pipeline(2), NOW)
        taken = assembly.accept(piece(2, 0, "new"), NOW).unwrap()
        assert [one.text for one in taken] == ["new"]


class TestEnd:
    def test_marker_before_the_last_pieces(self) -> None:
        assembly = answers.AnswerAssembly(REQUEST, 8)
        assembly.start_attempt(pipeline(1), NOW)
        end = assembly.accept_end(1, 2, answers.FinishReason.STOP).unwrap()
        assert end == answers.AnswerIncomplete(0, 2)
        assembly.accept(piece(1, 1), NOW)
        assert assembly.completion is None
        assembly.accept(piece(1, 0), NOW)
        assert assembly.completion is not None
        assert assembly.accept(piece(1, 2), NOW).is_err()

    def test_marker_of_a_lost_attempt_ends_nothing(self) -> None:
        assembly = answers.AnswerAssembly(REQUEST, 8)
        assembly.start_attempt(pipeline(1), NOW)
        assembly.accept_end(1, 1, answers.FinishReason.STOP)
        assembly.start_attempt(pipeline(2), NOW)
        assembly.accept(piece(2, 0), NOW)
        assert assembly.completion is None

    def test_marker_that_contradicts_the_pieces(self) -> None:
        assembly = answers.AnswerAssembly(REQUEST, 8)
        assembly.start_attempt(pipeline(1), NOW)
        assembly.accept(piece(1, 0), NOW)
        assembly.accept(piece(1, 3), NOW)
        for count in (0, 1, 3):
            ended = assembly.accept_end(1, count, answers.FinishReason.STOP)
            reason = ended.unwrap_err().reason
            assert reason == answers.DropReason.CONTRADICTS_END

    def test_only_the_marker_missing_at_the_limit(self) -> None:
        assembly = answers.AnswerAssembly(REQUEST, 1)
        assembly.start_attempt(pipeline(1), NOW)
        assert assembly.complete_at_limit() is None
        assembly.accept(piece(1, 0), NOW)
        assembly.close_attempt(1, NOW)
        assert assembly.complete_at_limit() is not None

    def test_no_attempt_after_the_end(self) -> None:
        assembly = answers.AnswerAssembly(REQUEST, 1)
        assembly.start_attempt(pipeline(1), NOW)
        assembly.accept_end(1, 0, answers.FinishReason.STOP)
        try:
            assembly.start_attempt(pipeline(2), NOW)
        except errors.FailureRaised as raised:
            assert isinstance(raised.failure, answers.AnswerClosed)
        else:
            raise AssertionError("a closed answer took an attempt")
