"""Metrics, sent by statsd over UDP where settings name a collector."""

import abc
import datetime

import statsd

from sedgepin import settings


class MetricSink(abc.ABC):
    """Takes counters and durations."""

    @abc.abstractmethod
    def count(self, name: str, count: int) -> None:
        """Add ``count`` to the counter ``name``."""

    @abc.abstractmethod
    def time(self, name: str, took: datetime.timedelta) -> None:
        """Tell how long something took."""


class SilentSink(MetricSink):
    """Drops everything."""

    def count(self, name: str, count: int) -> None:
        """Drop a count."""

    def time(self, name: str, took: datetime.timedelta) -> None:
        """Drop a duration."""


class StatsdSink(MetricSink):
    """Sends to a statsd collector."""

    __slots__ = ("_client",)

    def __init__(self, cfg: settings.Statsd) -> None:
        host, _, port = cfg.address.rpartition(":")
        self._client = statsd.StatsClient(host, int(port), prefix=cfg.prefix)

    def count(self, name: str, count: int) -> None:
        """Add ``count`` to the counter ``name``."""
        self._client.incr(name, count)

    def time(self, name: str, took: datetime.timedelta) -> None:
        """Tell how long something took; statsd takes milliseconds."""
        self._client.timing(name, took)


def open_sink(cfg: settings.Statsd | None) -> MetricSink:
    """Return the sink that settings ask for."""
    return SilentSink() if cfg is None else StatsdSink(cfg)
