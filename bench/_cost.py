"""Overhead that an entry VM adds to requests and tokens.

One run with real processes sends requests to the same pipeline of fake
engines, both directly and through one entry VM.  CPU time is what the kernel
counted for a process.
"""

import collections.abc
import contextlib
import datetime
import os
import pathlib
import statistics
import tempfile
import time
import typing

import httpcore
import msgspec

from bench import _figure
from sedgepin import _entry as entry
from sedgepin import _model as model
from sedgepin.tests import processes
from sedgepin.tests import simulation

_TOKENS_PER_ANSWER = 400
_ANSWER_COUNT = 10
_SHORT_ANSWER_COUNT = 100
_OPEN_STREAM_COUNT = 100
_SLOW_TOKEN_SECONDS = 0.4
_PIECE_COUNT = 20_000
_IDLE_SECONDS = 5.0
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_KIB_PER_MIB = 1024
# utime and stime, fields 14 and 15 of /proc/PID/stat (see proc(5)).
_CPU_FIELDS = slice(13, 15)


class _Timing(typing.NamedTuple):
    """Times of a streamed answer: to the first token, and from there on."""

    first_token_seconds: float
    remaining_seconds: float


def measure() -> list[_figure.Figure]:
    """Start the system and return all figures."""
    with _start_system(token_seconds=0.001) as system:
        figures = _measure_idle(system)
        figures += _measure_relay(system)
        figures += _measure_short_answers(system)
    with _start_system(token_seconds=_SLOW_TOKEN_SECONDS) as system:
        figures += _measure_open_streams(system)
    return figures + _measure_reducer(figures)


@contextlib.contextmanager
def _start_system(
    token_seconds: float,
) -> collections.abc.Iterator[processes.Processes]:
    with tempfile.TemporaryDirectory() as directory:
        system = processes.Processes(
            pathlib.Path(directory),
            entries=1,
            replicas=1,
            token_seconds=token_seconds,
            prefill_seconds=0.01,
        )
        with system:
            _publish_and_wait(system)
            yield system


def _publish_and_wait(system: processes.Processes) -> None:
    def is_published() -> bool:
        try:
            return bool(system.publish(processes.first_note()))
        except RuntimeError:
            return False

    processes.wait_until(is_published, "the note is accepted")
    system.wait_ready()
    system.wait_serving()


def _cpu_seconds(system: processes.Processes, name: str) -> float:
    stat = pathlib.Path(f"/proc/{system.running[name].pid}/stat")
    fields = stat.read_text().rsplit(")", 1)[1].split()
    ticks = sum(int(field) for field in ["0", "0", *fields][_CPU_FIELDS])
    return ticks / _TICKS_PER_SECOND


def _resident_mib(system: processes.Processes, name: str) -> float:
    status = pathlib.Path(f"/proc/{system.running[name].pid}/status")
    for line in status.read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / _KIB_PER_MIB
    return 0.0


def _measure_idle(system: processes.Processes) -> list[_figure.Figure]:
    names = {
        "entry": "entry-1",
        "control leader": "control-1",
        "control follower": "control-2",
    }
    before = {name: _cpu_seconds(system, name) for name in names.values()}
    time.sleep(_IDLE_SECONDS)
    figures = []
    for role, name in names.items():
        cpu_seconds = _cpu_seconds(system, name) - before[name]
        share = 100 * cpu_seconds / _IDLE_SECONDS
        resident_mib = _resident_mib(system, name)
        figures += [
            _figure.Figure(f"idle {role}: processor", share, "% of a core"),
            _figure.Figure(f"idle {role}: resident", resident_mib, "MiB"),
        ]
    return figures


def _direct_body(system: processes.Processes) -> bytes:
    stages = [
        {
            "endpoint_id": f"engine-{first}-0",
            "address": f"http://{system.address(f'engine-{first}-0')}",
            "layers": {"first": first, "end": end},
        }
        for first, end in processes.STAGES
    ]
    return msgspec.json.encode(
        {
            "request_id": "direct",
            "attempt": 1,
            "model": "beet-32",
            "version": "1",
            "prompt": "direct",
            "delivered": [],
            "position": 0,
            "limit_tokens": _TOKENS_PER_ANSWER,
            "priority": 1,
            "stages": stages,
            "index": 0,
        }
    )


def _measure_stream(url: str, body: bytes) -> _Timing:
    bearer = f"Bearer {processes.CALLER_CREDENTIAL}"
    start = time.perf_counter()
    first_token_at = 0.0
    with httpcore.stream(
        "POST", url, headers=[("authorization", bearer)], content=body
    ) as response:
        for _chunk in response.iter_stream():
            first_token_at = first_token_at or time.perf_counter()
    return _Timing(
        first_token_at - start, time.perf_counter() - first_token_at
    )


