"""Latencies of the whole system, run with real processes.

Measures release notes, leader changes and failures of a pipeline stage, on 3
control VMs, 7 entry VMs and fake engines over loopback on one machine.
"""

import collections.abc
import pathlib
import statistics
import tempfile
import time
import typing

import httpcore
import msgspec

from bench import _figure
from sedgepin.tests import processes

_ROUND_COUNT = 20
_NOTE_COUNT = 100
_ENTRY_COUNT = 7
_TOKENS_PER_ANSWER = 100
_TOKEN_SECONDS = 0.02
_PREFILL_SECONDS = 0.05
_POLL_SECONDS = 0.002
_KILL_AFTER_TOKENS = 30


def measure() -> list[_figure.Figure]:
    """Start the system and return all figures."""
    with tempfile.TemporaryDirectory() as folder:
        system = processes.Processes(
            pathlib.Path(folder),
            entries=_ENTRY_COUNT,
            token_seconds=_TOKEN_SECONDS,
            prefill_seconds=_PREFILL_SECONDS,
        )
        with system:
            publisher = _NotePublisher(system)
            processes.wait_until(
                publisher.publish, "the first note is accepted"
            )
            system.wait_ready()
            system.wait_serving()
            rollout_seconds = [
                _measure_rollout(system, publisher) for _ in range(_NOTE_COUNT)
            ]
            stall_seconds = [
                _measure_stall(system, round_number)
                for round_number in range(_ROUND_COUNT)
            ]
            takeover_seconds = [
                _measure_takeover(system, publisher)
                for _ in range(_ROUND_COUNT)
            ]
    return [
        *_make_figures(
            "note accepted to in force on 7 of 7 VMs", rollout_seconds
        ),
        *_make_figures(
            "longest gap of an answer whose stage is killed", stall_seconds
        ),
        *_make_figures(
            "leader killed to next accepted note", takeover_seconds
        ),
    ]


def _make_figures(name: str, samples: list[float]) -> list[_figure.Figure]:
    ordered = sorted(samples)
    worst = ordered[-1]
    p99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    spread = f"p99 {1e3 * p99:.0f}, worst {1e3 * worst:.0f} of {len(ordered)}"
    median = 1e3 * statistics.median(ordered)
    return [_figure.Figure(name, median, "ms, median", spread=spread)]


class _NotePublisher:
    """Publishes consecutive release notes directly to the control VMs."""

    def __init__(self, system: processes.Processes) -> None:
        self._system = system
        self.number = 0

    def publish(self) -> bool:
        """Try to publish the next note; return whether it was accepted.

        The note goes to each running control VM until the leader accepts it.
        """
        note = processes.first_note()
        number = self.number + 1
        if number > 1:
            item = {"type": "service", "name": f"s{number}", "kind": "plain"}
            note["changes"] = [{"change": "added", "item": item}]
        note.update(number=number, note_id=f"n{number}")
        for name in self._system.control_ids:
            if self._system.running[name].poll() is not None:
                continue
            try:
                answer = self._system.send_request(
                    name,
                    "POST",
                    "/v1/notes",
                    note,
                    credential=processes.OPERATOR_CREDENTIAL,
                    read_seconds=1.0,
                )
            except processes.CONNECTION_ERRORS:
                continue
            if answer.status == 201:
                self.number = number
                return True
        return False


def _measure_rollout(
    system: processes.Processes, publisher: _NotePublisher
) -> float:
    processes.wait_until(publisher.publish, "a note is accepted")
    start = time.monotonic()
    pending = set(system.entry_ids)
    while pending:
        for name in sorted(pending):
            status = system.send_request(name, "GET", "/v1/status").json()
            if status["note_number"] == publisher.number:
                pending.discard(name)
    return time.monotonic() - start


def _measure_takeover(
    system: processes.Processes, publisher: _NotePublisher
) -> float:
    leader = next(
        name for name in system.control_ids if _is_leader(system, name)
    )
    system.kill(leader)
    start = time.monotonic()
    while not publisher.publish():
        time.sleep(_POLL_SECONDS)
    duration = time.monotonic() - start
    system.start(leader)
    processes.wait_until(
        lambda: system.send_request(leader, "GET", "/readyz").status == 200,
        f"{leader} is ready again",
    )
    return duration


def _is_leader(system: processes.Processes, name: str) -> bool:
    answer = system.send_request(
        name, "GET", "/v1/status", credential=processes.OPERATOR_CREDENTIAL
    )
    return answer.status == 200


def _measure_stall(system: processes.Processes, round_number: int) -> float:
    """Return the longest gap between two tokens of an answer, in seconds.

    The engine of the middle stage is killed after 30 tokens.
    """
    arrival_times: list[float] = []
    killed_engine = ""
    for _chunk in _stream_answer(system, f"round {round_number}"):
        arrival_times.append(time.monotonic())
        if len(arrival_times) == _KILL_AFTER_TOKENS:
            killed_engine = _find_producing_engine(system)
            system.kill(killed_engine)
    system.start(killed_engine, incarnation=round_number + 2)
    system.wait_serving()
    return max(
        later - earlier
        for earlier, later in zip(arrival_times, arrival_times[1:])
    )


def _stream_answer(
    system: processes.Processes, prompt: str
) -> collections.abc.Iterator[bytes]:
    body = msgspec.json.encode(
        {
            "prompt": prompt,
            "model": "assistant",
            "max_tokens": _TOKENS_PER_ANSWER,
            "stream": True,
        }
    )
    bearer = f"Bearer {processes.CALLER_CREDENTIAL}"
    url = f"http://{system.address('entry-1')}/v1/completions"
    answer = b""
    with httpcore.stream(
        "POST", url, headers=[("authorization", bearer)], content=body
    ) as response:
        for chunk in response.iter_stream():
            answer += chunk
            yield chunk
    assert b"[DONE]" in answer, answer[-300:]


def _find_producing_engine(system: processes.Processes) -> str:
    first = processes.STAGES[1][0]
    for name in system.engine_ids:
        if not name.startswith(f"engine-{first}-"):
            continue
        produced_counts: typing.Any = system.send_request(
            name, "GET", "/v1/produced"
        ).json()
        if produced_counts:
            return name
    raise LookupError(f"no engine from layer {first} on is producing tokens")
