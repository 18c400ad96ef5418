"""The request limits that endpoints name, as one VM knows them."""

import collections
import dataclasses
import datetime

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import events

# Incarnations that are kept in mind.  Far more than name a limit at a time.
_MAX_INCARNATIONS = 4096
# Answers that were sent before a limit was named arrive this late at most.
_MAX_ANSWER_DELAY = datetime.timedelta(milliseconds=500)
# All VMs in reach know of the end of a limit after this time.
_MAX_SPREAD_TIME = datetime.timedelta(seconds=2)

_Incarnation = tuple[model.EndpointId, int]


@dataclasses.dataclass(slots=True, frozen=True)
class LimitChange:
    """A limit that was named, changed or ended.

    ``requests_per_second`` is ``None`` if there is no limit any more, and
    ``before`` if there was none before.  ``age`` is the time since it was
    first named.
    """

    endpoint_id: model.EndpointId
    incarnation: int
    requests_per_second: float | None
    before: float | None
    age: datetime.timedelta


@dataclasses.dataclass(slots=True)
class RequestLimit:
    """How many requests a second an endpoint takes from all VMs together.

    ``is_named_by_checks`` is set once the answer to a check has named it;
    then it is named without any request, too.
    """

    requests_per_second: float
    first_named_at: datetime.datetime
    named_at: datetime.datetime
    is_named_by_checks: bool = False


class RequestLimits:
    """The limits in force, by the incarnation of the endpoint.

    An endpoint names its limit in each answer, and an answer without one ends
    it.  Another VM may have heard of either first.

    >>> limits = RequestLimits()
    >>> limits.record_answer(endpoint_id, 1, notice, False, now)
    LimitChange(endpoint_id, 1, requests_per_second=8.1, before=None, ...)
    >>> limits.find(endpoint_id, 1).requests_per_second
    8.1
    """

    __slots__ = ("_ended_at", "_limits", "_malformed")

    def __init__(self) -> None:
        # When limits ended that have not been named again since.
        self._ended_at: collections.OrderedDict[
            _Incarnation, datetime.datetime
        ] = collections.OrderedDict()
        self._limits: dict[_Incarnation, RequestLimit] = {}
        self._malformed: collections.OrderedDict[_Incarnation, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._limits)

    def find(
        self, endpoint_id: model.EndpointId, incarnation: int
    ) -> RequestLimit | None:
        """Return the limit of an endpoint, if it names one."""
        if not self._limits:
            return None
        return self._limits.get((endpoint_id, incarnation))

    def all(self) -> list[tuple[model.EndpointId, int, RequestLimit]]:
        """Return all limits in force."""
        return [
            (endpoint_id, incarnation, limit)
            for (endpoint_id, incarnation), limit in self._limits.items()
        ]

    def record_answer(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        notice: catalog.EndpointNotice,
        is_check: bool,
        now: datetime.datetime,
    ) -> LimitChange | None:
        """Record what the head of an answer says, or does not say.

        A malformed limit changes nothing.  The answer to a check ends a limit
        only if the answers to checks have named it.
        """
        if notice.malformed_request_limit is not None:
            return None
        if notice.request_limit is not None:
            return self._set(
                endpoint_id, incarnation, notice.request_limit, is_check, now
            )
        limit = self.find(endpoint_id, incarnation)
        if limit is None or now - limit.named_at < _MAX_ANSWER_DELAY:
            return None
        if is_check and not limit.is_named_by_checks:
            return None
        return self._remove(endpoint_id, incarnation, now)

    def merge(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        requests_per_second: float | None,
        now: datetime.datetime,
    ) -> LimitChange | None:
        """Take over what another VM has heard."""
        if requests_per_second is None:
            return self._remove(endpoint_id, incarnation, now)
        return self._set(
            endpoint_id, incarnation, requests_per_second, False, now
        )

    def adopt(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        requests_per_second: float,
        now: datetime.datetime,
    ) -> None:
        """Take over a limit that another VM goes by, if none is known here.

        That VM may not have heard that it has just ended.
        """
        if self.find(endpoint_id, incarnation) is not None:
            return
        ended_at = self._ended_at.get((endpoint_id, incarnation))
        if ended_at is not None and now - ended_at < _MAX_SPREAD_TIME:
            return
        self._set(endpoint_id, incarnation, requests_per_second, False, now)

    def record_malformed(
        self, endpoint_id: model.EndpointId, incarnation: int
    ) -> bool:
        """Record an unreadable limit; return whether it is the first one."""
        key = (endpoint_id, incarnation)
        is_new = key not in self._malformed
        self._malformed[key] = None
        if len(self._malformed) > _MAX_INCARNATIONS:
            self._malformed.popitem(last=False)
        return is_new

    def remove_ended(
        self, endpoint_id: model.EndpointId, incarnation: int
    ) -> None:
        """Forget an incarnation that is gone."""
        self._limits.pop((endpoint_id, incarnation), None)

    def _set(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        requests_per_second: float,
        is_check: bool,
        now: datetime.datetime,
    ) -> LimitChange | None:
        key = (endpoint_id, incarnation)
        limit = self._limits.get(key)
        if limit is None:
            if len(self._limits) >= _MAX_INCARNATIONS:
                oldest = min(
                    self._limits, key=lambda key: self._limits[key].named_at
                )
                del self._limits[oldest]
            limit = RequestLimit(requests_per_second, now, now, is_check)
            self._limits[key] = limit
            before = None
        else:
            before = limit.requests_per_second
            limit.requests_per_second = requests_per_second
            limit.named_at = now
            limit.is_named_by_checks |= is_check
        if before == requests_per_second:
            return None
        return LimitChange(
            endpoint_id,
            incarnation,
            requests_per_second,
            before,
            now - limit.first_named_at,
        )

    def _remove(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
    ) -> LimitChange | None:
        key = (endpoint_id, incarnation)
        limit = self._limits.pop(key, None)
        if limit is None:
            return None
        self._ended_at[key] = now
        self._ended_at.move_to_end(key)
        if len(self._ended_at) > _MAX_INCARNATIONS:
            self._ended_at.popitem(last=False)
        return LimitChange(
            endpoint_id,
            incarnation,
            None,
            limit.requests_per_second,
            now - limit.first_named_at,
        )


def change_line(change: LimitChange, told_by: str) -> events.LogLine:
    """Return the log line of a change; ``told_by`` is who told this VM."""
    if change.requests_per_second is None:
        return events.ENDPOINT_LIMIT_ENDED.line(
            endpoint=change.endpoint_id,
            incarnation=change.incarnation,
            before=change.before,
            milliseconds=int(change.age.total_seconds() * 1000),
            told_by=told_by,
        )
    return events.ENDPOINT_LIMITED.line(
        endpoint=change.endpoint_id,
        incarnation=change.incarnation,
        requests_per_second=change.requests_per_second,
        before=change.before,
        told_by=told_by,
    )
