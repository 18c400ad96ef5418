"""Requests that crash the endpoints that run them.

Such a request comes again and again, at any entry VM, and would take one
engine after the other out of service.  Every endpoint death names the
requests aboard; one that was aboard several is run no more.  An innocent
request is aboard one death, rarely two, since each of its endpoints must die
within the seconds that it runs.
"""

import dataclasses
import datetime

from sedgepin import _model as model

# Deaths after which a request is run no more: the bound that the deployment
# sets, counted in endpoints that it crashed.
_DEATH_LIMIT = 3
# How long after an attempt its endpoint's death still names it: a dead
# endpoint is found out within the time that its heartbeats may be missing.
_ABOARD_TIME = datetime.timedelta(seconds=6)
# Callers that send such a request again do so within minutes.
_MEMORY = datetime.timedelta(minutes=10)
_FINGERPRINT_LIMIT = 4096


@dataclasses.dataclass(slots=True, frozen=True)
class _Aboard:
    fingerprint: str
    incarnation: int
    at: datetime.datetime


@dataclasses.dataclass(slots=True)
class _Record:
    deaths: set[tuple[model.EndpointId, int]]
    at: datetime.datetime


class Crashes:
    """Counts, for each request, the endpoints that died running it.

    >>> crashes = Crashes()
    >>> crashes.broke_off("f", endpoint_id, 1, now)
    >>> crashes.died(endpoint_id, 1, now)
    ('f',)
    """

    __slots__ = ("_aboard", "_records")

    def __init__(self) -> None:
        self._aboard: dict[model.EndpointId, list[_Aboard]] = {}
        self._records: dict[str, _Record] = {}

    def broke_off(
        self,
        fingerprint: str,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> None:
        """Note that a request's attempt broke off at an endpoint."""
        aboard = self._aboard.setdefault(endpoint_id, [])
        aboard.append(_Aboard(fingerprint, incarnation, now))

    def died(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> tuple[str, ...]:
        """Return the requests that were aboard an endpoint that died."""
        aboard = self._aboard.pop(endpoint_id, [])
        named = tuple(
            dict.fromkeys(
                one.fingerprint
                for one in aboard
                if one.incarnation == incarnation
                and now - one.at <= _ABOARD_TIME
            )
        )
        for fingerprint in named:
            self.witness(fingerprint, endpoint_id, incarnation, now)
        return named

    def witness(
        self,
        fingerprint: str,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> None:
        """Note a death with a request aboard, seen here or by another VM."""
        record = self._records.get(fingerprint)
        if record is None:
            self._make_room(now)
            record = _Record(set(), now)
            self._records[fingerprint] = record
        record.deaths.add((endpoint_id, incarnation))
        record.at = now

    def is_barred(self, fingerprint: str, now: datetime.datetime) -> bool:
        """Tell whether a request is run no more."""
        record = self._records.get(fingerprint)
        if record is None or now - record.at > _MEMORY:
            return False
        return len(record.deaths) >= _DEATH_LIMIT

    def _make_room(self, now: datetime.datetime) -> None:
        """Forget old records, and the oldest where there are too many."""
        if len(self._records) < _FINGERPRINT_LIMIT:
            return
        by_age = sorted(self._records, key=lambda one: self._records[one].at)
        for fingerprint in by_age[: _FINGERPRINT_LIMIT // 4]:
            del self._records[fingerprint]
