"""The whole system with real processes: notes, takeovers, lost stages.

3 control VMs and 7 entry VMs on loopback, stand-in engines, one machine.
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

_ROUNDS = 20
_NOTES = 100
_ENTRIES = 7
_TOKENS = 100
_TOKEN_SECONDS = 0.02
_PREFILL_SECONDS = 0.05
_POLL_SECONDS = 0.002
_KILL_AFTER_TOKENS = 30


def measure() -> list[_figure.Figure]:
    """Run everything and return the figures."""
    with tempfile.TemporaryDirectory() as folder:
        system = processes.Processes(
            pathlib.Path(folder),
            entries=_ENTRIES,
            token_seconds=_TOKEN_SECONDS,
            prefill_seconds=_PREFILL_SECONDS,
        )
        with system:
            notes = _Notes(system)
            processes.wait_until(notes.publish, "the first note is accepted")
            system.wait_ready()
            system.wait_serving()
            in_force = [_time_in_force(system, notes) for _ in range(_NOTES)]
            stalls = [_time_stall(system, round_) for round_ in range(_ROUNDS)]
            takeovers = [_time_takeover(system, notes) for _ in range(_ROUNDS)]
    return [
        *_spread("note accepted to in force on 7 of 7 VMs", in_force),
        *_spread("longest gap of an answer whose stage is killed", stalls),
        *_spread("leader killed to next accepted note", takeovers),
    ]


def _spread(name: str, samples: list[float]) -> list[_figure.Figure]:
    ordered = sorted(samples)
    worst = ordered[-1]
    high = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    shown = f"p99 {1e3 * high:.0f}, worst {1e3 * worst:.0f} of {len(ordered)}"
    median = 1e3 * statistics.median(ordered)
    return [_figure.Figure(name, median, "ms, median", spread=shown)]


class _Notes:
    """Publishes notes one after the other, straight to the control VMs."""

    def __init__(self, system: processes.Processes) -> None:
        self._system = system
        self.number = 0

    def publish(self) -> bool:
        """Publish the next note at whichever control VM leads."""
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


def _time_in_force(system: processes.Processes, notes: _Notes) -> float:
    processes.wait_until(notes.publish, "a note is accepted")
    started = time.monotonic()
    waiting = set(system.entry_ids)
    while waiting:
        for name in sorted(waiting):
            status = system.send_request(name, "GET", "/v1/status").json()
            if status["note_number"] == notes.number:
                waiting.discard(name)
    return time.monotonic() - started


def _time_takeover(system: processes.Processes, notes: _Notes) -> float:
    leader = next(name for name in system.control_ids if _leads(system, name))
    system.kill(leader)
    started = time.monotonic()
    while not notes.publish():
        time.sleep(_POLL_SECONDS)
    took = time.monotonic() - started
    system.start(leader)
    processes.wait_until(
        lambda: system.send_request(leader, "GET", "/readyz").status == 200,
        "the killed VM follows",
    )
    return took


def _leads(system: processes.Processes, name: str) -> bool:
    answer = system.send_request(
        name, "GET", "/v1/status", credential=processes.OPERATOR_CREDENTIAL
    )
    return answer.status == 200


def _time_stall(system: processes.Processes, round_: int) -> float:
    """Return the longest time between two tokens of a disturbed answer."""
    heard: list[float] = []
    killed = ""
    for _chunk in _chunks(system, f"round {round_}"):
        heard.append(time.monotonic())
        if len(heard) == _KILL_AFTER_TOKENS:
            killed = _producing(system)
            system.kill(killed)
    system.start(killed, incarnation=round_ + 2)
    system.wait_serving()
    return max(later - sooner for sooner, later in zip(heard, heard[1:]))


def _chunks(
    system: processes.Processes, prompt: str
) -> collections.abc.Iterator[bytes]:
    body = msgspec.json.encode(
        {
            "prompt": prompt,
            "model": "assistant",
            "max_tokens": _TOKENS,
            "stream": True,
        }
    )
    bearer = f"Bearer {processes.CALLER_CREDENTIAL}"
    url = f"http://{system.address('entry-1')}/v1/completions"
    whole = b""
    with httpcore.stream(
        "POST", url, headers=[("authorization", bearer)], content=body
    ) as response:
        for chunk in response.iter_stream():
            whole += chunk
            yield chunk
    assert b"[DONE]" in whole, whole[-300:]


def _producing(system: processes.Processes) -> str:
    first = processes.STAGES[1][0]
    for name in system.engine_ids:
        if not name.startswith(f"engine-{first}-"):
            continue
        produced: typing.Any = system.send_request(
            name, "GET", "/v1/produced"
        ).json()
        if produced:
            return name
    raise LookupError("no engine of the middle stage runs the answer")
