"""Metrics, sent by statsd over UDP where settings name a collector."""

import abc

import statsd

from sedgepin import settings


class MetricSink(abc.ABC):
    """Takes counters and gauges."""

    @abc.abstractmethod
    def count(self, name: str, count: int) -> None:
        """Add ``count`` to the counter ``name``."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""


class SilentSink(MetricSink):
    """Drops everything."""

    def count(self, name: str, count: int) -> None:
        """Drop a count."""

    def gauge(self, name: str, value: float) -> None:
        """Drop a gauge."""


class StatsdSink(MetricSink):
    """Sends to a statsd collector."""

    __slots__ = ("_client",)

    def __init__(self, cfg: settings.Statsd) -> None:
        host, _, port = cfg.address.rpartition(":")
        self._client = statsd.StatsClient(host, int(port), prefix=cfg.prefix)

    def count(self, name: str, count: int) -> None:
        """Add ``count`` to the counter ``name``."""
        self._client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        self._client.gauge(name, value)


def open_sink(cfg: settings.Statsd | None) -> MetricSink:
    """Return the sink that settings ask for."""
    return SilentSink() if cfg is None else StatsdSink(cfg)
