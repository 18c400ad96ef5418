"""How many requests may be sent a second time.

Retries come from a budget that successes fill, so that when many endpoints
fail at once the load on the others does not grow.  A started answer that is
resumed because its endpoint was declared dead is not a retry: see
``RetryRequest.resumes_after_death``.
"""

import dataclasses
import datetime
import enum
import typing

import msgspec
import result

from sedgepin import _model as model
from sedgepin import errors


class RetryRefusalReason(enum.Enum):
    """Why a retry was refused."""

    MAY_HAVE_RUN = "may_have_run"
    SAME_ENDPOINT = "same_endpoint"
    ENTRY_BUDGET_SPENT = "entry_budget_spent"
    SERVICE_BUDGET_SPENT = "service_budget_spent"


@dataclasses.dataclass(slots=True, frozen=True)
class RetryRefused(errors.Failure):
    """A request that is not sent again.

    It was sent once, so this type never says that it was not run.  Where
    the failed attempt is known not to have run, answer with its failure.
    """

    code: typing.ClassVar[str] = "retry_refused"
    title: typing.ClassVar[str] = "The request was not sent again"
    http_status: typing.ClassVar[int] = 503
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    reason: RetryRefusalReason
    retry_delay: datetime.timedelta | None = None

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return when the budget allows a retry again."""
        return self.retry_delay

    def detail(self) -> str:
        """Return the reason."""
        return f"{self.title}: {self.reason.value}"


class RetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The retry budget of one entry VM.

    ``share_of_successes`` of the successes is paid in, up to
    ``budget_limit``; ``reserve_per_second`` comes in at any time, so that a
    quiet service may retry too, up to ``reserve``.
    """

    share_of_successes: typing.Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    budget_limit: typing.Annotated[float, msgspec.Meta(gt=0)] = 50.0
    reserve: typing.Annotated[float, msgspec.Meta(ge=1)] = 3.0
    reserve_per_second: typing.Annotated[float, msgspec.Meta(gt=0)] = 0.2


@dataclasses.dataclass(slots=True, frozen=True)
class RetryRequest:
    """A wish to send a request again.

    ``may_have_run`` is true unless the endpoint refused before running or
    no byte was sent.  ``failed_endpoints`` names the endpoints that this
    request has failed on.
    """

    service: model.ServiceName
    idempotent: bool
    may_have_run: bool
    failed_endpoints: frozenset[model.EndpointId]
    target: model.EndpointId
    resumes_after_death: bool = False


class _Budget:
    __slots__ = ("_balance", "_settings", "_filled_at")

    def __init__(
        self, settings: RetrySettings, now: datetime.datetime
    ) -> None:
        self._settings = settings
        self._balance = settings.reserve
        self._filled_at = now

    def pay_in(self) -> None:
        limit = self._settings.budget_limit
        added = self._balance + self._settings.share_of_successes
        self._balance = min(limit, added)

    def available(self, now: datetime.datetime) -> bool:
        seconds = (now - self._filled_at).total_seconds()
        self._filled_at = now
        # The reserve never adds to what the successes have paid in.
        if self._balance < self._settings.reserve:
            earned = seconds * self._settings.reserve_per_second
            self._balance = min(self._settings.reserve, self._balance + earned)
        return self._balance >= 1.0

    def take(self) -> None:
        self._balance -= 1.0

    def returns_after(self) -> datetime.timedelta:
        missing = max(0.0, 1.0 - self._balance)
        return datetime.timedelta(
            seconds=missing / self._settings.reserve_per_second
        )


class RetryBudget:
    """The retries that one entry VM may spend, in all and for a service."""

    __slots__ = ("_settings", "_entry", "_services")

    def __init__(
        self, settings: RetrySettings, now: datetime.datetime
    ) -> None:
        self._settings = settings
        self._entry = _Budget(settings, now)
        self._services: dict[model.ServiceName, _Budget] = {}

    def record_success(
        self, service: model.ServiceName, now: datetime.datetime
    ) -> None:
        """Pay in for a request that was answered whole."""
        self._entry.pay_in()
        self._service(service, now).pay_in()

    def may_retry(
        self, request: RetryRequest, now: datetime.datetime
    ) -> result.Result[None, RetryRefused]:
        """Take one retry out of the budget, or say why not."""
        if request.may_have_run and not request.idempotent:
            return result.Err(RetryRefused(RetryRefusalReason.MAY_HAVE_RUN))
        if request.target in request.failed_endpoints:
            return result.Err(RetryRefused(RetryRefusalReason.SAME_ENDPOINT))
        if request.resumes_after_death:
            return result.Ok(None)
        service = self._service(request.service, now)
        if not self._entry.available(now):
            return self._spent(
                RetryRefusalReason.ENTRY_BUDGET_SPENT, self._entry
            )
        if not service.available(now):
            return self._spent(
                RetryRefusalReason.SERVICE_BUDGET_SPENT, service
            )
        self._entry.take()
        service.take()
        return result.Ok(None)

    def _service(
        self, service: model.ServiceName, now: datetime.datetime
    ) -> _Budget:
        budget = self._services.get(service)
        if budget is None:
            budget = _Budget(self._settings, now)
            self._services[service] = budget
        return budget

    def _spent(
        self, reason: RetryRefusalReason, budget: _Budget
    ) -> result.Err[RetryRefused]:
        return result.Err(RetryRefused(reason, budget.returns_after()))
