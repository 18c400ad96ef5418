"""Configurations of the soak: how one changes into the next."""

import collections.abc
import copy
import json
import random
import typing

from sedgepin.platform.tests.soak import _engines
from sedgepin.platform.tests.soak import _record

HOST = "soak.example"
KEYS = ("k1", "k2", "k3")
PREFIXES = {
    "write": "post",
    "read": "read",
    "stream": "draft",
    "long": "tale",
    "feed": "feed",
}
_RETRY_SEMANTICS = {"write": "non_idempotent", "read": "idempotent"}
_ROUTE_TIMEOUTS_MS = (4000, 4500, 5000)
_LONG_ROUTE_TIMEOUTS_MS = (24_000, 27_000, 30_000)
_IDLE_TIMEOUTS_MS = (1000, 2000, 5000, 15_000)
# All above what the soak's callers need.
_HEADER_TIMEOUTS_MS = (2000, 3000, 5000)
_HEADER_BYTES = (4096, 16_384, 32_768)
_BODY_BYTES = (4096, 65_536, 4_194_304)
_UNUSED_ROUTES = 60
_DRAWN_KEYS = 1000

_Document = dict[str, typing.Any]


def _timeouts_ms(route: str) -> tuple[int, ...]:
    is_long = route in _record.LONG_ROUTES
    return _LONG_ROUTE_TIMEOUTS_MS if is_long else _ROUTE_TIMEOUTS_MS


def min_route_timeout_seconds(route: str) -> float:
    """Return the shortest time that a request gets, beside its caller's."""
    return _timeouts_ms(route)[0] / 1000


def make_first() -> _Document:
    """Return a configuration with five routes and three services."""
    routes = [_make_route(route, route, "/") for route in PREFIXES]
    return {
        "version": 0,
        "routes": routes,
        "services": [
            {"name": _engines.MODEL_SERVICE, "engine": _make_engine()},
            {"name": _engines.PLAIN_SERVICE},
            {"name": _engines.OTHER_PLAIN_SERVICE},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [
            {"name": f"customer-{key}", "apiKeys": [key]} for key in KEYS
        ],
    }


def _make_route(route: str, name: str, path: str) -> _Document:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{PREFIXES[route]}{path}",
        "kind": _RETRY_SEMANTICS.get(route, "streaming"),
        "timeoutMs": _timeouts_ms(route)[-1],
        "targetLatencyMs": 500,
        "service": _engines.MODEL_SERVICE
        if route in _record.MODEL_ROUTES
        else _engines.PLAIN_SERVICE,
        "maxAttempts": 1 if route == "write" else 3,
        "resumable": route in _record.MODEL_ROUTES,
    }


def _make_engine() -> _Document:
    return {
        "slots": 96,
        "step_ms": 1.0,
        "per_seq_ms": 0.01,
        "context_per_k": 0.01,
        "read_per_s": 100_000.0,
        "kvTokenBytes": 8000,
        "models": [{"loadS": 0.3}],
        "kinds": [
            {
                "name": "card",
                "mb": _engines.MEMORY_MEGABYTES,
                "pace": 1.0,
                "readX": 1.0,
            }
        ],
        "usual": {"prompt": 10, "answer": 10},
        "layers": _engines.LAYERS,
        "layerMb": _engines.LAYER_MEGABYTES,
        "activationBytes": 100,
        "loads_at_once": 6,
        "report_lag_ms": 100,
    }


# Changes. Whatever they draw, requests of the soak's callers stay valid.


def _plain_routes(document: _Document) -> list[_Document]:
    return [
        route
        for route in document["routes"]
        if route["name"] in ("write", "read")
    ]


def _change_timeout(document: _Document, rng: random.Random) -> None:
    """Draw the time that requests get, by route."""
    for route in document["routes"]:
        name = route["name"].partition("-")[0]
        route["timeoutMs"] = rng.choice(_timeouts_ms(name))


def _move_route(document: _Document, rng: random.Random) -> None:
    """Move a route to another service."""
    route = rng.choice(_plain_routes(document))
    services = (_engines.PLAIN_SERVICE, _engines.OTHER_PLAIN_SERVICE)
    route.pop("trafficSplit", None)
    route["service"] = rng.choice(services)


def _change_weights(document: _Document, rng: random.Random) -> None:
    """Split a route between two services."""
    route = rng.choice(_plain_routes(document))
    route.pop("service", None)
    weight = rng.choice((0, 10, 50, 90))
    route["trafficSplit"] = [
        {"service": _engines.PLAIN_SERVICE, "weight": 100 - weight},
        {"service": _engines.OTHER_PLAIN_SERVICE, "weight": weight},
    ]


