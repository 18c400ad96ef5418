"""Retry budgets.

Retries are paid from a budget that grows with successful requests, so that
retries do not overload the remaining endpoints when many fail at once.
Resuming a started answer after its endpoint was declared dead is not charged:
see ``RetryRequest.resumes_after_death``.
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
    """The request was not retried.

    It was sent once, so the outcome is unknown.  If the failed attempt is
    known not to have run, answer with the failure of that attempt instead.
    """

    code: typing.ClassVar[str] = "retry_refused"
    title: typing.ClassVar[str] = "The request was not sent again"
    http_status: typing.ClassVar[int] = 503
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    reason: RetryRefusalReason
    retry_delay: datetime.timedelta | None = None

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return the time until the exhausted budget allows a retry."""
        return self.retry_delay

    def detail(self) -> str:
        """Return the title and the reason."""
        return f"{self.title}: {self.reason.value}"


class RetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The retry budget of one entry VM.

    Each successful request adds ``share_of_successes`` retries, up to
    ``budget_limit``.  Independently of successes, ``reserve_per_second``
    retries are added up to ``reserve``, so that a service with few requests
    can retry too.
    """

    share_of_successes: typing.Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    budget_limit: typing.Annotated[float, msgspec.Meta(gt=0)] = 50.0
    reserve: typing.Annotated[float, msgspec.Meta(ge=1)] = 3.0
    reserve_per_second: typing.Annotated[float, msgspec.Meta(gt=0)] = 0.2


@dataclasses.dataclass(slots=True, frozen=True)
class RetryRequest:
    """A request to retry after a failed attempt.

    ``may_have_run`` is true unless no byte was sent or the endpoint refused
    before running.  ``failed_endpoints`` are the endpoints on which this
    request has failed; ``target`` is the endpoint of the retry.
    ``resumes_after_death`` is set when a started answer is resumed after its
    endpoint was declared dead.
    """

    service: model.ServiceName
    idempotent: bool
    may_have_run: bool
    failed_endpoints: frozenset[model.EndpointId]
    target: model.EndpointId
    resumes_after_death: bool = False


class _Budget:
    __slots__ = ("_balance", "_settings", "_refilled_at")

    def __init__(
        self, settings: RetrySettings, now: datetime.datetime
    ) -> None:
        self._settings = settings
        self._balance = settings.reserve
        self._refilled_at = now

    def deposit(self) -> None:
        limit = self._settings.budget_limit
        added = self._balance + self._settings.share_of_successes
        self._balance = min(limit, added)

    def is_available(self, now: datetime.datetime) -> bool:
        """Refill the reserve; return whether the balance pays a retry."""
        seconds = (now - self._refilled_at).total_seconds()
        self._refilled_at = now
        # The reserve only refills a balance below it; it is not added to
        # the deposits of successful requests.
        if self._balance < self._settings.reserve:
            earned = seconds * self._settings.reserve_per_second
            self._balance = min(self._settings.reserve, self._balance + earned)
        return self._balance >= 1.0

    def withdraw(self) -> None:
        self._balance -= 1.0

    def delay_until_available(self) -> datetime.timedelta:
        missing = max(0.0, 1.0 - self._balance)
        return datetime.timedelta(
            seconds=missing / self._settings.reserve_per_second
        )


class RetryBudget:
    """Retry budgets of one entry VM: one in total and one per service."""

    __slots__ = ("_settings", "_entry_budget", "_service_budgets")

    def __init__(
        self, settings: RetrySettings, now: datetime.datetime
    ) -> None:
        self._settings = settings
        self._entry_budget = _Budget(settings, now)
        self._service_budgets: dict[model.ServiceName, _Budget] = {}

    def record_success(
        self, service: model.ServiceName, now: datetime.datetime
    ) -> None:
        """Add to both budgets after a request was answered completely."""
        self._entry_budget.deposit()
        self._service_budget(service, now).deposit()

    def may_retry(
        self, request: RetryRequest, now: datetime.datetime
    ) -> result.Result[None, RetryRefused]:
        """Charge one retry to both budgets, or return why it is refused."""
        if request.may_have_run and not request.idempotent:
            return result.Err(RetryRefused(RetryRefusalReason.MAY_HAVE_RUN))
        if request.target in request.failed_endpoints:
            return result.Err(RetryRefused(RetryRefusalReason.SAME_ENDPOINT))
        if request.resumes_after_death:
            return result.Ok(None)
        service = self._service_budget(request.service, now)
        if not self._entry_budget.is_available(now):
            return self._refuse_exhausted(
                RetryRefusalReason.ENTRY_BUDGET_SPENT, self._entry_budget
            )
        if not service.is_available(now):
            return self._refuse_exhausted(
                RetryRefusalReason.SERVICE_BUDGET_SPENT, service
            )
        self._entry_budget.withdraw()
        service.withdraw()
        return result.Ok(None)

    def _service_budget(
        self, service: model.ServiceName, now: datetime.datetime
    ) -> _Budget:
        budget = self._service_budgets.get(service)
        if budget is None:
            budget = _Budget(self._settings, now)
            self._service_budgets[service] = budget
        return budget

    def _refuse_exhausted(
        self, reason: RetryRefusalReason, budget: _Budget
    ) -> result.Err[RetryRefused]:
        return result.Err(RetryRefused(reason, budget.delay_until_available()))
