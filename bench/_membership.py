"""What membership costs an entry, by the size of the fleet."""

import collections.abc
import statistics
import time
import tracemalloc

import msgspec

from bench import _figure as figure
from bench import _membership_fleet as fleets
from sedgepin import _membership as membership
from sedgepin import _model as model

_WARM_UP = 8 * fleets.SECOND
_MEASURED = 4 * fleets.SECOND
_SAMPLE_INTERVAL = 0.25 * fleets.SECOND
_LEAVINGS = 20
_SETTLED_SHARE = 0.99
# A TLS 1.3 record (22) and a TCP segment with timestamps over IPv4 (52).
_HEADER_BYTES = 74
_NODE_LIMIT_BYTES = 11_000
_NODE_LIMIT_CPU_MILLISECONDS = 36
_BATCH_DECODER = msgspec.msgpack.Decoder(membership.HeartbeatBatch)

FLEETS = (
    fleets.Fleet(7, 1),
    fleets.Fleet(20, 2),
    fleets.Fleet(53, 3),
    fleets.Fleet(107, 4),
    fleets.Fleet(213, 5),
    fleets.Fleet(320, 6),
)
_OTHER_SUBSETS = (fleets.Fleet(320, 6, 16), fleets.Fleet(320, 6, 53))


def _measure_fleet(fleet: fleets.Fleet) -> list[figure.Figure]:
    data_centre = fleets.DataCentre(fleet)
    data_centre.run(_WARM_UP)
    messages = data_centre.message_count
    frame_bytes = data_centre.frame_bytes
    announced = data_centre.announcement_bytes
    cpu_seconds = data_centre.cpu_seconds
    shares = []
    for _ in range(round(_MEASURED / _SAMPLE_INTERVAL)):
        data_centre.run(_SAMPLE_INTERVAL)
        shares.append(data_centre.eligible_share())
    per_node = fleet.entry_count * (_MEASURED / fleets.SECOND)
    # Each frame is sent by one entry and received by another.
    frames = 2 * (data_centre.message_count - messages) / per_node
    payload = 2 * (data_centre.frame_bytes - frame_bytes) / per_node
    announcements = (data_centre.announcement_bytes - announced) / per_node
    cpu = (data_centre.cpu_seconds - cpu_seconds) / per_node
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
    data_centre.run(_WARM_UP)
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
    data_centre.run(_WARM_UP)
    took = []
    late_count = 0
    for index in range(min(_LEAVINGS, fleet.endpoint_count)):
        last = data_centre.leave(index)
        if last is None:
            late_count += 1
        else:
            took.append(last / fleets.HOP)
    setting = f"{fleet}, loss {loss:.0%}"
    return [
        figure.Figure(
            "leaving_known_everywhere",
            statistics.median(took),
            "ms (1 ms a hop)",
            setting,
            f"worst {max(took):.0f} of {len(took)}",
        ),
        figure.Figure(
            "leaving_not_known_after_2_s",
            late_count,
            "leavings",
            setting,
        ),
    ]


def _measure_storm(fleet: fleets.Fleet) -> list[figure.Figure]:
    """Start every entry and every endpoint of a data centre at once."""
    data_centre = fleets.DataCentre(fleet)
    step = 0.1 * fleets.SECOND
    settled = None
    first_second_bytes = 0
    while (
        settled is None and data_centre.now < fleets.START + 30 * fleets.SECOND
    ):
        data_centre.run(step)
        if data_centre.now <= fleets.START + fleets.SECOND:
            first_second_bytes = data_centre.frame_bytes
        if data_centre.eligible_share() >= _SETTLED_SHARE:
            settled = data_centre.now - fleets.START
    per_node = 2 * first_second_bytes / fleet.entry_count
    setting = f"{fleet}, all start at once"
    return [
        figure.Figure("storm_first_second", per_node, "B/node", setting),
        figure.Figure(
            "storm_until_99_in_100_eligible",
            settled / fleets.SECOND if settled else float("nan"),
            "s",
            setting,
        ),
    ]


def _measure_heartbeats(node_count: int) -> list[figure.Figure]:
    """Have a control leader follow so many VMs, a heartbeat a second each.

    Relays hand on one batch a data centre and second.
    """
    seconds = 20
    lives = tuple(
        membership.VmIncarnation(
            model.VmId(f"entry-{number:03}"), model.Incarnation(1_700_000_000)
        )
        for number in range(node_count)
    )
    liveness = membership.VmLiveness()
    liveness.handle(membership.LeadershipGained(lives), fleets.START)
    size_bytes = 0
    begun = time.process_time()
    for second in range(seconds):
        now = fleets.START + second * fleets.SECOND
        batch = membership.HeartbeatBatch(
            tuple(
                membership.VmHeartbeat(
                    life.vm_id, life.incarnation, second + 1, 5000, True
                )
                for life in lives
            )
        )
        data = msgspec.msgpack.encode(batch)
        size_bytes += len(data)
        arrived = membership.HeartbeatsReceived(_BATCH_DECODER.decode(data))
        liveness.handle(arrived, now)
        liveness.handle(membership.LeaseTimerFired(), now)
        liveness.note_coverage(5000)
    spent = time.process_time() - begun
    setting = f"{node_count} VMs, 1 heartbeat/s each"
    return [
        figure.Figure(
            "heartbeats_to_leader", size_bytes / seconds, "B/s", setting
        ),
        figure.Figure(
            "heartbeats_cpu", 1000 * spent / seconds, "ms/s", setting
        ),
    ]


def _slope(
    name: str, figures: collections.abc.Iterable[figure.Figure]
) -> figure.Figure:
    """Fit a line to a figure against the entries of a data centre."""
    values = [found.value for found in figures if found.name == name]
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


def _ratios(
    figures: collections.abc.Iterable[figure.Figure],
) -> list[figure.Figure]:
    limits = {
        "gossip_with_headers": _NODE_LIMIT_BYTES,
        "membership_cpu": _NODE_LIMIT_CPU_MILLISECONDS,
    }
    return [
        figure.Figure(
            f"{found.name}_of_limit",
            found.value / limits[found.name],
            "ratio",
            found.setting,
        )
        for found in figures
        if found.name in limits and found.setting.startswith("320")
    ]


def measure() -> list[figure.Figure]:
    """Return what membership costs at each size, and the slopes."""
    figures: list[figure.Figure] = []
    for fleet in (*FLEETS, *_OTHER_SUBSETS):
        figures += _measure_fleet(fleet)
    figures += [
        _slope(name, figures)
        for name in ("gossip_frames", "gossip_payload", "membership_cpu")
    ]
    figures += _ratios(figures)
    figures += [_measure_memory(fleet) for fleet in FLEETS]
    for node_count in (20, 53, 107, 160, 320):
        figures += _measure_heartbeats(node_count)
    for fleet in FLEETS:
        figures += _measure_storm(fleet)
    for fleet in (FLEETS[0], FLEETS[-1]):
        for loss in (0.0, 0.2):
            figures += _measure_leaving(fleet, loss)
    return figures
