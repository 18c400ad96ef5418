"""Tests of the soak itself: its invariants, its proxy and one short run.

``TestShortRun`` also repeats seeds that once failed, each with a line on the
cause.
"""

import collections.abc
import dataclasses
import datetime
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time

import pytest
import trio

from sedgepin.platform.tests import soak
from sedgepin.platform.tests.soak import _addresses
from sedgepin.platform.tests.soak import _engines
from sedgepin.platform.tests.soak import _holds
from sedgepin.platform.tests.soak import _programs
from sedgepin.platform.tests.soak import _proxy
from sedgepin.platform.tests.soak import _record
from sedgepin.platform.tests.soak import _seed_run
from sedgepin.tests import loopback

_FAULT_SECONDS = 4.0
_SLEEP = "import time; time.sleep(60)"


def _sent(
    route: str, request_id: str = "r1", at: float = 1.0
) -> _record.SentRequest:
    target = f"/{route}/1/2" if route == "stream" else f"/{route}/1"
    return _record.SentRequest(
        request_id, route, target, b"body", "k1", at, 3000
    )


def _run(
    route: str, endpoint_id: str = "e1", at: float = 1.1
) -> _record.EngineRun:
    return _record.EngineRun(
        request_id="r1",
        endpoint_id=endpoint_id,
        method="POST",
        target=_sent(route).target,
        body=b"body",
        customer="customer-k1",
        at=at,
        time_left_ms=2900,
        resume_after=0,
        status=200,
        answer=b"done",
        seal=f"{endpoint_id}.1",
    )


def _answer(
    body: bytes = b"done", status: int = 200
) -> _record.ReceivedAnswer:
    return _record.ReceivedAnswer("r1", status, "e1.1", body, True, 1.2, True)


def _make_valid_record(route: str) -> _record.Record:
    """Return a record of one request without any violation."""
    record = _record.Record(calm_spans=[(0.0, 10.0)])
    record.sent["r1"] = _sent(route)
    record.runs.append(_run(route))
    body = b"done"
    if route == "stream":
        body = b"id: 1\ndata: r1-1\n\nid: 2\ndata: r1-2\n\n"
    record.answers["r1"] = _answer(body)
    content = b'{"version": 3}'
    record.acknowledged.append(
        _record.AcknowledgedConfiguration(3, content, 0.0, 0.1)
    )
    record.read_configurations.append(
        _record.ReadConfiguration(3, content, 5.0)
    )
    return record


def _add_second_run(record: _record.Record) -> None:
    record.runs.append(_run("write", "e2"))


def _reject_executed_request(record: _record.Record) -> None:
    record.answers["r1"] = _answer(b"", 503)


def _swap_answer_body(record: _record.Record) -> None:
    record.answers["r1"] = _answer(b"another's")


def _remove_seal(record: _record.Record) -> None:
    record.answers["r1"] = _record.ReceivedAnswer(
        "r1", 200, "", b"done", True, 1.2
    )


def _skip_event(record: _record.Record) -> None:
    record.answers["r1"] = _answer(b"id: 2\ndata: r1-2\n\n")


def _duplicate_event(record: _record.Record) -> None:
    event = b"id: 1\ndata: r1-1\n\n"
    record.answers["r1"] = _answer(event + event)


def _change_request_body(record: _record.Record) -> None:
    record.runs[0].body = b"changed"


def _change_customer(record: _record.Record) -> None:
    record.runs[0].customer = "customer-k2"


def _skip_layers(record: _record.Record) -> None:
    record.runs[0].pipeline_fault = "a path that skips layers"


def _extend_deadline(record: _record.Record) -> None:
    record.runs[0].time_left_ms = 9000


def _hold_before_dispatch(record: _record.Record) -> None:
    """Let an entry send a request on late, with the caller's whole time."""
    sent = record.sent["r1"]
    record.handed_over_at["r1"] = sent.at
    record.dispatches.append(
        _record.Dispatch("r1", "e1", sent.at + 0.7, sent.time_left_ms)
    )
    record.runs[0].at = sent.at + 0.7
    record.runs[0].time_left_ms = sent.time_left_ms
    record.pauses.append((sent.at, sent.at + 0.7))


def _hold_after_dispatch(record: _record.Record) -> None:
    """Let an entry log a request and send it on late."""
    sent = record.sent["r1"]
    record.dispatches.append(_record.Dispatch("r1", "e1", sent.at, 3000))
    record.runs[0].at = sent.at + 0.8


