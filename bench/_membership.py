"""Cost of membership for each entry VM, by the size of the fleet."""

import collections.abc
import statistics
import time
import tracemalloc

import msgspec

from bench import _figure as figure
from bench import _membership_fleet as fleets
from sedgepin import _membership as membership
from sedgepin import _model as model

_WARM_UP_TIME = 8 * fleets.SECOND
_MEASURED_TIME = 4 * fleets.SECOND
_SAMPLE_INTERVAL = 0.25 * fleets.SECOND
_LEAVING_COUNT = 20
_SETTLED_ELIGIBLE_SHARE = 0.99
# Headers of a TLS 1.3 record (22 bytes) and of a TCP segment with timestamps
# over IPv4 (52 bytes).
_HEADER_BYTES = 74
_NODE_LIMIT_BYTES_PER_SECOND = 11_000
_NODE_LIMIT_CPU_MS_PER_SECOND = 36
_BATCH_DECODER = msgspec.msgpack.Decoder(membership.HeartbeatBatch)

FLEETS = (
    fleets.Fleet(7, 1),
    fleets.Fleet(20, 2),
    fleets.Fleet(53, 3),
    fleets.Fleet(107, 4),
    fleets.Fleet(213, 5),
    fleets.Fleet(320, 6),
)
_OTHER_SUBSET_SIZES = (fleets.Fleet(320, 6, 16), fleets.Fleet(320, 6, 53))


def _measure_fleet(fleet: fleets.Fleet) -> list[figure.Figure]:
    data_centre = fleets.DataCentre(fleet)
    data_centre.run(_WARM_UP_TIME)
    message_count_before = data_centre.message_count
    frame_bytes_before = data_centre.frame_bytes
    announcement_bytes_before = data_centre.announcement_bytes
    cpu_seconds_before = data_centre.cpu_seconds
    shares = []
    for _ in range(round(_MEASURED_TIME / _SAMPLE_INTERVAL)):
        data_centre.run(_SAMPLE_INTERVAL)
        shares.append(data_centre.eligible_share())
    per_node = fleet.entry_count * (_MEASURED_TIME / fleets.SECOND)
    # Each frame counts twice: one entry VM sends it, another receives it.
    frames = 2 * (data_centre.message_count - message_count_before) / per_node
    payload = 2 * (data_centre.frame_bytes - frame_bytes_before) / per_node
    announcements = (
        data_centre.announcement_bytes - announcement_bytes_before
    ) / per_node
    cpu = (data_centre.cpu_seconds - cpu_seconds_before) / per_node
    setting = str(fleet)
    return [
        figure.Figure("gossip_frames", frames, "1/s/node", setting),
        figure.Figure("gossip_payload", payload, "B/s/node", setting),
        figure.Figure(
            "gossip_with_headers",
            payload + frames * _HEADER_BYTES,
            "B/s/node",
            setting,
        ),
        figure.Figure(
            "announcement_bodies", announcements, "B/s/node", setting
        ),
        figure.Figure("membership_cpu", 1000 * cpu, "ms/s/node", setting),
        figure.Figure(
            "eligible_share",
            statistics.mean(shares),
            "ratio",
            setting,
            f"worst {min(shares):.4f}",
        ),
    ]


def _measure_memory(fleet: fleets.Fleet) -> figure.Figure:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    data_centre = fleets.DataCentre(fleet)
    data_centre.run(_WARM_UP_TIME)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return figure.Figure(
        "membership_memory",
        (after - before) / fleet.entry_count / 1e6,
        "MB/node",
        str(fleet),
    )


def _measure_leaving(fleet: fleets.Fleet, loss: float) -> list[figure.Figure]:
    data_centre = fleets.DataCentre(fleet, loss)
    data_centre.run(_WARM_UP_TIME)
    leave_hops = []
    late_count = 0
    for index in range(min(_LEAVING_COUNT, fleet.endpoint_count)):
        propagation_time = data_centre.leave(index)
        if propagation_time is None:
            late_count += 1
        else:
            leave_hops.append(propagation_time / fleets.HOP)
    setting = f"{fleet}, loss {loss:.0%}"
    return [
        figure.Figure(
            "leaving_known_everywhere",
            statistics.median(leave_hops),
            "ms (1 ms a hop)",
            setting,
            f"worst {max(leave_hops):.0f} of {len(leave_hops)}",
        ),
        figure.Figure(
            "leaving_not_known_after_2_s",
            late_count,
            "leavings",
            setting,
        ),
    ]


