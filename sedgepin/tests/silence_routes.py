"""The kinds of requests on a day of ``silence_day``, and their routes."""

import datetime
import enum

import msgspec

from sedgepin import _catalog as catalog
from sedgepin._gateway.tests import parts
from sedgepin import _model as model

# Each silence ends before a request's time does.
TIME_LEFT_SECONDS = 10.0
_ACCELERATORS = ("fast", "other")


class Kind(enum.Enum):
    """The kinds of requests, by their routes' names."""

    RESUMABLE = "draft"
    STREAM = "cast"
    IDEMPOTENT = "read"
    AT_MOST_ONCE = "post"
    PLAIN_IDEMPOTENT = "look"
    PLAIN_AT_MOST_ONCE = "book"

    @property
    def is_plain(self) -> bool:
        """Whether the service runs no model."""
        return self in (Kind.PLAIN_IDEMPOTENT, Kind.PLAIN_AT_MOST_ONCE)

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (Kind.RESUMABLE, Kind.STREAM)

    @property
    def semantics(self) -> catalog.RetrySemantics:
        """The kind of the route."""
        if self.is_stream:
            return catalog.RetrySemantics.STREAM
        if self.is_repeatable:
            return catalog.RetrySemantics.IDEMPOTENT
        return catalog.RetrySemantics.AT_MOST_ONCE

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self in (
            Kind.RESUMABLE,
            Kind.IDEMPOTENT,
            Kind.PLAIN_IDEMPOTENT,
        )


MODEL_KINDS = tuple(kind for kind in Kind if not kind.is_plain)
PLAIN_KINDS = tuple(kind for kind in Kind if kind.is_plain)


def accelerator(number: int) -> str:
    """Return the accelerator of an engine by its number."""
    return _ACCELERATORS[number // 2 % len(_ACCELERATORS)]


def make_configuration(max_attempts: int) -> catalog.Configuration:
    """Return a route for each kind of requests, and two accelerators."""
    before = parts.make_configuration(1)
    timeout = datetime.timedelta(seconds=TIME_LEFT_SECONDS)
    routes = tuple(
        msgspec.structs.replace(
            before.routes[0],
            name=kind.value,
            path_prefix=f"/{kind.value}/",
            kind=kind.semantics,
            timeout=timeout,
            max_attempts=max_attempts,
            resumable=kind is Kind.RESUMABLE,
            targets=before.routes[1 if kind.is_plain else 0].targets,
        )
        for kind in Kind
    )
    service = before.services[0]
    profile = service.engine
    assert profile is not None
    accelerators = tuple(
        msgspec.structs.replace(profile.accelerators[0], name=name)
        for name in _ACCELERATORS
    )
    engine = msgspec.structs.replace(profile, accelerators=accelerators)
    service = msgspec.structs.replace(service, engine=engine)
    services = (service, *before.services[1:])
    return msgspec.structs.replace(before, routes=routes, services=services)


def make_plain_endpoint(
    number: int, data_centre: model.DataCentreId
) -> catalog.Registration:
    """Return an endpoint of the service that runs no model."""
    return parts.make_registration(
        f"plain-{number}",
        "ledger",
        data_centre=data_centre,
        address=f"10.2.0.{number}:80",
    )
