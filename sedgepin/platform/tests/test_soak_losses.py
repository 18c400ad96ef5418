"""Tests of the soak's judgement on requests that planned stops lose."""

import collections.abc
import dataclasses

import pytest

from sedgepin.platform.tests.soak import _ends
from sedgepin.platform.tests.soak import _invariants
from sedgepin.platform.tests.soak import _losses
from sedgepin.platform.tests.soak import _record

_ENTRY = "entry-1"
_ENGINE = "127.0.0.1:8080"
_OTHER_ENGINE = "127.0.0.2:8080"
_LINK = "engine-4 work"
_STOP_AT = 20.0
_GRACE = _losses.GRACE_SECONDS
# Shares of the grace period, in seconds after SIGTERM.
_EARLY = _GRACE * 3 / 8
_LAST_SIXTH = _GRACE * 5 / 6
_CUT = _GRACE * 0.92

_Change = collections.abc.Callable[[_record.Record], None]


def _make_record(
    sent: float = _EARLY + 0.1,
    whole: float | None = None,
    cut: float = _CUT,
    budget_seconds: float = 20.0,
    connected: float = -2.0,
) -> _record.Record:
    """Return a record of a stream that a stop has cut.

    All times are in seconds after SIGTERM.
    """
    record = _record.Record(
        has_request_ends=True, stop_spans=[(0.0, _STOP_AT + 30.0)]
    )
    record.sent["s1"] = _record.SentRequest(
        "s1",
        "long",
        "/tale/1/100/90",
        b"body",
        "k1",
        _STOP_AT + sent,
        round(budget_seconds * 1000),
        sending=_record.Sending(is_chunked=True, pieces=2),
    )
    whole_at = _STOP_AT + (sent if whole is None else whole)
    record.handed_over_at["s1"] = _STOP_AT + sent
    record.whole_at["s1"] = whole_at
    record.link_names[_ENGINE] = _LINK
    cut_at = _STOP_AT + cut
    record.runs.append(
        _record.EngineRun(
            request_id="s1",
            endpoint_id="e4-1",
            method="POST",
            target="/tale/1/100/90",
            body=b"body",
            customer="customer-k1",
            at=whole_at + 0.01,
            time_left_ms=5000,
            resume_after=0,
            status=200,
            answer=b"",
            seal="e4-1.1",
            engine=_ENGINE,
            path=(_ENGINE, _OTHER_ENGINE),
            ended_at=cut_at + 0.01,
        )
    )
    record.caller_ends["s1"] = _record.CallerEnd(
        "s1",
        _ENTRY,
        _record.EndKind.CUT,
        cut_at,
        has_begun=True,
        connected_at=_STOP_AT + connected,
    )
    record.stops.append(
        _record.Stop(_ENTRY, _STOP_AT, _STOP_AT + _GRACE * 0.95)
    )
    record.vm_ends.append(
        _record.VmEnd(_ENTRY, "answer_cut", "s1", cut_at, "drain_ended")
    )
    return record


def _end(record: _record.Record, **changes: object) -> None:
    end = record.caller_ends["s1"]
    record.caller_ends["s1"] = dataclasses.replace(
        end,
        **changes,  # type: ignore[arg-type]
    )


def _ending(name: str, seconds: float = _CUT - 0.1) -> _Change:
    def end(record: _record.Record) -> None:
        ending = _record.Ending(name, _STOP_AT + seconds)
        record.endings.append(ending)

    return end


def _finish_at(seconds: float) -> _Change:
    def finish(record: _record.Record) -> None:
        record.runs[-1].ended_at = _STOP_AT + seconds

    return finish


def _fail(record: _record.Record) -> None:
    record.runs[-1].status = 500


def _move(record: _record.Record) -> None:
    """Go on at a sound engine after the first one has crashed."""
    _ending(_ENGINE, _CUT - 1.0)(record)
    run = dataclasses.replace(record.runs[0], engine=_OTHER_ENGINE)
    run.path = (_OTHER_ENGINE,)
    run.at = _STOP_AT + _CUT - 0.9
    record.runs.append(run)


def _answer(record: _record.Record) -> None:
    _end(record, kind=_record.EndKind.ANSWERED)


def _leave(record: _record.Record) -> None:
    _end(record, kind=_record.EndKind.LEFT)