def _hold_before_reading(
    record: _record.Record, program: str, start: float, end: float
) -> None:
    """Let an entry read a request 0.8 s late, and the machine hold one."""
    sent = record.sent["r1"]
    record.handed_over_at["r1"] = sent.at
    record.handed_over_to["r1"] = "entry-1"
    record.dispatches.append(_record.Dispatch("r1", "e1", sent.at + 0.8, 3000))
    record.runs[0].at = sent.at + 0.8
    record.runs[0].time_left_ms = 3000
    record.holds.append(
        _record.Hold(program, sent.at + start, sent.at + end, 0.7)
    )


def _hold_another_entry(record: _record.Record) -> None:
    _hold_before_reading(record, "entry-2", 0.0, 0.7)


def _hold_in_part(record: _record.Record) -> None:
    """Let a hold be before the handover but for 0.2 s of it."""
    _hold_before_reading(record, "entry-1", -0.6, 0.2)


def _hold_after_reading(record: _record.Record) -> None:
    """Let the machine hold an entry that does not subtract that time."""
    _hold_before_reading(record, "entry-1", 0.0, 0.7)
    record.dispatches[0] = _record.Dispatch("r1", "e1", 1.8, 2200)
    record.runs[0].at = 2.6
    record.runs[0].time_left_ms = 2200


def _forward_more_than_logged(record: _record.Record) -> None:
    record.dispatches.append(_record.Dispatch("r1", "e1", 1.1, 2800))


def _forward_no_deadline(record: _record.Record) -> None:
    record.runs[0].time_left_ms = None


def _use_left_endpoint(record: _record.Record) -> None:
    record.leaving_acked_at["e1"] = -2.0


def _read_older_version(record: _record.Record) -> None:
    record.read_configurations.append(_record.ReadConfiguration(2, b"", 6.0))


def _read_other_content(record: _record.Record) -> None:
    record.read_configurations.append(
        _record.ReadConfiguration(3, b"other", 6.0)
    )


def _lose_final_read(record: _record.Record) -> None:
    record.read_configurations.clear()


def _accept_invalid_configuration(record: _record.Record) -> None:
    record.accepted_invalid.append("5")


def _reject_valid_configuration(record: _record.Record) -> None:
    record.rejected_configurations.append("6")


def _reject_without_retry_after(record: _record.Record) -> None:
    record.runs.clear()
    record.answers["r1"] = _record.ReceivedAnswer(
        "r1", 503, "", b"", True, 1.2
    )


def _exit_unexpectedly(record: _record.Record) -> None:
    record.unexpected_exits.append("entry-1")


def _contain_failure(record: _record.Record) -> None:
    record.contained_failures.append("entry-1: task_failed")


def _overload_engine(record: _record.Record) -> None:
    record.overloaded_engines.append("e1")


def _exceed_retry_budget(record: _record.Record) -> None:
    for number in range(50):
        request_id = f"x{number}"
        record.sent[request_id] = _sent("read", request_id)
        for endpoint in ("e1", "e2"):
            run = _run("read", endpoint)
            run.request_id = request_id
            record.runs.append(run)


def _retry_rejected_requests(record: _record.Record) -> None:
    for number in range(25):
        request_id = f"x{number}"
        record.sent[request_id] = _sent("read", request_id)
        record.rejections += [(request_id, 1.2)] * 3


def _lose_answers(record: _record.Record) -> None:
    for number in range(9):
        request_id = f"x{number}"
        record.sent[request_id] = _sent("read", request_id, 2.0)


def _crash_on(record: _record.Record) -> None:
    record.crashing_spans["p"] = (0.0, 30.0)
    record.crashed_at["p"] = [1.0, 2.0, 3.0, 4.0, 5.0]
    for number in range(4):
        request_id = f"x{number}"
        sent = _sent("stream", request_id, 9.0)
        record.sent[request_id] = dataclasses.replace(
            sent, parts=("s", "p", "x"), crashing_part="p"
        )
        run = _run("stream")
        run.request_id = request_id
        record.runs.append(run)


