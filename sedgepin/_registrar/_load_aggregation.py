"""Aggregation of the loads that entry VMs report."""

import collections
import collections.abc
import dataclasses
import datetime

from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _effects

Effects = list[_effects.RegistrarEffect]

# Entry VMs report their load at the same interval.
_SEND_INTERVAL = datetime.timedelta(milliseconds=200)
# An entry VM that has missed five reports has failed, or reports to another
# control VM.
_REPORT_TTL = 5 * _SEND_INTERVAL


@dataclasses.dataclass(slots=True, frozen=True)
class _StoredReport:
    """The latest load report of an entry VM, and its arrival time."""

    message: protocol.LoadReported
    received_at: datetime.datetime


class LoadAggregator:
    """Sums the load reports of entry VMs and sends the sum back to them.

    >>> aggregator = LoadAggregator(now)
    >>> aggregator.record_report(entry, message, now)
    >>> aggregator.tick(now)
    [SendMessage(entry, LoadSummed(...))]
    """

    __slots__ = ("_reports", "_sent_at")

    def __init__(self, now: datetime.datetime) -> None:
        self._reports: dict[model.VmId, _StoredReport] = {}
        self._sent_at = now

    def record_report(
        self,
        sender: model.VmId,
        message: protocol.LoadReported,
        now: datetime.datetime,
    ) -> None:
        """Store the latest report of an entry VM."""
        self._reports[sender] = _StoredReport(message, now)

    def remove_entry(self, entry: model.VmId) -> None:
        """Remove the report of an entry VM that has disconnected."""
        self._reports.pop(entry, None)

    def tick(self, now: datetime.datetime) -> Effects:
        """Send the aggregated load to all reporting entry VMs if it is due.

        Reports that have expired are left out.
        """
        if now - self._sent_at < _SEND_INTERVAL:
            return []
        self._sent_at = now
        for entry, stored in tuple(self._reports.items()):
            if now - stored.received_at > _REPORT_TTL:
                del self._reports[entry]
        reports = [stored.message for stored in self._reports.values()]
        message = protocol.LoadSummed(
            _sum_loads(reports), _sum_retries(reports)
        )
        return [
            _effects.SendMessage(entry, message)
            for entry in sorted(self._reports)
        ]


_Reports = collections.abc.Iterable[protocol.LoadReported]


def _sum_loads(reports: _Reports) -> tuple[protocol.EndpointLoad, ...]:
    running: collections.Counter[model.EndpointId] = collections.Counter()
    tokens: collections.Counter[model.EndpointId] = collections.Counter()
    for report in reports:
        for load in report.loads:
            running[load.endpoint_id] += load.running
            tokens[load.endpoint_id] += load.tokens
    return tuple(
        protocol.EndpointLoad(endpoint_id, count, tokens[endpoint_id])
        for endpoint_id, count in running.items()
    )


def _sum_retries(reports: _Reports) -> tuple[protocol.RetryCount, ...]:
    first_attempts: collections.Counter[model.ServiceName] = (
        collections.Counter()
    )
    repeats: collections.Counter[model.ServiceName] = collections.Counter()
    for report in reports:
        for retry_count in report.retries:
            first_attempts[retry_count.service] += retry_count.firsts
            repeats[retry_count.service] += retry_count.repeats
    return tuple(
        protocol.RetryCount(service, count, repeats[service])
        for service, count in first_attempts.items()
    )