def _stop_another_vm(record: _record.Record) -> None:
    record.stops[0] = dataclasses.replace(record.stops[0], program="entry-2")


def _take_by_next_process(record: _record.Record) -> None:
    """The VM has ended early and was started again."""
    stop = record.stops[0]
    record.stops[0] = dataclasses.replace(stop, ended_at=_STOP_AT + 1.0)
    _end(record, connected_at=_STOP_AT + 1.5)


def _add_fault(record: _record.Record) -> None:
    record.stop_spans[0] = (0.0, _STOP_AT + _CUT - 0.5)


def _lose_run(record: _record.Record) -> None:
    record.runs.clear()


def _never_send_last_byte(record: _record.Record) -> None:
    _lose_run(record)
    del record.whole_at["s1"]


def _hold_vm(record: _record.Record) -> None:
    """The machine did not run the VM from the last byte to the end."""
    _lose_run(record)
    start = record.whole_at["s1"]
    hold = _record.Hold(_ENTRY, start, _STOP_AT + _CUT, _CUT - _EARLY - 0.1)
    record.holds.append(hold)


def _nothing(_record_: _record.Record) -> None:
    pass


class TestLoss:
    def test_request_that_was_passed_on_and_cut_is_found(self) -> None:
        (finding,) = _losses.check_stops(_make_record())
        assert "lost: s1 (long" in finding
        assert f"cut within its answer {_CUT:.2f} s after it" in finding

    @pytest.mark.parametrize(
        "change",
        [
            _nothing,
            # The kill at the end of the grace period is a stop's own.
            _ending(_ENTRY, _CUT),
            # Before the run, and an engine that has nothing to do with it.
            _ending(_ENGINE, _EARLY),
            _ending("127.0.0.3:8080"),
            _move,
            _finish_at(_CUT - 0.1),
            _lose_run,
        ],
    )
    def test_no_excuse(self, change: _Change) -> None:
        record = _make_record()
        change(record)
        assert list(_losses.check_stops(record))

    @pytest.mark.parametrize(
        "change",
        [
            _ending(_ENGINE),
            _ending(_OTHER_ENGINE),
            _ending(_LINK),
            _fail,
            _answer,
            _leave,
            _stop_another_vm,
            _take_by_next_process,
            _add_fault,
            _never_send_last_byte,
            _hold_vm,
        ],
    )
    def test_what_is_no_loss(self, change: _Change) -> None:
        record = _make_record()
        change(record)
        assert not list(_losses.check_stops(record))

    @pytest.mark.parametrize(
        ("sent", "whole", "finish", "is_lost"),
        [
            (-5.0, -5.0, _CUT, False),
            (0.0, 0.0, _CUT, False),
            (_EARLY - 0.1, _EARLY - 0.1, _CUT, False),
            (_EARLY + 0.1, _EARLY + 0.1, _CUT, True),
            # The last byte came late.
            (_EARLY - 0.5, _EARLY + 0.1, _CUT, True),
            # The engine was done before the last sixth.
            (-5.0, -5.0, _LAST_SIXTH - 0.1, True),
            (0.0, 0.0, _LAST_SIXTH - 0.1, True),
            (0.0, 0.0, _LAST_SIXTH + 0.1, False),
        ],
    )
    def test_early_request_whose_engine_works_until_the_last_sixth(
        self, sent: float, whole: float, finish: float, is_lost: bool
    ) -> None:
        record = _make_record(sent, whole)
        _finish_at(finish)(record)
        assert bool(list(_losses.check_stops(record))) == is_lost

    @pytest.mark.parametrize(
        ("seconds", "is_lost"), [(0.2, True), (0.4, False)]
    )
    def test_what_is_not_run_after_the_engine_is_no_time_of_the_vm(
        self, seconds: float, is_lost: bool
    ) -> None:
        """An answer lay in the buffers meanwhile."""
        ended = _LAST_SIXTH - 0.3
        for held, paused in ((seconds, 0.0), (0.0, seconds)):
            record = _make_record(0.0)
            _finish_at(ended)(record)
            start, end = _STOP_AT + ended, _STOP_AT + _CUT
            record.holds.append(_record.Hold(_ENTRY, start, end, held))
            record.pauses.append((start, start + paused))
            assert bool(list(_losses.check_stops(record))) == is_lost

    def test_attempt_that_was_given_up_comes_late(self) -> None:
        """It reached its engine after the one that followed it."""
        record = _make_record(0.0)
        run = dataclasses.replace(record.runs[0], engine=_OTHER_ENGINE)
        run.at += 1.0
        run.ended_at = run.at + 0.1
        record.runs.append(run)
        assert not list(_losses.check_stops(record))
        # And without the one that went on.
        del record.runs[0]
        assert list(_losses.check_stops(record))

    def test_cut_before_the_last_sixth_is_found(self) -> None:
        record = _make_record(0.0, cut=_LAST_SIXTH - 0.2)
        record.runs[0].ended_at = None
        assert list(_losses.check_stops(record))

    @pytest.mark.parametrize(
        ("budget_seconds", "is_lost"),
        [(_CUT - _EARLY - 0.1, False), (_CUT - _EARLY + 0.2, True)],
    )
    def test_end_of_the_budget_is_an_excuse(
        self, budget_seconds: float, is_lost: bool
    ) -> None:
        record = _make_record(_EARLY + 0.1, budget_seconds=budget_seconds)
        assert bool(list(_losses.check_stops(record))) == is_lost

    @pytest.mark.parametrize(
        ("cut", "is_lost"),
        [
            (-0.1, False),
            (0.1, True),
            (_GRACE + 0.9, True),
            (_GRACE + 1.1, False),
        ],
    )
    def test_stop_lasts_until_a_second_after_the_grace_period(
        self, cut: float, is_lost: bool
    ) -> None:
        record = _make_record(-2.0, cut=cut)
        record.runs[0].ended_at = _STOP_AT
        assert bool(list(_losses.check_stops(record))) == is_lost

    @pytest.mark.parametrize(
        ("seconds", "is_lost"), [(0.1, False), (0.3, True)]
    )
    def test_request_that_was_not_passed_on(
        self, seconds: float, is_lost: bool
    ) -> None:
        """It may cross the close for 0.2 s."""
        record = _make_record(_CUT - seconds, _CUT - seconds)
        _lose_run(record)
        assert bool(list(_losses.check_stops(record))) == is_lost