def _send_sound_streams(
    record: _record.Record, count: int, served: int
) -> None:
    """Send sound streams beside a part that crashed an engine at 1 s."""
    record.crashing_spans["p"] = (0.0, 30.0)
    record.crashed_at["p"] = [1.0]
    for number in range(count):
        request_id = f"x{number}"
        if number < served:
            record.answers[request_id] = dataclasses.replace(
                _answer(), is_complete=False, seal=""
            )
        sent = _sent("stream", request_id, 20.0)
        record.sent[request_id] = dataclasses.replace(sent, parts=("s", "x"))


def _hold_back_sound_streams(record: _record.Record) -> None:
    _send_sound_streams(record, count=20, served=9)


def _send_few_sound_streams(record: _record.Record) -> None:
    _send_sound_streams(record, count=19, served=19)


def _crash_no_engine(record: _record.Record) -> None:
    record.crashing_spans["p"] = (0.0, 30.0)


_Mutation = collections.abc.Callable[[_record.Record], None]
_Start = collections.abc.Callable[[int, str], _programs.Program]


class TestInvariants:
    """Each invariant detects a violation injected into a valid record."""

    @pytest.mark.parametrize("route", ["write", "read", "stream"])
    def test_valid_record_has_no_violations(self, route: str) -> None:
        assert soak.find_violations(_make_valid_record(route)) == []

    @pytest.mark.parametrize(
        ("route", "mutate", "finding"),
        [
            ("write", _add_second_run, "ran 2 times"),
            ("write", _reject_executed_request, "but was executed"),
            ("read", _swap_answer_body, "another body"),
            ("read", _remove_seal, "without a seal"),
            ("stream", _skip_event, "complete with 1 events"),
            ("stream", _duplicate_event, "complete with 2 events"),
            ("read", _change_request_body, "changed"),
            ("read", _change_customer, "customer-k2"),
            ("stream", _skip_layers, "skips layers"),
            ("read", _extend_deadline, "9000 ms"),
            ("read", _hold_before_dispatch, "at most 2800 ms"),
            ("read", _hold_after_dispatch, "at most 2700 ms"),
            ("read", _hold_another_entry, "at most 2700 ms"),
            ("read", _hold_in_part, "at most 2800 ms"),
            ("read", _hold_after_reading, "at most 1900 ms"),
            ("read", _forward_more_than_logged, "more than its entry logged"),
            ("read", _forward_no_deadline, "without the time left"),
            ("read", _use_left_endpoint, "too late"),
            ("read", _read_older_version, "version 2 after version 3"),
            ("read", _read_other_content, "other content"),
            ("read", _lose_final_read, "could not be read"),
            ("read", _accept_invalid_configuration, "was acknowledged"),
            ("read", _reject_valid_configuration, "was rejected"),
            ("read", _reject_without_retry_after, "without Retry-After"),
            ("read", _exit_unexpectedly, "exited unexpectedly"),
            ("read", _contain_failure, "was contained"),
            ("read", _overload_engine, "more layers than fit"),
            ("read", _exceed_retry_budget, "50 retries"),
            ("read", _retry_rejected_requests, "50 retries"),
            ("read", _lose_answers, "1 of 10 requests"),
            ("stream", _crash_on, "reached engines 4 times too late"),
            ("stream", _hold_back_sound_streams, "9 of 20 sound streams"),
            ("stream", _send_few_sound_streams, "19 sound streams sent"),
            ("stream", _crash_no_engine, "no engine crashed"),
        ],
    )
    def test_injected_violation_is_found(
        self, route: str, mutate: _Mutation, finding: str
    ) -> None:
        record = _make_valid_record(route)
        mutate(record)
        assert any(finding in found for found in soak.find_violations(record))


def _refuse_reads(
    record: _record.Record,
    seconds_lost: float,
    seconds_held: float,
    at: float = 5.0,
) -> None:
    """Refuse 5 of 20 reads, whose callers and engines the machine held.

    Loop and process lose time before the refusals, 0.2 s after ``at``.
    """
    for number in range(20):
        request_id = f"x{number}"
        record.sent[request_id] = _sent("read", request_id, at)
        status = 200 if number < 15 else 503
        record.answers[request_id] = dataclasses.replace(
            _answer(status=status), request_id=request_id
        )
        record.caller_ends[request_id] = _record.CallerEnd(
            request_id, "entry-1", _record.EndKind.ANSWERED, at + 0.2
        )
    ends_at = 5.2
    record.pauses.append((ends_at - seconds_lost, ends_at))
    record.holds.append(
        _record.Hold(
            _record.CALLERS, ends_at - seconds_held, ends_at, seconds_held
        )
    )


