"""Counts what callers experience, by customer and route."""

import collections.abc
import datetime

from sedgepin import _catalog as catalog
from sedgepin._gateway import _exchange
from sedgepin import _service_levels as service_levels

# Of requests that end with an endpoint's own failure, or with the process.
_ENDPOINT_FAILED = "engine_failed"
_CUT = "drain_ended"


class LevelCounts:
    """Counts the ends and the lateness of a gateway's requests."""

    __slots__ = ("levels",)

    def __init__(self, levels: service_levels.ServiceLevels) -> None:
        self.levels = levels

    def count_served(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> None:
        """Count a whole answer, and that in one piece as its first output."""
        self.check_first_output(exchange, now)
        self.levels.count_served(*_pair(exchange), now)

    def count_failed(
        self,
        exchange: _exchange.Exchange,
        code: str,
        now: datetime.datetime,
    ) -> None:
        """Count the failure of an admitted request."""
        self.levels.count_refused(*_pair(exchange), code, now)

    def count_endpoint_failure(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> None:
        """Count a request that ends with the failure of its endpoint."""
        self.count_failed(exchange, _ENDPOINT_FAILED, now)

    def count_cut(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> None:
        """Count a request that is cut by the end of the process."""
        self.count_failed(exchange, _CUT, now)

    def count_held_cut(self, now: datetime.datetime) -> None:
        """Count a request that is cut before there was a configuration."""
        self.count_rejected(None, None, _CUT, now)

    def count_rejected(
        self,
        customer: catalog.Customer | None,
        route: catalog.Route | None,
        code: str,
        now: datetime.datetime,
    ) -> None:
        """Count a request that was not admitted."""
        self.levels.count_refused(
            service_levels.UNKNOWN if customer is None else customer.name,
            service_levels.UNKNOWN if route is None else _route_name(route),
            code,
            now,
        )

    def count_late_pause(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> None:
        """Count a pause beyond the target of the route."""
        self.levels.count_late_pause(*_pair(exchange), now)

    def check_first_output(
        self, exchange: _exchange.Exchange, now: datetime.datetime
    ) -> None:
        """Count a request that has had no output until now, if it is late.

        A whole answer in one piece is output from when it was ready.
        """
        output_at = exchange.ready_at or now
        target = exchange.route.first_output_target
        is_late = bool(target) and output_at - exchange.arrived_at > target
        if is_late and not exchange.has_output:
            self.levels.count_late_first_output(*_pair(exchange), now)


def waiting_pairs(
    exchanges: collections.abc.Iterable[_exchange.Exchange], held_count: int
) -> collections.abc.Iterator[tuple[str, str]]:
    """Yield customer and route of each request that no endpoint has.

    Of requests that are held until there is a configuration, neither is known.
    """
    for _ in range(held_count):
        yield service_levels.UNKNOWN, service_levels.UNKNOWN
    for exchange in exchanges:
        if exchange.dispatch is None:
            yield _pair(exchange)


def _pair(exchange: _exchange.Exchange) -> tuple[str, str]:
    customer = exchange.customer
    name = service_levels.UNKNOWN if customer is None else customer.name
    return name, _route_name(exchange.route)


def _route_name(route: catalog.Route) -> str:
    """Return a name that tells routes apart; configured ones are optional."""
    return route.name or f"{route.host}{route.path_prefix}"
