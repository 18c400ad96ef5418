"""Tests of entry VMs that forward for others, and stop."""

import collections.abc
import concurrent.futures
import pathlib
import re
import signal
import subprocess
import time

import pytest

from sedgepin.tests import fake_engine
from sedgepin.tests import processes

_GRACE_SECONDS = 3.0
_NOTICE_SECONDS = 1.0
_TOKEN_SECONDS = 0.04
# They take twice the grace period.
_LONG_ANSWER_TOKENS = 150
_LONG_CALL_SECONDS = 6.0
_STARTING_SECONDS = 0.5
_LONG_ANSWERS = 6
_WRITES = 6
_SHORT_ANSWERS = 5
_SHORT_ANSWER_TOKENS = 5
_RECEIPTS_PATH = "/v1/services/ledger/call/receipts"
_FORWARDER = re.compile(r"request_forwarded .*forwarder=(\S+)")
_OPENED = re.compile(r"forward_opened request=(\S+)")
_CUT = re.compile(r"forward_cut request=(\S+)")


def _is_published(system: processes.Processes) -> bool:
    try:
        return bool(system.publish(processes.first_note()))
    except RuntimeError:
        return False


@pytest.fixture
def system(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[processes.Processes]:
    running = processes.Processes(
        tmp_path,
        controls=1,
        entries=3,
        replicas=1,
        notice_seconds=_NOTICE_SECONDS,
        grace_seconds=_GRACE_SECONDS,
        token_seconds=_TOKEN_SECONDS,
        call_seconds=_LONG_CALL_SECONDS,
    )
    with running:
        processes.wait_until(
            lambda: _is_published(running), "the first note is published"
        )
        running.wait_ready()
        running.wait_serving()
        yield running


def _expected_text(prompt: str, tokens: int) -> str:
    return "".join(
        fake_engine.token_text(prompt, position) for position in range(tokens)
    )


def _text(answer: processes.Answer) -> str | int:
    """Return the text of an answer, or the status of a refusal."""
    if answer.status != 200:
        return answer.status
    text: str = answer.json()["choices"][0]["text"]
    return text


def _end(system: processes.Processes, name: str, signalled_at: float) -> int:
    """End an entry VM as a supervisor does; return its exit code."""
    process = system.running[name]
    try:
        return process.wait(signalled_at + _GRACE_SECONDS - time.monotonic())
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()


def _write(system: processes.Processes, key: str) -> processes.Answer:
    return system.send_request(
        "entry-1", "POST", _RECEIPTS_PATH, {}, idempotency_key=key
    )


def _opened(system: processes.Processes, name: str) -> set[str]:
    """Return the ids of the requests that a VM has begun to forward."""
    return set(_OPENED.findall(system.read_log(name)))


class TestForwarderThatStops:
    """A cut-off VM goes to another one, and its callers get answers."""

    def test_answers_that_last_past_its_grace_period_are_whole(
        self, system: processes.Processes
    ) -> None:
        system.cut_off("entry-1")
        assert system.complete("entry-1", "warm", 1).status == 200
        ended = {name: _opened(system, name) for name in system.entry_ids}
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            answers = [
                pool.submit(
                    system.complete,
                    "entry-1",
                    f"lorry {number}",
                    _LONG_ANSWER_TOKENS,
                )
                for number in range(_LONG_ANSWERS)
            ]
            time.sleep(_STARTING_SECONDS)
            stopping = _FORWARDER.findall(system.read_log("entry-1"))[-1]
            writes = [
                pool.submit(_write, system, f"{int(time.time())}-{number}")
                for number in range(_WRITES)
            ]
            time.sleep(_STARTING_SECONDS)
            system.signal(stopping, signal.SIGTERM)
            signalled_at = time.monotonic()
            short = [
                system.complete("entry-1", "tare", _SHORT_ANSWER_TOKENS)
                for _ in range(_SHORT_ANSWERS)
            ]
            exit_code = _end(system, stopping, signalled_at)
            texts = [_text(one.result()) for one in answers]
            written = [one.result() for one in writes]
        assert exit_code == 0, system.read_log(stopping)[-2000:]
        assert [_text(one) for one in short] == [
            _expected_text("tare", _SHORT_ANSWER_TOKENS)
        ] * _SHORT_ANSWERS
        assert texts == [
            _expected_text(f"lorry {number}", _LONG_ANSWER_TOKENS)
            for number in range(_LONG_ANSWERS)
        ]
        counts = system.send_request("ledger", "GET", "/counts").json()
        assert set(counts.values()) == {1}
        cut = [one for one in written if one.status != 201]
        assert {one.json()["outcome"] for one in cut} <= {"unknown"}
        log = system.read_log(stopping)
        cut_requests = set(_CUT.findall(log))
        expected = _opened(system, stopping) - ended[stopping]
        assert len(cut_requests) > len(cut)
        assert cut_requests == expected
        assert f" cut_forwards={len(expected)} " in log