def _calm_findings(record: _record.Record) -> list[str]:
    return [found for found in soak.find_violations(record) if "calm" in found]


class TestCalmSpans:
    @pytest.mark.parametrize(
        ("seconds_lost", "seconds_held", "at", "is_found"),
        [
            (0.0, 0.0, 5.0, True),
            # They worked for more than half of the time.
            (2.0, 0.9, 5.0, True),
            (2.0, 1.1, 5.0, False),
            (1.6, 1.6, 5.0, False),
            # They had more than a quarter of the 2 s.
            (1.4, 1.4, 5.0, True),
            # It was before, or after.
            (2.0, 2.0, 6.0, True),
            (2.0, 2.0, 4.0, True),
        ],
    )
    def test_only_requests_without_time_may_be_refused(
        self,
        seconds_lost: float,
        seconds_held: float,
        at: float,
        is_found: bool,
    ) -> None:
        record = _record.Record(calm_spans=[(0.0, 10.0)])
        _refuse_reads(record, seconds_lost, seconds_held, at)
        found = _calm_findings(record)
        assert bool(found) == is_found
        if is_found:
            assert "15 of 20 requests on route read" in found[0]

    @pytest.mark.parametrize(
        ("held", "is_found"), [("entry-1", False), ("entry-2", True)]
    )
    def test_entry_that_the_machine_does_not_run(
        self, held: str, is_found: bool
    ) -> None:
        record = _record.Record(calm_spans=[(0.0, 10.0)])
        _refuse_reads(record, 0.0, 0.0)
        for request_id in record.sent:
            record.handed_over_to[request_id] = "entry-1"
        record.holds.append(_record.Hold(held, 3.1, 5.2, 2.0))
        assert bool(_calm_findings(record)) == is_found

    def test_work_of_callers_and_engines_is_no_hold(self) -> None:
        """Attempts without end would keep them busy on a free machine."""
        record = _record.Record(calm_spans=[(0.0, 10.0)])
        _refuse_reads(record, 2.0, 0.0)
        assert _calm_findings(record)

    @pytest.mark.parametrize(
        ("refused", "is_found"), [(10, False), (11, True)]
    )
    def test_half_of_the_requests_need_time(
        self, refused: int, is_found: bool
    ) -> None:
        record = _record.Record(calm_spans=[(0.0, 10.0)])
        _refuse_reads(record, 2.0, 2.0)
        for number in range(20 - refused, 20):
            request_id = f"x{number}"
            record.answers[request_id] = dataclasses.replace(
                record.answers[request_id], status=503
            )
        found = _calm_findings(record)
        assert bool(found) == is_found
        if is_found:
            assert "9 of 20 requests on route read had time" in found[0]

    @pytest.mark.parametrize(
        ("seconds_held", "min_seconds", "max_seconds"),
        [(0.0, 3.0, 6.0), (4.0, 4.5, 12.0), (1000.0, 30.0, 40.0)],
    )
    async def test_span_begins_anew_while_the_machine_holds_callers(
        self,
        autojump_clock: trio.testing.MockClock,
        seconds_held: float,
        min_seconds: float,
        max_seconds: float,
    ) -> None:
        """The last one is kept at last, however it was."""
        record = _record.Record()
        start = trio.current_time()
        record.holds.append(
            _record.Hold(
                _record.CALLERS, start, start + seconds_held, seconds_held
            )
        )
        await _seed_run.record_calm_span(record)
        ((_, end),) = record.calm_spans
        assert min_seconds <= end - start <= max_seconds

    async def test_holds_of_callers_and_engines_are_measured(
        self,
        nursery: trio.Nursery,
        tmp_path: pathlib.Path,
        start_program: _Start,
    ) -> None:
        addresses = _addresses.Addresses(loopback.BLOCK, {})
        programs = _programs.Programs(tmp_path, addresses)
        processors = os.sched_getaffinity(0)
        processor = max(processors)
        for number in (1, 2):
            program = start_program(number, "while True: pass")
            os.sched_setaffinity(program.process.pid, {processor})
        os.sched_setaffinity(0, {processor})
        first = self._seconds_waited()
        try:
            nursery.start_soon(_seed_run.measure_holds, programs)
            await trio.sleep(0.1)
            started, second = trio.current_time(), self._seconds_waited()
            while trio.current_time() - started < 1.5:
                await trio.lowlevel.checkpoint()
            ended, third = trio.current_time(), self._seconds_waited()
            # Several turns of the loop, so that it is measured once more.
            for _number in range(3):
                await trio.sleep(0.05)
        finally:
            os.sched_setaffinity(0, processors)
        held = sum(
            hold.seconds
            for hold in programs.meter.holds
            if hold.program == _record.CALLERS
        )
        assert third - second > 0.4 * (ended - started)
        assert 0.8 * (third - second) < held
        assert held <= self._seconds_waited() - first

    def _seconds_waited(self) -> float:
        times = _holds.read_times(os.getpid())
        assert times is not None
        return times.seconds_waited


