"""The load that entry VMs report, summed for all of them."""

import collections
import collections.abc
import dataclasses
import datetime

from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _effects

Effects = list[_effects.RegistrarEffect]

# Entries report their load at the same rate.
_INTERVAL = datetime.timedelta(milliseconds=200)
# An entry that missed five reports is gone, or reports to another VM.
_REPORT_LIFE = 5 * _INTERVAL


@dataclasses.dataclass(slots=True, frozen=True)
class _Reported:
    """What one entry VM said, and when."""

    message: protocol.LoadReported
    at: datetime.datetime


class LoadAggregator:
    """Takes reports, and sends their sum to every entry that reports.

    >>> aggregator = LoadAggregator(now)
    >>> aggregator.record_report(entry, message, now)
    >>> aggregator.tick(now)
    [SendMessage(entry, LoadSummed(...))]
    """

    __slots__ = ("_reported", "_told_at")

    def __init__(self, now: datetime.datetime) -> None:
        self._reported: dict[model.VmId, _Reported] = {}
        self._told_at = now

    def record_report(
        self,
        sender: model.VmId,
        message: protocol.LoadReported,
        now: datetime.datetime,
    ) -> None:
        """Note what an entry VM reports."""
        self._reported[sender] = _Reported(message, now)

    def forget(self, entry: model.VmId) -> None:
        """Count an entry VM no more."""
        self._reported.pop(entry, None)

    def tick(self, now: datetime.datetime) -> Effects:
        """Send the sums when it is time."""
        if now - self._told_at < _INTERVAL:
            return []
        self._told_at = now
        for entry, reported in tuple(self._reported.items()):
            if now - reported.at > _REPORT_LIFE:
                del self._reported[entry]
        reports = [one.message for one in self._reported.values()]
        message = protocol.LoadSummed(_loads(reports), _retries(reports))
        return [
            _effects.SendMessage(entry, message)
            for entry in sorted(self._reported)
        ]


_Reports = collections.abc.Iterable[protocol.LoadReported]


def _loads(reports: _Reports) -> tuple[protocol.EndpointLoad, ...]:
    running: collections.Counter[model.EndpointId] = collections.Counter()
    tokens: collections.Counter[model.EndpointId] = collections.Counter()
    for report in reports:
        for one in report.loads:
            running[one.endpoint_id] += one.running
            tokens[one.endpoint_id] += one.tokens
    return tuple(
        protocol.EndpointLoad(endpoint_id, count, tokens[endpoint_id])
        for endpoint_id, count in running.items()
    )


def _retries(reports: _Reports) -> tuple[protocol.RetryCount, ...]:
    firsts: collections.Counter[model.ServiceName] = collections.Counter()
    repeats: collections.Counter[model.ServiceName] = collections.Counter()
    for report in reports:
        for one in report.retries:
            firsts[one.service] += one.firsts
            repeats[one.service] += one.repeats
    return tuple(
        protocol.RetryCount(service, count, repeats[service])
        for service, count in firsts.items()
    )
