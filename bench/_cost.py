"""What an entry VM adds to a request and to a token, with real processes.

The same pipeline of stand-in engines is asked directly and through one entry
VM, in one run.  Processor time is what the kernel counted for the process.
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

_TOKENS = 400
_ANSWERS = 10
_SHORT_ANSWERS = 100
_OPEN_STREAMS = 100
_SLOW_TOKEN_SECONDS = 0.4
_PIECES = 20_000
_IDLE_SECONDS = 5.0
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_KIB_PER_MIB = 1024
_CPU_FIELDS = slice(13, 15)


class _Timing(typing.NamedTuple):
    """Seconds to the first token, and from there to the last, of an answer."""

    first: float
    rest: float


def measure() -> list[_figure.Figure]:
    """Run everything and return the figures."""
    with _running(token_seconds=0.001) as system:
        figures = _idle(system)
        figures += _compare(system)
        figures += _short_answers(system)
    with _running(token_seconds=_SLOW_TOKEN_SECONDS) as system:
        figures += _open_streams(system)
    return figures + _own_work(figures)


@contextlib.contextmanager
def _running(
    token_seconds: float,
) -> collections.abc.Iterator[processes.Processes]:
    with tempfile.TemporaryDirectory() as folder:
        system = processes.Processes(
            pathlib.Path(folder),
            entries=1,
            replicas=1,
            token_seconds=token_seconds,
            prefill_seconds=0.01,
        )
        with system:
            _get_ready(system)
            yield system


def _get_ready(system: processes.Processes) -> None:
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
    used = sum(int(one) for one in ["0", "0", *fields][_CPU_FIELDS])
    return used / _TICKS_PER_SECOND


def _resident_mib(system: processes.Processes, name: str) -> float:
    status = pathlib.Path(f"/proc/{system.running[name].pid}/status")
    for line in status.read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / _KIB_PER_MIB
    return 0.0


def _idle(system: processes.Processes) -> list[_figure.Figure]:
    names = {
        "entry": "entry-1",
        "control leader": "control-1",
        "control follower": "control-2",
    }
    before = {name: _cpu_seconds(system, name) for name in names.values()}
    time.sleep(_IDLE_SECONDS)
    figures = []
    for role, name in names.items():
        used = _cpu_seconds(system, name) - before[name]
        share = 100 * used / _IDLE_SECONDS
        resident = _resident_mib(system, name)
        figures += [
            _figure.Figure(f"idle {role}: processor", share, "% of a core"),
            _figure.Figure(f"idle {role}: resident", resident, "MiB"),
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
            "limit_tokens": _TOKENS,
            "priority": 1,
            "stages": stages,
            "index": 0,
        }
    )


def _time_stream(url: str, body: bytes) -> _Timing:
    bearer = f"Bearer {processes.CALLER_CREDENTIAL}"
    started = time.perf_counter()
    first = 0.0
    with httpcore.stream(
        "POST", url, headers=[("authorization", bearer)], content=body
    ) as response:
        for _chunk in response.iter_stream():
            first = first or time.perf_counter()
    return _Timing(first - started, time.perf_counter() - first)


def _compare(system: processes.Processes) -> list[_figure.Figure]:
    direct_url = f"http://{system.address('engine-0-0')}/v1/pipeline"
    entry_url = f"http://{system.address('entry-1')}/v1/completions"
    asked = msgspec.json.encode(
        {
            "prompt": "through",
            "model": "assistant",
            "max_tokens": _TOKENS,
            "stream": True,
        }
    )
    direct = []
    through = []
    used = 0.0
    for _ in range(_ANSWERS):
        direct.append(_time_stream(direct_url, _direct_body(system)))
        before = _cpu_seconds(system, "entry-1")
        through.append(_time_stream(entry_url, asked))
        used += _cpu_seconds(system, "entry-1") - before
    firsts = [
        statistics.median(one.first for one in each)
        for each in (direct, through)
    ]
    rests = [
        statistics.median(one.rest for one in each)
        for each in (direct, through)
    ]
    per_token = 1e6 * used / (_ANSWERS * _TOKENS)
    return [
        _figure.Figure("first token, direct", 1e3 * firsts[0], "ms"),
        _figure.Figure(
            "first token, through the entry", 1e3 * firsts[1], "ms"
        ),
        _figure.Figure("first token, ratio", firsts[1] / firsts[0], "x"),
        _figure.Figure("between tokens, ratio", rests[1] / rests[0], "x"),
        _figure.Figure("entry processor time per token", per_token, "us"),
    ]


def _short_answers(system: processes.Processes) -> list[_figure.Figure]:
    before = _cpu_seconds(system, "entry-1")
    for _ in range(_SHORT_ANSWERS):
        system.complete("entry-1", "short", 1)
    used = _cpu_seconds(system, "entry-1") - before
    per_request = 1e3 * used / _SHORT_ANSWERS
    return [
        _figure.Figure(
            "entry processor time per request of 1 token", per_request, "ms"
        )
    ]


def _open_streams(system: processes.Processes) -> list[_figure.Figure]:
    """Return the memory that an open stream takes."""
    asked = msgspec.json.encode(
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
    for _ in range(_OPEN_STREAMS):
        pool = httpcore.ConnectionPool()
        stream = pool.stream(
            "POST", url, headers=[("authorization", bearer)], content=asked
        )
        stream.__enter__()
        streams.append((pool, stream))
    held = _resident_mib(system, "entry-1") - before
    for pool, stream in streams:
        stream.__exit__(None, None, None)
        pool.close()
    per_stream = held * _KIB_PER_MIB / _OPEN_STREAMS
    return [
        _figure.Figure(
            "entry memory per open stream",
            per_stream,
            "KiB",
            setting=f"{_OPEN_STREAMS} streams",
        )
    ]


def _own_work(known: list[_figure.Figure]) -> list[_figure.Figure]:
    """Time the reducer alone on the tokens of one answer."""
    system = simulation.Simulation(controls=1, entries=1, replicas=1)
    system.start_and_publish()
    started: list[entry.StartStream] = []
    reducer = system.vms["entry-1"].reducer
    request = entry.GenerateRequest(
        request_id=model.RequestId("own"),
        customer=model.CustomerId("cooperative-1"),
        service=model.ServiceName("assistant"),
        prompt="own",
        limit_tokens=_PIECES + 1,
        priority=1,
        timeout=datetime.timedelta(minutes=1),
        body_digest="own",
    )
    for effect in reducer.handle(entry.GenerateRequested(request), system.now):
        if isinstance(effect, entry.StartStream):
            started.append(effect)
    lineage = tuple(
        model.StageMark(stage.endpoint_id, stage.layers)
        for stage in started[0].pipeline.stages
    )
    identity = (request.request_id, started[0].attempt)
    arrived = [
        entry.PieceArrived(
            *identity,
            model.TokenPiece(*identity, position, "a ", lineage),
        )
        for position in range(_PIECES)
    ]
    before = time.process_time()
    for event in arrived:
        reducer.handle(event, system.now)
    own = 1e6 * (time.process_time() - before) / _PIECES
    whole = next(one.value for one in known if one.name.endswith("per token"))
    return [
        _figure.Figure("decisions per token, reducer alone", own, "us"),
        _figure.Figure("decisions, share of the relay", own / whole, "x"),
    ]