class TestCrashingParts:
    def test_half_of_the_sound_streams_are_enough(self) -> None:
        record = _make_valid_record("stream")
        _send_sound_streams(record, count=20, served=10)
        findings = soak.find_violations(record)
        assert not [found for found in findings if "sound" in found]


class TestDeadlines:
    def test_time_outside_an_entry_is_not_its_own(self) -> None:
        """A pause of the callers' and engines' process passes the check."""
        record = _make_valid_record("read")
        sent = record.sent["r1"]
        record.handed_over_at["r1"] = sent.at + 0.8
        record.dispatches.append(
            _record.Dispatch("r1", "e1", sent.at + 0.9, 2900)
        )
        record.runs[0].at = sent.at + 1.7
        record.pauses.append((sent.at + 0.9, sent.at + 1.7))
        assert soak.find_violations(record) == []

    def test_request_that_a_held_entry_reads_late(self) -> None:
        record = _make_valid_record("read")
        _hold_before_reading(record, "entry-1", 0.0, 0.75)
        assert soak.find_violations(record) == []


@pytest.fixture
def start_program() -> collections.abc.Iterator[_Start]:
    """Return a function that starts a program as one of the soak's."""
    programs: list[_programs.Program] = []

    def start(number: int, code: str) -> _programs.Program:
        process = subprocess.Popen([sys.executable, "-c", code])
        program = _programs.Program(
            "entry", number, pathlib.Path(), process, time.monotonic()
        )
        programs.append(program)
        return program

    yield start
    for program in programs:
        program.process.kill()
        program.process.wait()


class TestStop:
    @pytest.mark.parametrize(
        ("age", "seconds_held", "is_expected"),
        [(1.0, 0.0, True), (4.0, 2.0, True), (4.0, 0.5, False)],
    )
    async def test_program_without_a_handler_may_only_be_a_young_one(
        self,
        tmp_path: pathlib.Path,
        start_program: _Start,
        age: float,
        seconds_held: float,
        is_expected: bool,
    ) -> None:
        """SIGTERM ends one that imports; what held it back does not count."""
        addresses = _addresses.Addresses(loopback.BLOCK, {})
        programs = _programs.Programs(tmp_path, addresses)
        program = start_program(1, _SLEEP)
        program.folder = tmp_path
        (tmp_path / "errors").touch()
        program.started_at -= age
        for at in (0.0, seconds_held):
            times = _holds.Times(True, 0.1, at)
            programs.meter.add("entry-1", program.process.pid, at, times)
        await programs.stop(program)
        assert (not programs.unexpected_exits) == is_expected


class TestOtherBuilds:
    @pytest.mark.parametrize(
        ("are_others", "count"),
        [
            ((False,), 1),
            ((True,), 0),
            ((True, False), 1),
            ((False, True), 0),
        ],
    )
    async def test_only_these_sources_answer_for_their_failures(
        self,
        tmp_path: pathlib.Path,
        start_program: _Start,
        are_others: tuple[bool, ...],
        count: int,
    ) -> None:
        """The build at the time of the line counts."""
        addresses = _addresses.Addresses(loopback.BLOCK, {})
        programs = _programs.Programs(tmp_path, addresses)
        program = start_program(1, _SLEEP)
        program.folder = tmp_path
        programs.programs.append(program)
        now = trio.current_time()
        for number, is_other in enumerate(are_others):
            at = now - len(are_others) + number
            build = tmp_path if is_other else None
            programs.starts.append(_programs.Start("entry-1", at, build))
        # Of a process that starts after the line.
        last = tmp_path if not are_others[-1] else None
        programs.starts.append(_programs.Start("entry-1", now + 60, last))
        line = {
            "time": datetime.datetime.now(datetime.timezone.utc).isoformat(),
            "event": "request_failed",
            "request": "r1",
            "code": "deadline_passed",
            "may_have_run": False,
        }
        (tmp_path / "log").write_text(json.dumps(line) + "\n")
        record = _record.Record()
        programs.fill_in(record)
        assert len(record.failures) == count