def _change_attempts(document: _Document, rng: random.Random) -> None:
    for route in document["routes"]:
        if route["name"] != "write":
            route["maxAttempts"] = rng.randint(2, 4)


def _change_many_routes(document: _Document, rng: random.Random) -> None:
    """Add routes for some of the targets and unused ones, or drop them."""
    count = len(PREFIXES)
    first, others = document["routes"][:count], document["routes"][count:]
    document["routes"] = first
    if others and rng.random() < 0.5:
        return
    for route in PREFIXES:
        for digit in rng.sample(range(1, 10), 5):
            added = _make_route(route, f"{route}-{digit}", f"/{digit}")
            document["routes"].append(added)
    for number in range(_UNUSED_ROUTES):
        unused = _make_route("read", f"unused-{number}", f"-{number}/")
        document["routes"].append(unused)


def _change_customers(document: _Document, rng: random.Random) -> None:
    """Add or remove a customer, and draw the priorities of the others."""
    customers = document["tenants"]
    for customer in customers:
        customer["priority"] = rng.randint(0, 3)
    if len(customers) > len(KEYS):
        customers.pop()
    else:
        key = f"other-{rng.randrange(_DRAWN_KEYS)}"
        customers.append({"name": "customer-other", "apiKeys": [key]})


def _change_quota(document: _Document, rng: random.Random) -> None:
    """Draw a field that the platform's pages do not name."""
    customer = rng.choice(document["tenants"])
    customer["quota"] = rng.choice((0, 1, 1000, None))


def _change_keys(document: _Document, rng: random.Random) -> None:
    """Give a customer a further key, or take it away."""
    customer = rng.choice(document["tenants"][: len(KEYS)])
    key = f"{customer['name']}-{rng.randrange(_DRAWN_KEYS)}"
    own = customer["apiKeys"][:1]
    has_further = len(customer["apiKeys"]) > 1
    customer["apiKeys"] = own if has_further else [*own, key]


def _change_idle_timeout(document: _Document, rng: random.Random) -> None:
    document["limits"]["idleTimeoutMs"] = rng.choice(_IDLE_TIMEOUTS_MS)


def _change_limits(document: _Document, rng: random.Random) -> None:
    limits = document["limits"]
    limits["headerTimeoutMs"] = rng.choice(_HEADER_TIMEOUTS_MS)
    limits["maxHeaderBytes"] = rng.choice(_HEADER_BYTES)
    limits["maxBodyBytes"] = rng.choice(_BODY_BYTES)


_Change = collections.abc.Callable[[_Document, random.Random], None]

CHANGES: dict[str, _Change] = {
    "timeout": _change_timeout,
    "route": _move_route,
    "weights": _change_weights,
    "attempts": _change_attempts,
    "many routes": _change_many_routes,
    "customer": _change_customers,
    "quota": _change_quota,
    "keys": _change_keys,
    "idle timeout": _change_idle_timeout,
    "limits": _change_limits,
}


# Faults of documents that must be refused.


def _name_unknown_service(document: _Document) -> None:
    document["routes"][0].pop("trafficSplit", None)
    document["routes"][0]["service"] = "nowhere"


def _share_prefix(document: _Document) -> None:
    document["routes"].append({**document["routes"][0], "name": "second"})


def _drop_weights(document: _Document) -> None:
    document["routes"][0].pop("service", None)
    document["routes"][0]["trafficSplit"] = [
        {"service": _engines.PLAIN_SERVICE, "weight": 0}
    ]


def _allow_no_time(document: _Document) -> None:
    document["routes"][0]["timeoutMs"] = 0


def _share_key(document: _Document) -> None:
    document["tenants"][0]["apiKeys"] = list(document["tenants"][1]["apiKeys"])


_REFUSED: dict[str, collections.abc.Callable[[_Document], None]] = {
    "an unknown service": _name_unknown_service,
    "two routes with one prefix": _share_prefix,
    "weights of 0": _drop_weights,
    "a timeout of 0": _allow_no_time,
    "customers that share a key": _share_key,
}


def encode(document: _Document, version: int) -> bytes:
    """Return a document as it is sent."""
    return json.dumps({**document, "version": version}).encode()


def make_refused(
    document: _Document, version: int, rng: random.Random
) -> tuple[str, bytes]:
    """Return a document that must be refused, and why."""
    reason = rng.choice((*_REFUSED, "half a document"))
    if reason == "half a document":
        content = encode(document, version)
        return reason, content[: len(content) // 2]
    changed = copy.deepcopy(document)
    _REFUSED[reason](changed)
    return reason, encode(changed, version)
