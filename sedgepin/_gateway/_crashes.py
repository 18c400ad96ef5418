"""Quarantine for requests that crash the endpoints that run them.

A caller may retry such a request at any entry VM, and each retry would take
another engine out of service.  So each endpoint crash is recorded for all
requests that were in flight on it, and a request with several crashes is
rejected.  A harmless request is rarely in flight at more than one crash,
because it runs for a few seconds only.
"""

import dataclasses
import datetime

from sedgepin._gateway import _calls
from sedgepin import _model as model

# A request that has crashed this many endpoints is rejected, because the
# deployment allows no more.
_QUARANTINE_THRESHOLD = 3
# A crash is attributed to attempts that failed up to this long before it was
# detected.  Detection takes up to the heartbeat timeout.
_CRASH_ATTRIBUTION_WINDOW = datetime.timedelta(seconds=6)
# Callers retry a request that crashed an endpoint within minutes.
_RECORD_TTL = datetime.timedelta(minutes=10)
_MAX_RECORDS = 4096


@dataclasses.dataclass(slots=True, frozen=True)
class _InFlightRequest:
    request: _calls.CallerRequest
    incarnation: int
    failed_at: datetime.datetime


@dataclasses.dataclass(slots=True)
class _CrashRecord:
    crashes: set[tuple[model.EndpointId, int]]
    last_crash_at: datetime.datetime


class CrashTracker:
    """Counts the endpoint crashes at which each request was in flight.

    Requests are identified by ``CallerRequest.fingerprint``, so that retries
    of the same request share one record.

    >>> tracker = CrashTracker()
    >>> tracker.record_failed_attempt(request, endpoint_id, 1, now)
    >>> tracker.record_endpoint_crash(endpoint_id, 1, now)
    [CallerRequest(...)]
    """

    __slots__ = ("_in_flight", "_records")

    def __init__(self) -> None:
        self._in_flight: dict[model.EndpointId, list[_InFlightRequest]] = {}
        self._records: dict[str, _CrashRecord] = {}

    def record_failed_attempt(
        self,
        request: _calls.CallerRequest,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> None:
        """Record a failed attempt, in case its endpoint has crashed."""
        requests = self._in_flight.setdefault(endpoint_id, [])
        requests.append(_InFlightRequest(request, incarnation, now))

    def record_endpoint_crash(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> list[_calls.CallerRequest]:
        """Record a crash for all requests that were in flight on an endpoint.

        Return these requests.
        """
        requests = [
            in_flight.request
            for in_flight in self._in_flight.pop(endpoint_id, [])
            if in_flight.incarnation == incarnation
            and now - in_flight.failed_at <= _CRASH_ATTRIBUTION_WINDOW
        ]
        for request in requests:
            self.record_crash(
                request.fingerprint, endpoint_id, incarnation, now
            )
        return requests

    def record_crash(
        self,
        fingerprint: str,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> None:
        """Record a crash for one request, observed here or by another VM."""
        record = self._records.get(fingerprint)
        if record is None:
            self._evict_oldest(now)
            record = _CrashRecord(set(), now)
            self._records[fingerprint] = record
        record.crashes.add((endpoint_id, incarnation))
        record.last_crash_at = now

    def is_quarantined(self, fingerprint: str, now: datetime.datetime) -> bool:
        """Return whether a request has crashed too many endpoints to run."""
        record = self._records.get(fingerprint)
        if record is None or now - record.last_crash_at > _RECORD_TTL:
            return False
        return len(record.crashes) >= _QUARANTINE_THRESHOLD

    def _evict_oldest(self, now: datetime.datetime) -> None:
        """Remove the oldest quarter of the records once there are too many."""
        if len(self._records) < _MAX_RECORDS:
            return
        by_age = sorted(
            self._records, key=lambda key: self._records[key].last_crash_at
        )
        for fingerprint in by_age[: _MAX_RECORDS // 4]:
            del self._records[fingerprint]
