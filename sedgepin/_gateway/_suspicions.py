"""Exponential backoff for endpoints that failed recently."""

import dataclasses
import datetime

from sedgepin import _model as model

_MIN_BACKOFF = datetime.timedelta(milliseconds=500)
_MAX_BACKOFF = datetime.timedelta(seconds=4)
# How long an endpoint stays excluded until its probe has ended.
_PROBE_TIME = datetime.timedelta(milliseconds=450)
# Failures further apart than this are unrelated, so the backoff starts at the
# minimum again.
_BACKOFF_RESET_AFTER = datetime.timedelta(seconds=10)


@dataclasses.dataclass(slots=True)
class _Suspicion:
    """``probed_at`` is set once a probe was begun after the backoff."""

    failed_at: datetime.datetime
    backoff: datetime.timedelta
    incarnation: int
    is_unreached: bool = False
    probed_at: datetime.datetime | None = None


class Suspicions:
    """Tracks which endpoints are excluded from new work after a failure.

    Each failure doubles the backoff, up to a maximum.  A new incarnation of
    an endpoint starts without suspicion.  An endpoint that could not be
    connected to is probed after its backoff, so that no request has to find
    out whether it can be now.

    >>> suspicions = Suspicions()
    >>> suspicions.record_failure(endpoint_id, 1, now)
    >>> suspicions.is_suspected(endpoint_id, 1, now)
    True
    """

    __slots__ = ("_by_endpoint", "_invalid_answers")

    def __init__(self) -> None:
        self._by_endpoint: dict[model.EndpointId, _Suspicion] = {}
        # The incarnation and time of the last one since a valid answer.
        self._invalid_answers: dict[
            model.EndpointId, tuple[int, datetime.datetime]
        ] = {}

    def record_invalid_answer(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> bool:
        """Record that an endpoint sent what is no answer.

        Return whether it did so before, a short while ago, with no valid
        answer since.  One such answer may be due to its request.
        """
        previous = self._invalid_answers.get(endpoint_id)
        self._invalid_answers[endpoint_id] = (incarnation, now)
        return (
            previous is not None
            and previous[0] == incarnation
            and now - previous[1] < _BACKOFF_RESET_AFTER
        )

    def record_failure(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
        is_unreached: bool = False,
    ) -> None:
        """Record a failure; one during a backoff does not extend it.

        ``is_unreached`` tells that no connection could be made.
        """
        suspicion = self._by_endpoint.get(endpoint_id)
        backoff = _MIN_BACKOFF
        if suspicion is not None and suspicion.incarnation == incarnation:
            if now < suspicion.failed_at + suspicion.backoff:
                return
            if now - suspicion.failed_at < _BACKOFF_RESET_AFTER:
                backoff = min(_MAX_BACKOFF, suspicion.backoff * 2)
        self._by_endpoint[endpoint_id] = _Suspicion(
            now, backoff, incarnation, is_unreached
        )

    def begin_probes(
        self, now: datetime.datetime
    ) -> list[tuple[model.EndpointId, int]]:
        """Return the endpoints to probe now, with their incarnations.

        They count as being probed.  Suspicions that are over are removed.
        """
        due: list[tuple[model.EndpointId, int]] = []
        for endpoint_id, suspicion in list(self._by_endpoint.items()):
            ends_at = suspicion.failed_at + suspicion.backoff
            if now >= ends_at + _BACKOFF_RESET_AFTER:
                del self._by_endpoint[endpoint_id]
            elif (
                suspicion.is_unreached
                and suspicion.probed_at is None
                and now >= ends_at
            ):
                suspicion.probed_at = now
                due.append((endpoint_id, suspicion.incarnation))
        return due

    def is_probed(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Return whether the end of a probe decides on an endpoint."""
        suspicion = self._by_endpoint.get(endpoint_id)
        return (
            suspicion is not None
            and suspicion.probed_at is not None
            and now < suspicion.probed_at + _PROBE_TIME
        )

    def repeat_probe(self, endpoint_id: model.EndpointId) -> None:
        """Probe an endpoint again, as the last one told nothing of it."""
        suspicion = self._by_endpoint.get(endpoint_id)
        if suspicion is not None:
            suspicion.probed_at = None

    def is_suspected(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> bool:
        """Return whether an endpoint is excluded from new work now."""
        suspicion = self._by_endpoint.get(endpoint_id)
        if suspicion is None or suspicion.incarnation != incarnation:
            return False
        if self.is_probed(endpoint_id, now):
            return True
        return now < suspicion.failed_at + suspicion.backoff

    def clear(self, endpoint_id: model.EndpointId) -> None:
        """Remove the suspicion of an endpoint that answered."""
        self._by_endpoint.pop(endpoint_id, None)

    def record_valid_answer(self, endpoint_id: model.EndpointId) -> None:
        """Record a complete answer, which also removes the suspicion."""
        self.clear(endpoint_id)
        self._invalid_answers.pop(endpoint_id, None)
