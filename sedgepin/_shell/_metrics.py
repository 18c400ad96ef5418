"""Metric sinks: statsd over UDP, and Prometheus text for scraping."""

import abc
import bisect
import collections
import datetime
import itertools

import statsd

from sedgepin import _service_levels as service_levels
from sedgepin import settings


class MetricSink(abc.ABC):
    """Records counters and durations."""

    @abc.abstractmethod
    def increment(self, name: str, count: int) -> None:
        """Add ``count`` to the counter ``name``."""

    @abc.abstractmethod
    def record_duration(self, name: str, duration: datetime.timedelta) -> None:
        """Add a duration to the timer ``name``."""


class NullSink(MetricSink):
    """Discards all metrics."""

    def increment(self, name: str, count: int) -> None:
        """Discard a count."""

    def record_duration(self, name: str, duration: datetime.timedelta) -> None:
        """Discard a duration."""


class StatsdSink(MetricSink):
    """Sends metrics to a statsd server."""

    __slots__ = ("_client",)

    def __init__(self, cfg: settings.Statsd) -> None:
        host, _, port = cfg.address.rpartition(":")
        self._client = statsd.StatsClient(host, int(port), prefix=cfg.prefix)

    def increment(self, name: str, count: int) -> None:
        """Add ``count`` to the counter ``name``."""
        self._client.incr(name, count)

    def record_duration(self, name: str, duration: datetime.timedelta) -> None:
        """Send a duration to the timer ``name``, in milliseconds."""
        self._client.timing(name, duration)


# Upper bounds in seconds, from a fast call of a plain service up to the
# longest time that callers wait.
_BUCKETS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.35,
    0.5,
    0.75,
    1.0,
    2.0,
    3.5,
    5.0,
    10.0,
    20.0,
)


class _Histogram:
    """Counts of durations by the upper bounds of ``_BUCKETS``."""

    __slots__ = ("counts", "sum_seconds")

    def __init__(self) -> None:
        # The last count is that of durations above all bounds.
        self.counts = [0] * (len(_BUCKETS) + 1)
        self.sum_seconds = 0.0

    def add(self, seconds: float) -> None:
        self.counts[bisect.bisect_left(_BUCKETS, seconds)] += 1
        self.sum_seconds += seconds

    def cumulative(self) -> list[tuple[str, float]]:
        """Return the upper bounds with the counts up to each of them."""
        bounds = [*map(str, _BUCKETS), "+Inf"]
        totals = itertools.accumulate(self.counts)
        return [
            (bound, float(total))
            for bound, total in zip(bounds, totals, strict=True)
        ]


class PrometheusSink(MetricSink):
    """Keeps counters, histograms and gauges for a Prometheus scrape.

    The client library is imported by the first scrape, which keeps it out of
    the time in which a daemon starts.

    >>> sink = PrometheusSink()
    >>> sink.increment("request_answered", 1)
    >>> b'sedgepin_events_total{event="request_answered"} 1.0' in sink.text()
    True
    """

    __slots__ = (
        "_durations",
        "_events",
        "_gauges",
        "_levels",
        "_request_ends",
    )

    def __init__(self) -> None:
        self._events: collections.Counter[str] = collections.Counter()
        self._durations: collections.defaultdict[str, _Histogram] = (
            collections.defaultdict(_Histogram)
        )
        self._gauges: dict[str, dict[str, float]] = {}
        self._levels: list[service_levels.Level] = []
        self._request_ends: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def set_gauges(self, name: str, values: dict[str, float]) -> None:
        """Replace the values of the gauge ``name``, by their endpoint."""
        self._gauges[name] = values

    def set_levels(self, levels: list[service_levels.Level]) -> None:
        """Replace the totals by customer and route."""
        self._levels = levels

    def increment(self, name: str, count: int) -> None:
        """Add ``count`` to the counter of the log event ``name``."""
        self._events[name] += count

    def record_duration(self, name: str, duration: datetime.timedelta) -> None:
        """Add a duration to the histogram ``name``."""
        self._durations[name].add(duration.total_seconds())

    def count_request_end(self, end: str, closed_by: str) -> None:
        """Count a request that ended on its caller's connection."""
        self._request_ends[end, closed_by] += 1

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        import prometheus_client
        from prometheus_client import core

        counters = core.CounterMetricFamily(
            "sedgepin_events", "Log events by name.", labels=["event"]
        )
        for name, count in self._events.items():
            counters.add_metric([name], count)
        ends = core.CounterMetricFamily(
            "sedgepin_request_ends",
            "Ends of callers' requests, and who closed the connection first.",
            labels=["end", "closed_by"],
        )
        for labels, count in self._request_ends.items():
            ends.add_metric(labels, count)
        durations = core.HistogramMetricFamily(
            "sedgepin_duration_seconds",
            "How long something took, by name.",
            labels=["name"],
        )
        for name, histogram in self._durations.items():
            durations.add_metric(
                [name], histogram.cumulative(), histogram.sum_seconds
            )

        gauges: list[core.Metric] = []
        for name, values in self._gauges.items():
            gauge = core.GaugeMetricFamily(
                f"sedgepin_{name}", "By endpoint.", labels=["endpoint"]
            )
            for endpoint, value in values.items():
                gauge.add_metric([endpoint], value)
            gauges.append(gauge)

        outcomes = core.CounterMetricFamily(
            "sedgepin_requests",
            "Requests served, refused and late, by customer and route.",
            labels=["customer", "route", "result", "code"],
        )
        waiting = core.GaugeMetricFamily(
            "sedgepin_requests_waiting",
            "Requests that no endpoint has, by customer and route.",
            labels=["customer", "route"],
        )
        for level in self._levels:
            pair = [level.customer, level.route]
            waiting.add_metric(pair, level.waiting)
            for result, count in (
                ("served", level.served),
                ("late_first_output", level.late_first_outputs),
                ("late_pause", level.late_pauses),
            ):
                outcomes.add_metric([*pair, result, ""], count)
            for code, count in level.refused.items():
                outcomes.add_metric([*pair, "refused", code], count)

        class Collector:
            def collect(self) -> list[core.Metric]:
                return [
                    counters,
                    ends,
                    durations,
                    outcomes,
                    waiting,
                    *gauges,
                ]

        registry = prometheus_client.CollectorRegistry()
        registry.register(Collector())
        return prometheus_client.generate_latest(registry)


def create_sink(cfg: settings.Statsd | None) -> MetricSink:
    """Return a statsd sink, or a null sink without statsd settings."""
    return NullSink() if cfg is None else StatsdSink(cfg)