class TestCallersThatHearLate:
    """The machine ran them late; the VM's line says when it closed."""

    def _make_record(self, sent: float) -> _record.Record:
        record = _make_record(sent)
        record.handed_over_whole.add("s1")
        _end(record, at=_STOP_AT + _GRACE + 2.0)
        return record

    def test_late_request_is_lost(self) -> None:
        (finding,) = _losses.check_stops(self._make_record(_EARLY + 0.1))
        assert f"cut within its answer {_CUT:.2f} s after it" in finding

    def test_early_request_is_not(self) -> None:
        record = self._make_record(_EARLY - 0.1)
        assert not list(_losses.check_stops(record))
        assert not list(_ends.check_callers(record))

    def test_without_a_line_nobody_knows(self) -> None:
        record = self._make_record(_EARLY - 0.1)
        record.vm_ends.clear()
        assert list(_ends.check_callers(record))


class TestLines:
    def test_cut_with_a_line(self) -> None:
        assert not list(_losses.check_lines(_make_record()))

    @pytest.mark.parametrize(
        "changes",
        [
            {"request_id": "s2"},
            {"entry": "entry-2"},
            {"event": "caller_closed"},
            {"reason": ""},
        ],
    )
    def test_cut_without_its_line_is_found(
        self, changes: dict[str, str]
    ) -> None:
        record = _make_record()
        (line,) = record.vm_ends
        record.vm_ends[0] = dataclasses.replace(
            line,
            **changes,  # type: ignore[arg-type]
        )
        (finding,) = _losses.check_lines(record)
        assert "has ended s1" in finding