def _measure_storm(fleet: fleets.Fleet) -> list[figure.Figure]:
    """Measure the simultaneous start of all VMs and endpoints."""
    data_centre = fleets.DataCentre(fleet)
    step = 0.1 * fleets.SECOND
    settle_time = None
    first_second_bytes = 0
    while (
        settle_time is None
        and data_centre.now < fleets.START + 30 * fleets.SECOND
    ):
        data_centre.run(step)
        if data_centre.now <= fleets.START + fleets.SECOND:
            first_second_bytes = data_centre.frame_bytes
        if data_centre.eligible_share() >= _SETTLED_ELIGIBLE_SHARE:
            settle_time = data_centre.now - fleets.START
    per_node = 2 * first_second_bytes / fleet.entry_count
    setting = f"{fleet}, all start at once"
    return [
        figure.Figure("storm_first_second", per_node, "B/node", setting),
        figure.Figure(
            "storm_until_99_in_100_eligible",
            settle_time / fleets.SECOND if settle_time else float("nan"),
            "s",
            setting,
        ),
    ]


def _measure_heartbeats(node_count: int) -> list[figure.Figure]:
    """Measure a control leader that receives a heartbeat a second of each VM.

    Relays send one batch for each data centre and second; here, all heartbeats
    of a second arrive in one batch.
    """
    seconds = 20
    incarnations = tuple(
        membership.VmIncarnation(
            model.VmId(f"entry-{number:03}"), model.Incarnation(1_700_000_000)
        )
        for number in range(node_count)
    )
    vm_liveness = membership.VmLiveness()
    vm_liveness.handle(membership.LeadershipGained(incarnations), fleets.START)
    size_bytes = 0
    start = time.process_time()
    for second in range(seconds):
        now = fleets.START + second * fleets.SECOND
        batch = membership.HeartbeatBatch(
            tuple(
                membership.VmHeartbeat(
                    incarnation.vm_id,
                    incarnation.incarnation,
                    second + 1,
                    5000,
                    True,
                )
                for incarnation in incarnations
            )
        )
        data = msgspec.msgpack.encode(batch)
        size_bytes += len(data)
        event = membership.HeartbeatsReceived(_BATCH_DECODER.decode(data))
        vm_liveness.handle(event, now)
        vm_liveness.handle(membership.LeaseTimerFired(), now)
        vm_liveness.note_coverage(5000)
    cpu_seconds = time.process_time() - start
    setting = f"{node_count} VMs, 1 heartbeat/s each"
    return [
        figure.Figure(
            "heartbeats_to_leader", size_bytes / seconds, "B/s", setting
        ),
        figure.Figure(
            "heartbeats_cpu", 1000 * cpu_seconds / seconds, "ms/s", setting
        ),
    ]


def _fit_slope(
    name: str, figures: collections.abc.Iterable[figure.Figure]
) -> figure.Figure:
    """Fit a line to a figure against the entry VMs of a data centre."""
    values = [result.value for result in figures if result.name == name]
    sizes = [float(fleet.entry_count) for fleet in FLEETS]
    slope, intercept = statistics.linear_regression(
        sizes, values[: len(sizes)]
    )
    return figure.Figure(
        f"{name}_slope",
        slope,
        "per entry of a dc",
        f"{len(sizes)} sizes",
        f"at none {intercept:.4g}",
    )


def _limit_ratios(
    figures: collections.abc.Iterable[figure.Figure],
) -> list[figure.Figure]:
    limits = {
        "gossip_with_headers": _NODE_LIMIT_BYTES_PER_SECOND,
        "membership_cpu": _NODE_LIMIT_CPU_MS_PER_SECOND,
    }
    return [
        figure.Figure(
            f"{result.name}_of_limit",
            result.value / limits[result.name],
            "ratio",
            result.setting,
        )
        for result in figures
        if result.name in limits and result.setting.startswith("320")
    ]


def measure() -> list[figure.Figure]:
    """Return the cost of membership by fleet size, and its slopes."""
    figures: list[figure.Figure] = []
    for fleet in (*FLEETS, *_OTHER_SUBSET_SIZES):
        figures += _measure_fleet(fleet)
    figures += [
        _fit_slope(name, figures)
        for name in ("gossip_frames", "gossip_payload", "membership_cpu")
    ]
    figures += _limit_ratios(figures)
    figures += [_measure_memory(fleet) for fleet in FLEETS]
    for node_count in (20, 53, 107, 160, 320):
        figures += _measure_heartbeats(node_count)
    for fleet in FLEETS:
        figures += _measure_storm(fleet)
    for fleet in (FLEETS[0], FLEETS[-1]):
        for loss in (0.0, 0.2):
            figures += _measure_leaving(fleet, loss)
    return figures
