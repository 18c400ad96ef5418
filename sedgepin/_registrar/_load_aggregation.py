"""Aggregation of the loads that entry VMs report.

Each entry VM reports to one control VM.  The control VMs send each other the
sums of their own entry VMs, so that each can send the load of the whole fleet
to its entry VMs.  So the work of a control VM grows with its share of the
fleet, and little is sent between data centres.
"""

import collections
import collections.abc
import dataclasses
import datetime

from sedgepin import _model as model
from sedgepin import _pace as pace
from sedgepin import _protocol as protocol
from sedgepin._registrar import _effects
from sedgepin._registrar import _pace_sums

Effects = list[_effects.RegistrarEffect]

# Entry VMs report their load at the same interval.
_SEND_INTERVAL = datetime.timedelta(milliseconds=200)
# The sums of other control VMs are part of what entry VMs are sent.  So they
# are exchanged more often, to be less out of date.
_SHARE_INTERVAL = datetime.timedelta(milliseconds=100)
# An entry VM that has missed five reports has failed, or reports to another
# control VM.
_REPORT_TTL = 5 * _SEND_INTERVAL

_ListEndpoints = collections.abc.Callable[
    [], collections.abc.Collection[pace.PacedEndpoint] | None
]


@dataclasses.dataclass(slots=True, frozen=True)
class _StoredReport:
    """The latest load of an entry VM or control VM, and its arrival time."""

    message: protocol.LoadReported | protocol.LoadShared
    received_at: datetime.datetime


class LoadAggregator:
    """Sums the load reports of entry VMs and sends the sum back to them.

    With the sum go the limits of endpoints, of at least ``smallest_limit``;
    with 0 there are none.

    >>> aggregator = LoadAggregator(now)
    >>> aggregator.record_report(entry, message, now)
    >>> aggregator.tick(now)
    [SendMessage(entry, LoadSummed(...))]
    """

    __slots__ = ("_pace", "_reports", "_sent_at", "_shared_at", "_shares")

    def __init__(
        self,
        now: datetime.datetime,
        smallest_limit: int = pace.SMALLEST_LIMIT,
    ) -> None:
        self._pace = _pace_sums.PaceSums(now, smallest_limit)
        self._reports: dict[model.VmId, _StoredReport] = {}
        self._shares: dict[model.VmId, _StoredReport] = {}
        self._sent_at = now
        self._shared_at = now

    @property
    def entry_count(self) -> int:
        """Return the number of entry VMs that report, here or elsewhere."""
        return len(self._reports) + sum(
            stored.message.entry_count
            for stored in self._shares.values()
            if isinstance(stored.message, protocol.LoadShared)
        )

    @property
    def entries(self) -> collections.abc.Set[model.VmId]:
        """Return the entry VMs that report here."""
        return self._reports.keys()

    def record_report(
        self,
        sender: model.VmId,
        message: protocol.LoadReported,
        now: datetime.datetime,
    ) -> None:
        """Store the latest report of an entry VM."""
        self._pace.record_report(message, now)
        self._reports[sender] = _StoredReport(message, now)

    def record_share(
        self,
        sender: model.VmId,
        message: protocol.LoadShared,
        now: datetime.datetime,
    ) -> None:
        """Store the latest sum of another control VM."""
        self._pace.record_share(message, now)
        self._shares[sender] = _StoredReport(message, now)

    def remove_peer(self, peer_id: model.VmId) -> None:
        """Remove the report of an entry VM that has disconnected.

        The sum of a control VM stays until it expires, since its entry VMs go
        on for longer than that.
        """
        self._reports.pop(peer_id, None)

    def tick(
        self,
        now: datetime.datetime,
        controls: collections.abc.Iterable[model.VmId] = (),
        knows_leader: bool = True,
        configuration_version: int = -1,
        list_endpoints: _ListEndpoints = tuple,
    ) -> Effects:
        """Send the aggregated load to all reporting entry VMs if it is due.

        ``controls`` are sent the sum of this VM's own entry VMs.  Reports
        that have expired are left out.  ``list_endpoints`` returns the
        endpoints that may need a limit, or ``None`` if they are not known yet.
        """
        effects: Effects = []
        if now - self._shared_at >= _SHARE_INTERVAL:
            self._shared_at = now
            effects += self._share(sorted(controls), now)
        if now - self._sent_at < _SEND_INTERVAL:
            return effects
        self._sent_at = now
        _remove_expired(self._reports, now)
        _remove_expired(self._shares, now)
        reports = [
            stored.message
            for stored in (*self._reports.values(), *self._shares.values())
        ]
        self._pace.decide(list_endpoints(), reports, now)
        effects += [
            _effects.WriteLog(pace.change_line(change))
            for change in self._pace.take_changes()
        ]
        if not self._reports:
            return effects
        message = protocol.LoadSummed(
            _sum_loads(reports),
            _sum_retries(reports),
            self.entry_count,
            knows_leader,
            configuration_version,
            _count_stopping(reports),
            self._pace.limits,
        )
        return effects + [
            _effects.SendMessage(entry, message)
            for entry in sorted(self._reports)
        ]

    def _share(
        self, controls: list[model.VmId], now: datetime.datetime
    ) -> Effects:
        _remove_expired(self._reports, now)
        reports = [stored.message for stored in self._reports.values()]
        progress = self._pace.take_progress(reports)
        if not controls:
            return []
        message = protocol.LoadShared(
            _sum_loads(reports),
            _sum_retries(reports),
            len(reports),
            _count_stopping(reports),
            progress,
            self._pace.limits,
        )
        return [_effects.SendMessage(control, message) for control in controls]


def _remove_expired(
    reports: dict[model.VmId, _StoredReport], now: datetime.datetime
) -> None:
    for sender, stored in tuple(reports.items()):
        if now - stored.received_at > _REPORT_TTL:
            del reports[sender]


_Reports = collections.abc.Iterable[
    protocol.LoadReported | protocol.LoadShared
]


def _count_stopping(reports: _Reports) -> int:
    return sum(
        report.stopping_count
        if isinstance(report, protocol.LoadShared)
        else report.is_stopping
        for report in reports
    )


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