class TestHolds:
    async def test_only_a_program_that_waits_for_a_processor_is_held(
        self,
        nursery: trio.Nursery,
        tmp_path: pathlib.Path,
        start_program: _Start,
    ) -> None:
        """One that sleeps, or was stopped, pauses by itself."""
        addresses = _addresses.Addresses(loopback.BLOCK, {})
        programs = _programs.Programs(tmp_path, addresses)
        processor = max(os.sched_getaffinity(0))
        for number in (1, 2):
            program = start_program(number, "while True: pass")
            os.sched_setaffinity(program.process.pid, {processor})
            programs.programs.append(program)
        programs.programs.append(start_program(3, _SLEEP))
        stopped = start_program(4, "while True: pass")
        stopped.process.send_signal(signal.SIGSTOP)
        programs.programs.append(stopped)
        await trio.sleep(0.5)
        nursery.start_soon(programs.meter.run, programs.process_ids)
        started = trio.current_time()
        await trio.sleep(1.5)
        seconds = trio.current_time() - started
        held_by_name = {
            program.name: programs.meter.seconds_held(
                program.name, program.process.pid
            )
            for program in programs.programs
        }
        nursery.cancel_scope.cancel()
        shared = held_by_name["entry-1"] + held_by_name["entry-2"]
        assert shared > 0.8 * seconds
        assert held_by_name["entry-3"] < 0.1 * seconds
        assert held_by_name["entry-4"] == 0

    def _sample(
        self, *samples: tuple[float, bool, float, float]
    ) -> _holds.HoldMeter:
        """Add samples: when, whether it is ready, seconds run and waited."""
        meter = _holds.HoldMeter()
        for at, is_runnable, seconds_run, seconds_waited in samples:
            times = _holds.Times(is_runnable, seconds_run, seconds_waited)
            meter.add("entry-1", 1, at, times)
        return meter

    def test_long_hold_spans_the_samples_in_which_it_waits(self) -> None:
        """Linux counts a wait only once it is over."""
        meter = self._sample(
            (0.0, False, 1.0, 0.0),
            (0.1, True, 1.0, 0.0),
            (0.2, True, 1.0, 0.0),
            (1.9, True, 1.0, 0.0),
        )
        assert meter.seconds_held("entry-1", 1) == pytest.approx(1.9)
        assert not meter.holds
        meter.add("entry-1", 1, 2.0, _holds.Times(False, 1.01, 1.88))
        record = _record.Record(holds=meter.holds)
        assert record.seconds_held("entry-1", 0, 2) == pytest.approx(1.88)
        # It still waits at the sample at 1.9 s.
        assert record.seconds_held("entry-1", 1, 2) == pytest.approx(0.9)
        assert record.seconds_held("entry-1", 2, 3) == 0

    def test_samples_in_which_a_program_does_not_run_place_a_hold(
        self,
    ) -> None:
        """It ran at an unknown time of the long sample before."""
        meter = self._sample(
            (0.0, True, 1.0, 0.0),
            (0.4, True, 1.3, 0.0),
            (0.5, True, 1.3, 0.0),
            (1.9, True, 1.3, 0.0),
            (2.0, False, 1.33, 1.67),
        )
        record = _record.Record(holds=meter.holds)
        assert record.seconds_held("entry-1", 0, 2) == pytest.approx(1.67)
        assert record.seconds_held("entry-1", 1.6, 2) == pytest.approx(0.3)
        assert record.seconds_held("entry-1", 1.0, 1.5) == pytest.approx(0.5)
        # It may have run then.
        assert record.seconds_held("entry-1", 0, 0.3) == 0
        assert record.seconds_held("entry-1", 1.9, 2) == 0

    def test_program_that_may_run_at_a_sample_is_not_surely_held(
        self,
    ) -> None:
        """Linux counted later that it ran all the time, or that it slept."""
        running = self._sample(
            (0.0, True, 1.0, 0.0),
            (1.0, True, 1.0, 0.0),
            (1.1, True, 1.9, 0.2),
        )
        record = _record.Record(holds=running.holds)
        assert record.seconds_held("entry-1", 0.4, 1.0) == 0
        woken = self._sample(
            (0.0, False, 1.0, 0.0),
            (1.0, True, 1.0, 0.0),
            (1.1, False, 1.01, 0.3),
        )
        record = _record.Record(holds=woken.holds)
        assert record.seconds_held("entry-1", 0.4, 1.0) == 0
        assert record.seconds_held("entry-1", 0, 1.1) == pytest.approx(0.3)

    def test_hold_of_the_process_before_does_not_count(self) -> None:
        meter = self._sample((0.0, False, 1.0, 0.0), (1.0, False, 1.0, 0.9))
        assert meter.seconds_held("entry-1", 1) == pytest.approx(0.9)
        assert meter.seconds_held("entry-1", 2) == 0

    def test_program_that_runs_does_not_wait(self) -> None:
        """Though the samples are far apart."""
        meter = self._sample((0.0, True, 1.0, 0.0), (1.0, True, 1.9, 0.0))
        assert meter.seconds_held("entry-1", 1) == 0

    def test_work_and_sleep_are_no_holds(self) -> None:
        meter = self._sample(
            (0.0, True, 1.0, 0.0),
            (1.0, True, 2.0, 0.0),
            (2.0, False, 2.0, 0.0),
            (3.0, False, 2.0, 0.0),
        )
        assert meter.seconds_held("entry-1", 1) == 0
        assert not meter.holds


