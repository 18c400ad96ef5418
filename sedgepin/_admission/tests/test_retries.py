"""What may be sent a second time."""

import datetime

from sedgepin import _admission as admission
from sedgepin import _model as model
from sedgepin import errors

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
SECOND = datetime.timedelta(seconds=1)
GATE = model.ServiceName("gate")
LEDGER = model.ServiceName("ledger")


def request(
    service: model.ServiceName = GATE,
    idempotent: bool = True,
    may_have_run: bool = True,
    target: str = "e2",
    resumes: bool = False,
) -> admission.RetryRequest:
    return admission.RetryRequest(
        service,
        idempotent,
        may_have_run,
        frozenset({model.EndpointId("e1")}),
        model.EndpointId(target),
        resumes,
    )


def spend(
    budget: admission.RetryBudget,
    service: model.ServiceName,
    now: datetime.datetime = START,
) -> int:
    spent = 0
    while budget.may_retry(request(service), now).is_ok():
        spent += 1
    return spent


class TestRetryBudget:
    def test_never(self) -> None:
        reasons = admission.RetryRefusalReason
        table = (
            (request(idempotent=False), reasons.MAY_HAVE_RUN),
            (request(idempotent=False, resumes=True), reasons.MAY_HAVE_RUN),
            (request(target="e1"), reasons.SAME_ENDPOINT),
            (request(target="e1", resumes=True), reasons.SAME_ENDPOINT),
        )
        budget = admission.RetryBudget(admission.RetrySettings(), START)
        for wish, reason in table:
            refused = budget.may_retry(wish, START).unwrap_err()
            assert refused.reason == reason
            assert refused.outcome == errors.Outcome.UNKNOWN
        not_run = request(idempotent=False, may_have_run=False)
        assert budget.may_retry(not_run, START).is_ok()

    def test_a_tenth_of_the_successes_and_a_reserve(self) -> None:
        settings = admission.RetrySettings(budget_limit=1000)
        budget = admission.RetryBudget(settings, START)
        assert spend(budget, GATE) == 3
        for _ in range(2000):
            budget.record_success(GATE, START)
        assert 199 <= spend(budget, GATE) <= 201
        assert spend(budget, GATE, START + 60 * SECOND) == 3

    def test_one_service_does_not_spend_another_s(self) -> None:
        budget = admission.RetryBudget(admission.RetrySettings(), START)
        for _ in range(200):
            budget.record_success(LEDGER, START)
        assert spend(budget, GATE) == 3
        assert spend(budget, LEDGER) >= 19

    def test_resumption_after_a_death_is_not_charged(self) -> None:
        budget = admission.RetryBudget(admission.RetrySettings(), START)
        for _ in range(100):
            resumed = budget.may_retry(request(resumes=True), START)
            assert resumed.is_ok()
        assert spend(budget, GATE) == 3
        refused = budget.may_retry(request(), START).unwrap_err()
        assert refused.retry_after == 5 * SECOND