class TestCounts:
    def _check(
        self, counted: int, asked: float = 0.2, received: float = 0.3
    ) -> list[str]:
        """Check a count that was read after the cut; times are from it."""
        record = _make_record()
        cut_at = _STOP_AT + _CUT
        record.stop_counts.append(
            _record.StopCounts(
                _ENTRY,
                0.0,
                cut_at + asked,
                cut_at + received,
                {
                    ("incomplete", "server"): counted,
                    ("answered", "nobody"): 5,
                    ("incomplete", "caller"): 5,
                },
            )
        )
        return list(_losses.check_counts(record))

    def test_count_that_agrees(self) -> None:
        assert not self._check(1)

    @pytest.mark.parametrize("counted", [0, 2])
    def test_count_that_differs_is_found(self, counted: int) -> None:
        (finding,) = self._check(counted)
        assert f"has counted {counted} answers" in finding

    @pytest.mark.parametrize("counted", [0, 1])
    def test_count_while_the_line_was_written(self, counted: int) -> None:
        assert not self._check(counted, -0.01, 0.01)

    def test_line_of_the_process_before_does_not_count(self) -> None:
        record = _make_record()
        at = _STOP_AT + _CUT
        record.stop_counts.append(
            _record.StopCounts(_ENTRY, at + 1, at + 2, at + 2, {})
        )
        assert not list(_losses.check_counts(record))


class TestFailures:
    @pytest.mark.parametrize(
        ("changes", "may_have_run", "entry", "is_found"),
        [
            ({}, False, _ENTRY, True),
            ({}, True, _ENTRY, False),
            # Another VM may have refused it before.
            ({}, False, "entry-2", False),
            ({"has_begun": False}, False, _ENTRY, False),
            ({"kind": _record.EndKind.ANSWERED}, False, _ENTRY, False),
        ],
    )
    def test_stream_that_had_begun_has_run(
        self,
        changes: dict[str, object],
        may_have_run: bool,
        entry: str,
        is_found: bool,
    ) -> None:
        record = _make_record()
        _end(record, **changes)
        record.failures.append(
            _record.Failure(
                entry, "s1", _STOP_AT + _CUT, "drain_ended", may_have_run
            )
        )
        assert bool(list(_losses.check_failures(record))) == is_found


class TestEarlyRequests:
    @pytest.mark.parametrize(
        ("sent", "usual_seconds", "status", "counts"),
        [
            (0.1, 1.0, 200, "1 of 1 early requests served, 0 refused"),
            (0.1, 1.0, 503, "0 of 1 early requests served, 1 refused"),
            (0.1, _GRACE, 503, "0 of 0 early requests served, 0 refused"),
            (-0.1, 1.0, 503, "0 of 0 early requests served, 0 refused"),
            (_EARLY, 1.0, 503, "0 of 0 early requests served, 0 refused"),
        ],
    )
    def test_counts(
        self, sent: float, usual_seconds: float, status: int, counts: str
    ) -> None:
        record = _make_record(sent)
        record.sent["s1"] = dataclasses.replace(
            record.sent["s1"], usual_seconds=usual_seconds
        )
        record.answers["s1"] = _record.ReceivedAnswer(
            "s1", status, "", b"", True, _STOP_AT + _CUT
        )
        assert _losses.describe_early_requests(record) == counts
        record.slow_spans.append((0.0, _STOP_AT + 30.0))
        assert "of 0 early" in _losses.describe_early_requests(record)


class TestEnds:
    """The other checks of ends know what a stop may cut."""

    @pytest.mark.parametrize(
        ("sent", "is_found"), [(_EARLY - 0.1, False), (_EARLY + 0.1, True)]
    )
    def test_stop_as_a_cause(self, sent: float, is_found: bool) -> None:
        record = _make_record(sent)
        record.handed_over_whole.add("s1")
        for check in (_ends.check_callers, _ends.check_vms):
            assert bool(list(check(record))) == is_found

    @pytest.mark.parametrize(
        ("seconds", "has_run", "is_found"),
        [(0.1, False, False), (0.3, False, True), (0.1, True, True)],
    )
    def test_request_that_comes_whole_at_the_end(
        self, seconds: float, has_run: bool, is_found: bool
    ) -> None:
        record = _make_record(_CUT - 1.5, _CUT - seconds)
        _end(record, has_begun=False)
        if not has_run:
            _lose_run(record)
        assert bool(list(_ends.check_vms(record))) == is_found

    @pytest.mark.parametrize(
        "check",
        [
            _losses.check_stops,
            _losses.check_lines,
            _losses.check_counts,
            _losses.check_failures,
        ],
    )
    def test_each_check_is_an_invariant(
        self, check: collections.abc.Callable[[_record.Record], object]
    ) -> None:
        assert check in _invariants.CHECKS