class TestProxy:
    """Faults of the proxy affect connections and end in time."""

    _PROXY_HOST = loopback.address(81, 1)
    _TARGET_HOST = loopback.address(82, 1)
    _PROXY_ADDRESS = f"{_PROXY_HOST}:18080"
    _TARGET_ADDRESS = f"{_TARGET_HOST}:18080"

    async def _echo(self, stream: trio.SocketStream) -> None:
        try:
            async for data in stream:
                await stream.send_all(data)
        except trio.BrokenResourceError:
            # The test makes the proxy reset the connection.
            return

    async def _start(self, nursery: trio.Nursery) -> _proxy.Proxy:
        async def serve(
            task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
        ) -> None:
            await trio.serve_tcp(
                self._echo,
                18080,
                host=self._TARGET_HOST,
                task_status=task_status,  # type: ignore[arg-type]
            )

        await nursery.start(serve)
        proxy = _proxy.Proxy(self._PROXY_ADDRESS, self._TARGET_ADDRESS)
        await nursery.start(proxy.serve)
        return proxy

    async def _round_trip(self, seconds: float) -> bool:
        with trio.move_on_after(seconds):
            async with await trio.open_tcp_stream(
                self._PROXY_HOST, 18080
            ) as stream:
                await stream.send_all(b"x")
                return await stream.receive_some(1) == b"x"
        return False

    @pytest.mark.parametrize(
        "link_fault",
        [
            _proxy.LinkFault.HOLD_REQUESTS,
            _proxy.LinkFault.HOLD_ANSWERS,
            _proxy.LinkFault.HOLD_BOTH,
        ],
    )
    async def test_held_bytes_arrive_after_the_fault(
        self, nursery: trio.Nursery, link_fault: _proxy.LinkFault
    ) -> None:
        proxy = await self._start(nursery)
        nursery.start_soon(proxy.inject, link_fault, 0.5)
        await trio.sleep(0.05)
        started = trio.current_time()
        assert await self._round_trip(5.0)
        assert trio.current_time() - started > 0.3

    async def test_reset_and_refused_connections_break(
        self, nursery: trio.Nursery
    ) -> None:
        proxy = await self._start(nursery)
        stream = await trio.open_tcp_stream(self._PROXY_HOST, 18080)
        await stream.send_all(b"x")
        assert await stream.receive_some(1) == b"x"
        await proxy.inject(_proxy.LinkFault.RESET, 0)
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some(1)
        nursery.start_soon(proxy.inject, _proxy.LinkFault.REFUSE, 0.5)
        await trio.sleep(0.05)
        with pytest.raises(trio.BrokenResourceError):
            await self._round_trip(5.0)


