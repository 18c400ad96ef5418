"""What the parts of the gateway's reducer share."""

import datetime
import random

from sedgepin import _catalog as catalog
from sedgepin._gateway import _crashes
from sedgepin._gateway import _effects
from sedgepin._gateway import _exchange
from sedgepin._gateway import _fleet
from sedgepin._gateway import _request_queue
from sedgepin._gateway import _retry_budget
from sedgepin._gateway import _settings
from sedgepin import _model as model
from sedgepin import events

Effects = list[_effects.GatewayEffect]


class Core:
    """The state of one gateway."""

    __slots__ = (
        "budget",
        "crashes",
        "exchanges",
        "failed",
        "fleet",
        "lines",
        "rng",
        "table",
    )

    def __init__(
        self, cfg: _settings.GatewaySettings, rng: random.Random
    ) -> None:
        self.rng = rng
        self.table: catalog.RouteTable | None = None
        self.fleet = _fleet.Fleet(cfg.data_centre, cfg.heartbeat_timeout, rng)
        self.budget = _retry_budget.RetryBudget(cfg.retries)
        self.crashes = _crashes.Crashes()
        self.lines = _request_queue.WaitingLines()
        self.exchanges: dict[int, _exchange.Exchange] = {}
        # Endpoints that no connection reaches; the control VMs are told.
        self.failed: list[model.EndpointId] = []

    def suspect(
        self,
        endpoint_id: model.EndpointId,
        reason: str,
        now: datetime.datetime,
    ) -> Effects:
        """Give an endpoint no new work for a while."""
        if not self.fleet.suspect(endpoint_id, now):
            return []
        line = events.ENDPOINT_SUSPECTED.line(
            endpoint=endpoint_id, failure=reason
        )
        return [log(line)]

    def release(self, exchange: _exchange.Exchange) -> None:
        """Count a request on its endpoints no more."""
        self.fleet.give_back(exchange.endpoint_ids, exchange.tokens)
        exchange.dispatch = None


def log(line: events.LogLine) -> _effects.WriteLog:
    """Return the effect that logs a line."""
    return _effects.WriteLog(line)


def milliseconds(span: datetime.timedelta) -> int:
    """Return a span in whole milliseconds, as log lines have it."""
    return int(span.total_seconds() * 1000)


def shown(pipeline: model.Pipeline | None) -> str:
    """Return a pipeline as log lines have it."""
    if pipeline is None:
        return ""
    return ",".join(
        f"{one.endpoint_id}={one.layers.first}-{one.layers.end}"
        for one in pipeline.stages
    )
