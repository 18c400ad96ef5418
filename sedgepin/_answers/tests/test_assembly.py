"""Tests of answer assembly.

Pieces arrive late, twice, out of order or from other requests.
"""

import datetime

from hypothesis import stateful
from hypothesis import strategies

from sedgepin import _answers as answers
from sedgepin import _model as model
from sedgepin import errors

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
REQUEST = model.RequestId("r1")
LIMIT_TOKENS = 12
LAYER_HALVES = (model.LayerRange(0, 4), model.LayerRange(4, 8))


def pipeline(number: int) -> model.Pipeline:
    return model.Pipeline(
        tuple(
            model.Stage(
                model.EndpointId(f"e{number}-{layers.first}"),
                "http://127.0.0.1:1",
                layers,
            )
            for layers in LAYER_HALVES
        )
    )


def lineage(number: int) -> tuple[model.StageMark, ...]:
    return tuple(
        model.StageMark(stage.endpoint_id, stage.layers)
        for stage in pipeline(number).stages
    )


def piece(attempt: int, position: int, text: str = "t") -> model.TokenPiece:
    return model.TokenPiece(REQUEST, attempt, position, text, lineage(attempt))


class AnswerAssemblyMachine(stateful.RuleBasedStateMachine):
    """Attempts that each generate different tokens after the delivered ones.

    ``expected`` is the only answer that may be delivered: the tokens that
    were delivered before the current attempt, then those that it generates.
    """

    def __init__(self) -> None:
        super().__init__()
        self.assembly = answers.AnswerAssembly(REQUEST, LIMIT_TOKENS)
        self.delivered: list[str] = []
        self.sent: list[model.TokenPiece] = []
        self.expected: list[str] = []
        self.length = 0
        self.has_ended = False
        self.is_open = False

    @stateful.precondition(lambda self: not self.is_complete)
    @stateful.rule(length=strategies.integers(0, LIMIT_TOKENS))
    def start_attempt(self, length: int) -> None:
        before = self.assembly.attempt
        resume = self.assembly.resume_point
        assert list(resume.delivered) == self.delivered
        assert resume.tokens_left == LIMIT_TOKENS - len(self.delivered)
        number = self.assembly.start_attempt(pipeline(before + 1), NOW)
        assert number == before + 1
        self.length = max(length, resume.next_position)
        self.expected = self.delivered + [
            f"{number}.{position}"
            for position in range(resume.next_position, self.length)
        ]
        self.sent += [
            piece(number, position, self.expected[position])
            for position in range(resume.next_position, self.length)
        ]
        self.has_ended = False
        self.is_open = True

    @stateful.rule()
    def close_attempt(self) -> None:
        self.assembly.close_attempt(self.assembly.attempt, NOW)
        self.is_open = False

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=strategies.data())
    def piece_arrives(self, data: strategies.DataObject) -> None:
        # Any piece ever sent may arrive, in any order and several times.
        index = data.draw(strategies.integers(0, len(self.sent) - 1))
        self.accept_piece(self.sent[index])

    @stateful.rule(
        position=strategies.integers(0, LIMIT_TOKENS + 2),
        fault=strategies.sampled_from(("request", "lineage", "attempt")),
    )
    def invalid_piece_arrives(self, position: int, fault: str) -> None:
        attempt = self.assembly.attempt
        invalid = {
            "request": model.TokenPiece(
                model.RequestId("r2"), attempt, position, "x", lineage(attempt)
            ),
            "lineage": model.TokenPiece(
                REQUEST, attempt, position, "x", lineage(attempt)[::-1]
            ),
            "attempt": piece(attempt + 1, position, "x"),
        }[fault]
        assert self.assembly.accept(invalid, NOW).is_err()

    @stateful.rule(
        error=strategies.sampled_from((0, 0, 0, -1, 1)),
        older=strategies.integers(0, 1),
    )
    def end_marker_arrives(self, error: int, older: int) -> None:
        attempt = self.assembly.attempt - older
        end_result = self.assembly.accept_end(
            attempt, self.length + error, answers.FinishReason.STOP
        )
        if older or not self.is_open:
            assert end_result.is_err()
        elif error == 0 and not self.has_ended:
            self.has_ended = end_result.is_ok()

    @property
    def is_complete(self) -> bool:
        return self.assembly.completion is not None

    def accept_piece(self, arrived: model.TokenPiece) -> None:
        accepted = self.assembly.accept(arrived, NOW)
        if accepted.is_ok():
            assert arrived.attempt == self.assembly.attempt and self.is_open
            self.delivered += [piece.text for piece in accepted.unwrap()]

    @stateful.invariant()
    def delivered_is_a_prefix_of_the_answer(self) -> None:
        assert self.delivered == self.expected[: len(self.delivered)]
        assert self.assembly.next_position == len(self.delivered)

    @stateful.invariant()
    def complete_only_if_all_tokens_are_delivered(self) -> None:
        completion = self.assembly.completion
        if completion is not None:
            assert completion.token_count == len(self.delivered)

    @stateful.invariant()
    def buffered_pieces_are_bounded(self) -> None:
        assert self.assembly.buffered_count <= answers.MAX_BUFFERED_PIECES