class TestEngine:
    @pytest.fixture
    def record(self) -> _record.Record:
        return _record.Record()

    @pytest.fixture
    async def engine(
        self, nursery: trio.Nursery, record: _record.Record
    ) -> collections.abc.AsyncIterator[_engines.Engine]:
        """Return an engine that runs and holds all layers."""
        counts = {"control": 1, "entry": 1, "engine": 1}
        addresses = _addresses.Addresses(loopback.BLOCK, counts)
        engine = _engines.Engine(
            1,
            _engines.MODEL_SERVICE,
            addresses,
            record,
            {},
            random.Random(1),
        )
        nursery.start_soon(engine.run)
        await trio.sleep(0.3)
        engine.hold_all_layers()
        yield engine
        nursery.cancel_scope.cancel()

    async def _send(self, engine: _engines.Engine) -> trio.SocketStream:
        request = (
            b"POST /draft/1/20 HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\n"
            b"X-Hop-Count: %s=0-%d\r\nContent-Length: 0\r\n\r\n"
        ) % (engine.address.encode(), _engines.LAYERS)
        stream = await trio.open_tcp_stream(*engine.listen_host_and_port())
        await stream.send_all(request)
        return stream

    async def _receive_all(self, stream: trio.SocketStream) -> bytes:
        received = b""
        with trio.fail_after(5):
            while not received.endswith(b"0\r\n\r\n"):
                data = await stream.receive_some(65_536)
                assert data, "the stream was broken off"
                received += data
        return received

    async def test_attempt_goes_on_when_an_earlier_one_is_left(
        self, engine: _engines.Engine
    ) -> None:
        """Its engine once failed with ``KeyError`` (seed 41003)."""
        streams = []
        for _attempt in range(2):
            streams.append(await self._send(engine))
            await trio.sleep(0.1)
        await streams[0].aclose()
        received = await self._receive_all(streams[1])
        assert received.count(b"data:") == 20

    async def test_silent_engine_goes_on_where_it_stopped(
        self, engine: _engines.Engine, nursery: trio.Nursery
    ) -> None:
        stream = await self._send(engine)
        await stream.receive_some(65_536)
        started = trio.current_time()
        nursery.start_soon(engine.fall_silent, 1.5)
        received = await self._receive_all(stream)
        assert trio.current_time() - started > 1.5
        assert received.endswith(b"data: r1-20\n\n\r\n0\r\n\r\n")

    async def test_end_is_recorded_before_callers_see_it(
        self, engine: _engines.Engine, record: _record.Record
    ) -> None:
        stream = await self._send(engine)
        await stream.receive_some(65_536)
        engine.crash()
        (ending,) = record.endings
        assert ending.name == engine.address
        with trio.fail_after(5):
            while await stream.receive_some(65_536):
                pass
        assert ending.at <= trio.current_time()

    async def test_engine_that_leaves_says_so(
        self, engine: _engines.Engine, nursery: trio.Nursery
    ) -> None:
        nursery.start_soon(engine.leave)
        await trio.sleep(0.1)
        stream = await self._send(engine)
        received = await self._receive_all(stream)
        assert b"\r\nServer-Leaving: 1\r\n" in received

    async def test_full_engine_refuses(self, engine: _engines.Engine) -> None:
        engine.max_open = 1
        first = await self._send(engine)
        await trio.sleep(0.1)
        with trio.fail_after(5):
            second = await self._send(engine)
            answer = await second.receive_some(65_536)
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"X-Not-Executed: 1" in answer
        received = await self._receive_all(first)
        assert received.count(b"data:") == 20


class TestShortRun:
    @pytest.mark.parametrize("seed", [1])
    async def test_no_invariant_is_violated(
        self, tmp_path: pathlib.Path, seed: int
    ) -> None:
        record = await soak.run_seed(
            seed, tmp_path, _FAULT_SECONDS, lane=loopback.BLOCK
        )
        assert soak.find_violations(record) == [], record.faults
        assert len(record.answers) > 100
        assert len(record.faults) >= 3
        # Each entry was stopped twice, while callers went on with it.
        assert len(record.stop_spans) == 1
        assert len(record.stops) >= 6
        assert len(record.stop_counts) >= 6
        late = [
            end
            for end in record.caller_ends.values()
            if record.sent[end.request_id].route in _record.LONG_ROUTES
            and any(
                stop.program == end.entry
                and stop.at < record.sent[end.request_id].at < stop.ended_at
                for stop in record.stops
            )
        ]
        assert len(late) > 50
