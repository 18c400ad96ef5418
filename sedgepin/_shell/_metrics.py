"""Metric sinks: statsd over UDP, and Prometheus text for scraping."""

import abc
import datetime

import prometheus_client
import statsd

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


class PrometheusSink(MetricSink):
    """Keeps counters and histograms for a Prometheus scrape.

    >>> sink = PrometheusSink()
    >>> sink.increment("request_answered", 1)
    >>> b'sedgepin_events_total{event="request_answered"} 1.0' in sink.text()
    True
    """

    __slots__ = ("_durations", "_events", "_registry")

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._events = prometheus_client.Counter(
            "sedgepin_events",
            "Log events by name.",
            ["event"],
            registry=self._registry,
        )
        self._durations = prometheus_client.Histogram(
            "sedgepin_duration_seconds",
            "How long something took, by name.",
            ["name"],
            buckets=_BUCKETS,
            registry=self._registry,
        )

    def increment(self, name: str, count: int) -> None:
        """Add ``count`` to the counter of the log event ``name``."""
        self._events.labels(name).inc(count)

    def record_duration(self, name: str, duration: datetime.timedelta) -> None:
        """Add a duration to the histogram ``name``."""
        self._durations.labels(name).observe(duration.total_seconds())

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)


def create_sink(cfg: settings.Statsd | None) -> MetricSink:
    """Return a statsd sink, or a null sink without statsd settings."""
    return NullSink() if cfg is None else StatsdSink(cfg)
