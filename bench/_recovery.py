"""Recovery of the replicated log, and what it costs while nothing fails.

Members run on manual clocks with a timer every 20 ms and links of 0.5 ms
one way; recovery times are of that model.  Processor time and the time of
a sync are of the machine that runs the bench.
"""

import collections
import pathlib
import statistics
import tempfile
import time

from bench import _figure
from sedgepin._consensus.tests import cluster
from sedgepin import _storage as storage

_DEATHS = 40
_MEMBER_COUNTS = (3, 5)
_COMMIT_SIZES = (1, 10, 100)
_SYNCS = 200
_COMMAND_BYTES = 200
_RECORDS = 2000
_RECORDS_AT_ONCE = 10
_IDLE_SECONDS = 10
_LIMIT_MS = 10_000


def measure() -> list[_figure.Figure]:
    """Return all figures."""
    figures = _measure_recovery()
    for count in _MEMBER_COUNTS:
        figures.extend(_measure_idle(count))
        figures.append(_measure_commits(count))
    for size in _COMMIT_SIZES:
        figures.extend(_measure_sync(size))
    return figures


def _measure_recovery() -> list[_figure.Figure]:
    to_record: list[float] = []
    to_lease: list[float] = []
    for seed in range(_DEATHS):
        record_ms, lease_ms = _kill_leader(seed)
        to_record.append(record_ms)
        to_lease.append(lease_ms)
    return [
        *_median_and_worst("leader death to next record", to_record),
        *_median_and_worst("leader death to next order", to_lease),
    ]


def _kill_leader(seed: int) -> tuple[float, float]:
    """Return the milliseconds to the next record and to the next lease."""
    several = cluster.Cluster(3, seed)
    leader = several.run_until_leader().name
    several.run(several.rng.uniform(500, 1000))
    several.kill(leader)
    killed_at = several.now_microseconds
    several.run_until(lambda: _has_leader(several), _LIMIT_MS)
    for name, vm in several.vms.items():
        if vm.node and vm.node.is_leader:
            several.propose(name)
    several.run_until(lambda: bool(several.acknowledged), _LIMIT_MS)
    record_ms = (several.now_microseconds - killed_at) / 1000
    several.run_until_leader()
    lease_ms = (several.now_microseconds - killed_at) / 1000
    return record_ms, lease_ms


def _has_leader(several: cluster.Cluster) -> bool:
    return any(vm.node and vm.node.is_leader for vm in several.vms.values())


def _measure_idle(count: int) -> list[_figure.Figure]:
    several = cluster.Cluster(count)
    leader = several.run_until_leader().name
    several.run(1000)
    several.sent.clear()
    started = time.process_time()
    several.run(_IDLE_SECONDS * 1000)
    spent = time.process_time() - started
    messages: collections.Counter[str] = collections.Counter()
    sizes: collections.Counter[str] = collections.Counter()
    for sender, data in several.sent:
        messages[sender] += 1
        sizes[sender] += len(data)
    follower = next(name for name in several.vms if name != leader)
    figures = []
    for role, name in (("leader", leader), ("follower", follower)):
        setting = f"idle, {count} members"
        rate = messages[name] / _IDLE_SECONDS
        figures.append(
            _figure.Figure(f"messages sent by {role}", rate, "1/s", setting)
        )
        rate = sizes[name] / _IDLE_SECONDS
        figures.append(
            _figure.Figure(f"bytes sent by {role}", rate, "B/s", setting)
        )
    share = spent / _IDLE_SECONDS / count * 100
    figures.append(
        _figure.Figure(
            "CPU of one member, with fakes", share, "% of a core", setting
        )
    )
    return figures


def _measure_commits(count: int) -> _figure.Figure:
    several = cluster.Cluster(count)
    leader = several.run_until_leader().name
    several.run(1000)
    started = time.process_time()
    for _ in range(_RECORDS // _RECORDS_AT_ONCE):
        several.propose(leader, _RECORDS_AT_ONCE)
        several.run(5)
    spent = time.process_time() - started
    if len(several.acknowledged) != _RECORDS:
        raise AssertionError("not all records were committed")
    return _figure.Figure(
        "CPU per record, all members, with fakes",
        spent / _RECORDS * 1e6,
        "us",
        f"{count} members, {_RECORDS_AT_ONCE} at once",
    )


def _measure_sync(size: int) -> list[_figure.Figure]:
    """Time group commits of ``size`` records on a real folder."""
    times_ms: list[float] = []
    with tempfile.TemporaryDirectory() as folder:
        disk = storage.FolderDisk.open(pathlib.Path(folder)).unwrap()
        store = storage.LogStore(disk)
        store.open()
        for place in range(_SYNCS):
            entries = _entries(place * size + 1, size)
            started = time.perf_counter()
            store.append(None, None, entries)
            times_ms.append((time.perf_counter() - started) * 1000)
        disk.close()
    times_ms.sort()
    setting = f"{size} records of {_COMMAND_BYTES} B"
    return [
        _figure.Figure(
            f"group commit p{percent}",
            times_ms[len(times_ms) * percent // 100],
            "ms",
            setting,
        )
        for percent in (50, 99)
    ]


def _entries(first_index: int, count: int) -> list[storage.LogEntry]:
    command = bytes(_COMMAND_BYTES)
    kind = storage.EntryKind.COMMAND
    return [
        storage.LogEntry(index, 1, kind, command)
        for index in range(first_index, first_index + count)
    ]


def _median_and_worst(
    name: str, times_ms: list[float]
) -> list[_figure.Figure]:
    setting = f"{len(times_ms)} deaths, 3 members"
    return [
        _figure.Figure(
            f"{name}, median", statistics.median(times_ms), "ms", setting
        ),
        _figure.Figure(f"{name}, worst", max(times_ms), "ms", setting),
    ]
