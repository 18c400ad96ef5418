"""Tests of configurations, routes and the register of endpoints."""

import datetime

import msgspec
import pytest

from sedgepin import _catalog as catalog
from sedgepin import _model as model

_NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_SECOND = datetime.timedelta(seconds=1)


def make_route(prefix: str, **changes: object) -> catalog.Route:
    route = catalog.Route(
        name=prefix,
        host="one.example",
        path_prefix=prefix,
        kind=catalog.RetrySemantics.IDEMPOTENT,
        timeout=_SECOND,
        first_output_target=_SECOND,
        targets=(catalog.Target(model.ServiceName("s"), 1.0),),
    )
    return msgspec.structs.replace(route, **changes)


def make_configuration(*routes: catalog.Route) -> catalog.Configuration:
    services = (catalog.Service(model.ServiceName("s"), "/", 8),)
    return catalog.Configuration(1, routes, services)


def make_registration(**changes: object) -> catalog.Registration:
    word = catalog.Registration(
        endpoint_id=model.EndpointId("a"),
        incarnation=1,
        sequence=1,
        service=model.ServiceName("s"),
        address="127.0.0.1:80",
        data_centre=model.DataCentreId("dc"),
        state=catalog.EndpointState.READY,
    )
    return msgspec.structs.replace(word, **changes)


class TestRouteTable:
    @pytest.mark.parametrize(
        ("path", "found"),
        [
            ("/a/x", "/a/"),
            ("/a/b/x", "/a/b/"),
            ("/a/bx", "/a/"),
            ("/a", "/"),
            ("/c", "/"),
        ],
    )
    def test_longest_prefix_wins(self, path: str, found: str) -> None:
        routes = [make_route(one) for one in ("/", "/a/", "/a/b/")]
        table = catalog.RouteTable(make_configuration(*routes))
        route = table.find("one.example", path)
        assert route is not None and route.path_prefix == found

    def test_other_host_has_no_route(self) -> None:
        table = catalog.RouteTable(make_configuration(make_route("/")))
        assert table.find("two.example", "/") is None

    def test_survives_its_encoding(self) -> None:
        configuration = make_configuration(make_route("/"))
        raw = catalog.encode(configuration)
        assert catalog.decode(raw) == configuration


class TestFaults:
    @pytest.mark.parametrize(
        "changes",
        [
            {"targets": (catalog.Target(model.ServiceName("x"), 1.0),)},
            {"targets": (catalog.Target(model.ServiceName("s"), 0.0),)},
            {"targets": ()},
            {"timeout": datetime.timedelta(0)},
        ],
    )
    def test_names_what_is_wrong_with_a_route(
        self, changes: dict[str, object]
    ) -> None:
        configuration = make_configuration(make_route("/", **changes))
        assert catalog.validate(configuration)

    def test_two_routes_in_one_place(self) -> None:
        routes = (make_route("/"), make_route("/"))
        assert catalog.validate(make_configuration(*routes))

    def test_two_customers_with_one_key(self) -> None:
        customers = tuple(
            catalog.Customer(model.CustomerId(name), ("k",))
            for name in ("a", "b")
        )
        configuration = msgspec.structs.replace(
            make_configuration(make_route("/")), customers=customers
        )
        assert len(catalog.validate(configuration)) == 2

    def test_a_sound_one_has_none(self) -> None:
        assert not catalog.validate(make_configuration(make_route("/")))


class TestRegistry:
    def test_late_word_changes_nothing(self) -> None:
        registry = catalog.Registry()
        registry.update(make_registration(sequence=5), _NOW)
        late = make_registration(sequence=4, address="127.0.0.1:81")
        assert not registry.update(late, _NOW)
        known = registry.find(model.EndpointId("a"))
        assert known is not None
        assert known.registration.address == "127.0.0.1:80"

    def test_word_after_farewell_does_not_bring_it_back(self) -> None:
        registry = catalog.Registry()
        registry.update(make_registration(), _NOW)
        registry.mark_gone(model.EndpointId("a"), _NOW)
        assert not registry.update(make_registration(sequence=9), _NOW)
        reborn = make_registration(incarnation=2, sequence=0)
        assert registry.update(reborn, _NOW)

    def test_address_belongs_to_the_latest_start(self) -> None:
        registry = catalog.Registry()
        new = make_registration(
            endpoint_id=model.EndpointId("b"), incarnation=2
        )
        registry.update(make_registration(), _NOW)
        registry.update(new, _NOW)
        held_up = make_registration(sequence=7)
        assert not registry.update(held_up, _NOW)
        found = registry.at_address("127.0.0.1:80")
        assert found is not None
        assert found.registration.endpoint_id == "b"

    def test_lost_until_heard_after_the_echo(self) -> None:
        registry = catalog.Registry()
        registry.update(make_registration(), _NOW)
        assert registry.mark_lost(model.EndpointId("a"), 1, _NOW)
        known = registry.find(model.EndpointId("a"))
        assert known is not None
        registry.record_heartbeat(model.EndpointId("a"), _NOW + _SECOND / 4)
        assert not known.is_live(_SECOND * 4, _NOW + _SECOND / 4)
        registry.record_heartbeat(model.EndpointId("a"), _NOW + _SECOND)
        assert known.is_live(_SECOND * 4, _NOW + _SECOND)

    def test_loss_of_an_earlier_start_is_no_news(self) -> None:
        registry = catalog.Registry()
        registry.update(make_registration(incarnation=2), _NOW)
        assert not registry.mark_lost(model.EndpointId("a"), 1, _NOW)

    def test_heartbeat_keeps_it_alive(self) -> None:
        registry = catalog.Registry()
        registry.update(make_registration(), _NOW)
        later = _NOW + _SECOND * 10
        assert not registry.update(make_registration(sequence=2), later)
        known = registry.find(model.EndpointId("a"))
        assert known is not None and known.is_live(_SECOND, later)