TestAnswerAssemblyMachine = AnswerAssemblyMachine.TestCase


class TestDroppedPieces:
    def assembly_with_attempt(self) -> answers.AnswerAssembly:
        assembly = answers.AnswerAssembly(REQUEST, 200)
        assembly.start_attempt(pipeline(1), NOW)
        return assembly

    def test_each_reason_is_returned_and_counted(self) -> None:
        reasons = answers.DropReason
        assembly = self.assembly_with_attempt()
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

    def test_duplicate_of_buffered_piece_is_dropped(self) -> None:
        assembly = self.assembly_with_attempt()
        assert assembly.accept(piece(1, 5), NOW).unwrap() == ()
        failure = assembly.accept(piece(1, 5), NOW).unwrap_err()
        assert failure.reason == answers.DropReason.POSITION_HELD

    def test_new_attempt_discards_buffered_pieces_of_older_one(self) -> None:
        assembly = self.assembly_with_attempt()
        assembly.accept(piece(1, 1, "old"), NOW)
        assembly.start_attempt(pipeline(2), NOW)
        accepted = assembly.accept(piece(2, 0, "new"), NOW).unwrap()
        assert [token.text for token in accepted] == ["new"]


class TestEndMarker:
    def test_marker_before_last_pieces_completes_after_them(self) -> None:
        assembly = answers.AnswerAssembly(REQUEST, 8)
        assembly.start_attempt(pipeline(1), NOW)
        end = assembly.accept_end(1, 2, answers.FinishReason.STOP).unwrap()
        assert end == answers.AnswerIncomplete(0, 2)
        assembly.accept(piece(1, 1), NOW)
        assert assembly.completion is None
        assembly.accept(piece(1, 0), NOW)
        assert assembly.completion is not None
        assert assembly.accept(piece(1, 2), NOW).is_err()

    def test_marker_of_failed_attempt_does_not_end_next_one(self) -> None:
        assembly = answers.AnswerAssembly(REQUEST, 8)
        assembly.start_attempt(pipeline(1), NOW)
        assembly.accept_end(1, 1, answers.FinishReason.STOP)
        assembly.start_attempt(pipeline(2), NOW)
        assembly.accept(piece(2, 0), NOW)
        assert assembly.completion is None

    def test_marker_that_contradicts_received_pieces_is_dropped(self) -> None:
        assembly = answers.AnswerAssembly(REQUEST, 8)
        assembly.start_attempt(pipeline(1), NOW)
        assembly.accept(piece(1, 0), NOW)
        assembly.accept(piece(1, 3), NOW)
        for count in (0, 1, 3):
            end_result = assembly.accept_end(
                1, count, answers.FinishReason.STOP
            )
            reason = end_result.unwrap_err().reason
            assert reason == answers.DropReason.CONTRADICTS_END

    def test_answer_at_limit_completes_without_marker(self) -> None:
        assembly = answers.AnswerAssembly(REQUEST, 1)
        assembly.start_attempt(pipeline(1), NOW)
        assert assembly.complete_at_limit() is None
        assembly.accept(piece(1, 0), NOW)
        assembly.close_attempt(1, NOW)
        assert assembly.complete_at_limit() is not None

    def test_starting_attempt_after_end_raises_answer_closed(self) -> None:
        assembly = answers.AnswerAssembly(REQUEST, 1)
        assembly.start_attempt(pipeline(1), NOW)
        assembly.accept_end(1, 0, answers.FinishReason.STOP)
        try:
            assembly.start_attempt(pipeline(2), NOW)
        except errors.FailureRaised as raised:
            assert isinstance(raised.failure, answers.AnswerClosed)
        else:
            raise AssertionError(
                "start_attempt did not raise on a complete answer"
            )
