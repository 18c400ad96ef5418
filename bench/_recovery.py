"""Recovery time of the replicated log, and its cost without failures.

Members run on manual clocks, with a timer every 20 ms and a one-way link
latency of 0.5 ms; recovery times are in this simulated time.  CPU time and
the time of a disk sync are measured on the machine.
"""

import collections
import pathlib
import statistics
import tempfile
import time

from bench import _figure
from sedgepin._consensus.tests import cluster
from sedgepin import _storage as storage

_LEADER_FAILURES = 40
_MEMBER_COUNTS = (3, 5)
_COMMIT_SIZES = (1, 10, 100)
_SYNC_COUNT = 200
_COMMAND_BYTES = 200
_RECORD_COUNT = 2000
_RECORDS_PER_BATCH = 10
_IDLE_SECONDS = 10
_RECOVERY_TIMEOUT_MS = 10_000


def measure() -> list[_figure.Figure]:
    """Return figures on recovery, idle cost, commits and disk syncs."""
    figures = _measure_recovery()
    for count in _MEMBER_COUNTS:
        figures.extend(_measure_idle(count))
        figures.append(_measure_commits(count))
    for size in _COMMIT_SIZES:
        figures.extend(_measure_sync(size))
    return figures


def _measure_recovery() -> list[_figure.Figure]:
    record_times_ms: list[float] = []
    lease_times_ms: list[float] = []
    for seed in range(_LEADER_FAILURES):
        record_ms, lease_ms = _kill_leader(seed)
        record_times_ms.append(record_ms)
        lease_times_ms.append(lease_ms)
    return [
        *_median_and_worst("leader death to next record", record_times_ms),
        *_median_and_worst("leader death to next order", lease_times_ms),
    ]


def _kill_leader(seed: int) -> tuple[float, float]:
    """Return the milliseconds to the next commit and to the next lease.

    Both count from the instant at which the leader is killed.
    """
    raft_cluster = cluster.Cluster(3, seed)
    leader = raft_cluster.run_until_leader().name
    raft_cluster.run(raft_cluster.rng.uniform(500, 1000))
    raft_cluster.kill(leader)
    killed_at = raft_cluster.now_microseconds
    raft_cluster.run_until(
        lambda: _has_leader(raft_cluster), _RECOVERY_TIMEOUT_MS
    )
    for name, vm in raft_cluster.vms.items():
        if vm.node and vm.node.is_leader:
            raft_cluster.propose(name)
    raft_cluster.run_until(
        lambda: bool(raft_cluster.acknowledged), _RECOVERY_TIMEOUT_MS
    )
    record_ms = (raft_cluster.now_microseconds - killed_at) / 1000
    raft_cluster.run_until_leader()
    lease_ms = (raft_cluster.now_microseconds - killed_at) / 1000
    return record_ms, lease_ms


def _has_leader(raft_cluster: cluster.Cluster) -> bool:
    return any(
        vm.node and vm.node.is_leader for vm in raft_cluster.vms.values()
    )


def _measure_idle(member_count: int) -> list[_figure.Figure]:
    raft_cluster = cluster.Cluster(member_count)
    leader = raft_cluster.run_until_leader().name
    raft_cluster.run(1000)
    raft_cluster.sent.clear()
    start = time.process_time()
    raft_cluster.run(_IDLE_SECONDS * 1000)
    cpu_seconds = time.process_time() - start
    message_counts: collections.Counter[str] = collections.Counter()
    byte_counts: collections.Counter[str] = collections.Counter()
    for sender, data in raft_cluster.sent:
        message_counts[sender] += 1
        byte_counts[sender] += len(data)
    follower = next(name for name in raft_cluster.vms if name != leader)
    figures = []
    for role, name in (("leader", leader), ("follower", follower)):
        setting = f"idle, {member_count} members"
        rate = message_counts[name] / _IDLE_SECONDS
        figures.append(
            _figure.Figure(f"messages sent by {role}", rate, "1/s", setting)
        )
        rate = byte_counts[name] / _IDLE_SECONDS
        figures.append(
            _figure.Figure(f"bytes sent by {role}", rate, "B/s", setting)
        )
    share = cpu_seconds / _IDLE_SECONDS / member_count * 100
    figures.append(
        _figure.Figure(
            "CPU of one member, with fakes", share, "% of a core", setting
        )
    )
    return figures


def _measure_commits(member_count: int) -> _figure.Figure:
    raft_cluster = cluster.Cluster(member_count)
    leader = raft_cluster.run_until_leader().name
    raft_cluster.run(1000)
    start = time.process_time()
    for _ in range(_RECORD_COUNT // _RECORDS_PER_BATCH):
        raft_cluster.propose(leader, _RECORDS_PER_BATCH)
        raft_cluster.run(5)
    cpu_seconds = time.process_time() - start
    if len(raft_cluster.acknowledged) != _RECORD_COUNT:
        raise AssertionError(
            f"{len(raft_cluster.acknowledged)} of {_RECORD_COUNT}"
            " records were committed"
        )
    return _figure.Figure(
        "CPU per record, all members, with fakes",
        cpu_seconds / _RECORD_COUNT * 1e6,
        "us",
        f"{member_count} members, {_RECORDS_PER_BATCH} at once",
    )


def _measure_sync(record_count: int) -> list[_figure.Figure]:
    """Time group commits of ``record_count`` records on a real disk."""
    times_ms: list[float] = []
    with tempfile.TemporaryDirectory() as directory:
        disk = storage.FolderDisk.open(pathlib.Path(directory)).unwrap()
        store = storage.LogStore(disk)
        store.open()
        for sync_number in range(_SYNC_COUNT):
            entries = _entries(sync_number * record_count + 1, record_count)
            start = time.perf_counter()
            store.append(None, None, entries)
            times_ms.append((time.perf_counter() - start) * 1000)
        disk.close()
    times_ms.sort()
    setting = f"{record_count} records of {_COMMAND_BYTES} B"
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
    command_kind = storage.EntryKind.COMMAND
    return [
        storage.LogEntry(index, 1, command_kind, command)
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