def _measure_relay(system: processes.Processes) -> list[_figure.Figure]:
    direct_url = f"http://{system.address('engine-0-0')}/v1/pipeline"
    entry_url = f"http://{system.address('entry-1')}/v1/completions"
    request_body = msgspec.json.encode(
        {
            "prompt": "through",
            "model": "assistant",
            "max_tokens": _TOKENS_PER_ANSWER,
            "stream": True,
        }
    )
    direct_timings = []
    entry_timings = []
    cpu_seconds = 0.0
    for _ in range(_ANSWER_COUNT):
        direct_timings.append(
            _measure_stream(direct_url, _direct_body(system))
        )
        before = _cpu_seconds(system, "entry-1")
        entry_timings.append(_measure_stream(entry_url, request_body))
        cpu_seconds += _cpu_seconds(system, "entry-1") - before
    first_token_medians = [
        statistics.median(timing.first_token_seconds for timing in timings)
        for timings in (direct_timings, entry_timings)
    ]
    remaining_medians = [
        statistics.median(timing.remaining_seconds for timing in timings)
        for timings in (direct_timings, entry_timings)
    ]
    per_token = 1e6 * cpu_seconds / (_ANSWER_COUNT * _TOKENS_PER_ANSWER)
    return [
        _figure.Figure(
            "first token, direct", 1e3 * first_token_medians[0], "ms"
        ),
        _figure.Figure(
            "first token, through the entry",
            1e3 * first_token_medians[1],
            "ms",
        ),
        _figure.Figure(
            "first token, ratio",
            first_token_medians[1] / first_token_medians[0],
            "x",
        ),
        _figure.Figure(
            "between tokens, ratio",
            remaining_medians[1] / remaining_medians[0],
            "x",
        ),
        _figure.Figure("entry processor time per token", per_token, "us"),
    ]


def _measure_short_answers(
    system: processes.Processes,
) -> list[_figure.Figure]:
    before = _cpu_seconds(system, "entry-1")
    for _ in range(_SHORT_ANSWER_COUNT):
        system.complete("entry-1", "short", 1)
    cpu_seconds = _cpu_seconds(system, "entry-1") - before
    per_request = 1e3 * cpu_seconds / _SHORT_ANSWER_COUNT
    return [
        _figure.Figure(
            "entry processor time per request of 1 token", per_request, "ms"
        )
    ]


def _measure_open_streams(system: processes.Processes) -> list[_figure.Figure]:
    """Return the resident memory that each open stream adds."""
    request_body = msgspec.json.encode(
        {
            "prompt": "open",
            "model": "assistant",
            "max_tokens": 4000,
            "stream": True,
        }
    )
    bearer = f"Bearer {processes.CALLER_CREDENTIAL}"
    url = f"http://{system.address('entry-1')}/v1/completions"
    before = _resident_mib(system, "entry-1")
    streams = []
    for _ in range(_OPEN_STREAM_COUNT):
        pool = httpcore.ConnectionPool()
        stream = pool.stream(
            "POST",
            url,
            headers=[("authorization", bearer)],
            content=request_body,
        )
        stream.__enter__()
        streams.append((pool, stream))
    stream_mib = _resident_mib(system, "entry-1") - before
    for pool, stream in streams:
        stream.__exit__(None, None, None)
        pool.close()
    per_stream = stream_mib * _KIB_PER_MIB / _OPEN_STREAM_COUNT
    return [
        _figure.Figure(
            "entry memory per open stream",
            per_stream,
            "KiB",
            setting=f"{_OPEN_STREAM_COUNT} streams",
        )
    ]


def _measure_reducer(
    relay_figures: list[_figure.Figure],
) -> list[_figure.Figure]:
    """Measure the reducer alone, on the pieces of one answer.

    ``relay_figures`` must hold the CPU time of the whole relay per token,
    which the reducer's time is compared with.
    """
    system = simulation.Simulation(controls=1, entries=1, replicas=1)
    system.start_and_publish()
    start_effects: list[entry.StartStream] = []
    reducer = system.vms["entry-1"].reducer
    request = entry.GenerateRequest(
        request_id=model.RequestId("own"),
        customer=model.CustomerId("cooperative-1"),
        service=model.ServiceName("assistant"),
        prompt="own",
        limit_tokens=_PIECE_COUNT + 1,
        priority=1,
        timeout=datetime.timedelta(minutes=1),
        body_digest="own",
    )
    for effect in reducer.handle(entry.GenerateRequested(request), system.now):
        if isinstance(effect, entry.StartStream):
            start_effects.append(effect)
    lineage = tuple(
        model.StageMark(stage.endpoint_id, stage.layers)
        for stage in start_effects[0].pipeline.stages
    )
    identity = (request.request_id, start_effects[0].attempt)
    events = [
        entry.PieceReceived(
            *identity,
            model.TokenPiece(*identity, position, "a ", lineage),
        )
        for position in range(_PIECE_COUNT)
    ]
    start = time.process_time()
    for event in events:
        reducer.handle(event, system.now)
    reducer_microseconds = 1e6 * (time.process_time() - start) / _PIECE_COUNT
    relay_microseconds = next(
        figure.value
        for figure in relay_figures
        if figure.name.endswith("per token")
    )
    return [
        _figure.Figure(
            "decisions per token, reducer alone", reducer_microseconds, "us"
        ),
        _figure.Figure(
            "decisions, share of the relay",
            reducer_microseconds / relay_microseconds,
            "x",
        ),
    ]
