"""Tests of configurations, routes and the endpoint registry."""

import datetime
import typing

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
    registration = catalog.Registration(
        endpoint_id=model.EndpointId("a"),
        incarnation=1,
        sequence=1,
        service=model.ServiceName("s"),
        address="127.0.0.1:80",
        data_centre=model.DataCentreId("dc"),
        state=catalog.EndpointState.READY,
    )
    return msgspec.structs.replace(registration, **changes)


class TestRouteTable:
    @pytest.mark.parametrize(
        ("path", "prefix"),
        [
            ("/a/x", "/a/"),
            ("/a/b/x", "/a/b/"),
            ("/a/bx", "/a/"),
            ("/a", "/"),
            ("/c", "/"),
        ],
    )
    def test_longest_matching_prefix_wins(
        self, path: str, prefix: str
    ) -> None:
        routes = [
            make_route(path_prefix) for path_prefix in ("/", "/a/", "/a/b/")
        ]
        table = catalog.RouteTable(make_configuration(*routes))
        route = table.find("one.example", path)
        assert route is not None and route.path_prefix == prefix

    def test_unknown_host_has_no_route(self) -> None:
        table = catalog.RouteTable(make_configuration(make_route("/")))
        assert table.find("two.example", "/") is None

    def test_decode_reverses_encode(self) -> None:
        configuration = make_configuration(make_route("/"))
        raw = catalog.encode(configuration)
        assert catalog.decode(raw) == configuration


class TestValidate:
    @pytest.mark.parametrize(
        "changes",
        [
            {"targets": (catalog.Target(model.ServiceName("x"), 1.0),)},
            {"targets": (catalog.Target(model.ServiceName("s"), 0.0),)},
            {"targets": ()},
            {"timeout": datetime.timedelta(0)},
        ],
    )
    def test_invalid_route_is_reported(
        self, changes: dict[str, object]
    ) -> None:
        configuration = make_configuration(make_route("/", **changes))
        assert catalog.validate(configuration)

    def test_two_routes_with_one_host_and_prefix_are_reported(self) -> None:
        routes = (make_route("/"), make_route("/"))
        assert catalog.validate(make_configuration(*routes))

    def test_both_customers_that_share_a_key_are_reported(self) -> None:
        customers = tuple(
            catalog.Customer(model.CustomerId(name), ("k",))
            for name in ("a", "b")
        )
        configuration = msgspec.structs.replace(
            make_configuration(make_route("/")), customers=customers
        )
        assert len(catalog.validate(configuration)) == 2

    def test_valid_configuration_has_no_faults(self) -> None:
        assert not catalog.validate(make_configuration(make_route("/")))


class TestRegistry:
    def test_outdated_registration_is_ignored(self) -> None:
        registry = catalog.Registry()
        registry.update(make_registration(sequence=5), _NOW)
        outdated = make_registration(sequence=4, address="127.0.0.1:81")
        assert not registry.update(outdated, _NOW)
        record = registry.find(model.EndpointId("a"))
        assert record is not None
        assert record.registration.address == "127.0.0.1:80"

    @pytest.mark.parametrize(
        "changes",
        [
            {"address": "127.0.0.1:80800"},
            {"address": "127.0.0.1:"},
            {"sequence": 2**64},
            {"slots": 2**64},
            {"layers": model.LayerRange(0, 10**17)},
        ],
    )
    def test_relayed_registration_that_has_faults_is_ignored(
        self, changes: dict[str, typing.Any]
    ) -> None:
        """A control VM of an earlier version may relay one."""
        registry = catalog.Registry()
        odd = make_registration(**changes)
        assert not registry.update(odd, _NOW, is_relayed=True)
        assert not registry.update_lost(odd, _NOW)
        assert registry.find(model.EndpointId("a")) is None

    def test_layers_that_no_engine_can_hold_are_not_taken_over(self) -> None:
        registry = catalog.Registry()
        registry.update(make_registration(), _NOW)
        layers = model.LayerRange(0, 10**17)
        endpoint_id = model.EndpointId("a")
        assert registry.correct_layers(endpoint_id, 1, layers) is None

    def test_endpoint_that_moved_keeps_on_when_its_old_address_is_used(
        self,
    ) -> None:
        """It once counted as ended, and its streams were cut (review/5)."""
        registry = catalog.Registry()
        registry.update(make_registration(), _NOW)
        moved = make_registration(incarnation=2, address="127.0.0.1:81")
        registry.update(moved, _NOW)
        assert registry.at_address("127.0.0.1:80") is None
        other = make_registration(
            endpoint_id=model.EndpointId("b"), incarnation=3
        )
        registry.update(other, _NOW)
        record = registry.find(model.EndpointId("a"))
        assert record is not None
        assert record.registration == moved
        assert not registry.has_ended(model.EndpointId("a"), 2)
        registry.record_heartbeat(model.EndpointId("a"), _NOW + _SECOND)
        assert record.last_seen_at == _NOW + _SECOND

    def test_delayed_registration_does_not_move_an_endpoint_back(self) -> None:
        registry = catalog.Registry()
        moved = make_registration(incarnation=2, address="127.0.0.1:81")
        registry.update(moved, _NOW)
        assert not registry.update(make_registration(sequence=99), _NOW)
        assert registry.at_address("127.0.0.1:80") is None
        assert registry.at_address("127.0.0.1:81") is not None

    @pytest.mark.parametrize("sequence", [3, 5, 9])
    def test_end_is_merged_whatever_its_sequence(self, sequence: int) -> None:
        """It was once taken for a repeated registration (review/3)."""
        registry = catalog.Registry()
        registry.update(make_registration(sequence=5), _NOW)
        gone = make_registration(
            sequence=sequence, state=catalog.EndpointState.GONE
        )
        assert registry.update(gone, _NOW, is_relayed=True)
        assert not registry.update(make_registration(sequence=99), _NOW)
        record = registry.find(model.EndpointId("a"))
        assert record is not None
        assert record.registration.state is catalog.EndpointState.GONE

    def test_end_of_an_earlier_incarnation_is_ignored(self) -> None:
        registry = catalog.Registry()
        registry.update(make_registration(incarnation=2), _NOW)
        gone = make_registration(sequence=9, state=catalog.EndpointState.GONE)
        assert not registry.update(gone, _NOW, is_relayed=True)

    def test_end_does_not_take_the_address_of_another_endpoint(self) -> None:
        registry = catalog.Registry()
        registry.update(make_registration(), _NOW)
        gone = make_registration(
            endpoint_id=model.EndpointId("b"),
            incarnation=2,
            state=catalog.EndpointState.GONE,
        )
        registry.update(gone, _NOW, is_relayed=True)
        record = registry.find(model.EndpointId("a"))
        assert record is not None
        assert record.registration.state is catalog.EndpointState.READY

    def test_end_sent_to_an_earlier_version_is_its_latest(self) -> None:
        """VMs of an earlier version order by the sequence alone."""
        registry = catalog.Registry()
        registry.update(make_registration(), _NOW)
        gone = registry.mark_gone(model.EndpointId("a"), _NOW)
        assert gone is not None
        assert gone.sequence == 2**63 - 1

    def test_deregistered_endpoint_returns_only_with_a_new_incarnation(
        self,
    ) -> None:
        registry = catalog.Registry()
        registry.update(make_registration(), _NOW)
        registry.mark_gone(model.EndpointId("a"), _NOW)
        assert not registry.update(make_registration(sequence=9), _NOW)
        restarted = make_registration(incarnation=2, sequence=0)
        assert registry.update(restarted, _NOW)

    def test_address_belongs_to_the_highest_incarnation(self) -> None:
        registry = catalog.Registry()
        newer = make_registration(
            endpoint_id=model.EndpointId("b"), incarnation=2
        )
        registry.update(make_registration(), _NOW)
        registry.update(newer, _NOW)
        delayed = make_registration(sequence=7)
        assert not registry.update(delayed, _NOW)
        record = registry.at_address("127.0.0.1:80")
        assert record is not None
        assert record.registration.endpoint_id == "b"

    def test_lost_endpoint_recovers_only_after_the_heartbeat_delay(
        self,
    ) -> None:
        registry = catalog.Registry()
        registry.update(make_registration(), _NOW)
        assert registry.mark_lost(model.EndpointId("a"), 1, _NOW)
        record = registry.find(model.EndpointId("a"))
        assert record is not None
        registry.record_heartbeat(model.EndpointId("a"), _NOW + _SECOND / 4)
        assert not record.is_live(_SECOND * 4, _NOW + _SECOND / 4)
        registry.record_heartbeat(model.EndpointId("a"), _NOW + _SECOND)
        assert record.is_live(_SECOND * 4, _NOW + _SECOND)

    def test_relayed_registration_does_not_revive_a_lost_endpoint(
        self,
    ) -> None:
        """Whatever the sequence, it may be from before the loss."""
        registry = catalog.Registry()
        registry.update(make_registration(), _NOW)
        registry.mark_lost(model.EndpointId("a"), 1, _NOW, True)
        later = _NOW + _SECOND
        for sequence in (1, 2):
            relayed = make_registration(sequence=sequence)
            registry.update(relayed, later, is_relayed=True)
            assert registry.has_ended(model.EndpointId("a"), 1)
        assert registry.update(make_registration(sequence=3), later) is False
        assert not registry.has_ended(model.EndpointId("a"), 1)

    def test_lost_registration_of_a_peer_changes_no_known_loss(self) -> None:
        registry = catalog.Registry()
        registry.update(make_registration(), _NOW)
        later = _NOW + _SECOND
        registry.update_lost(make_registration(sequence=2), later)
        record = registry.find(model.EndpointId("a"))
        assert record is not None and record.lost_at is None
        assert record.last_seen_at == _NOW
        assert registry.update_lost(make_registration(incarnation=2), later)
        record = registry.find(model.EndpointId("a"))
        assert record is not None and record.lost_at == later
        registry.record_heartbeat(model.EndpointId("a"), later + _SECOND)
        assert record.is_live(_SECOND, later + _SECOND)

    def test_heartbeat_does_not_revive_an_endpoint_that_was_replaced(
        self,
    ) -> None:
        registry = catalog.Registry()
        registry.update(make_registration(), _NOW)
        newer = make_registration(
            endpoint_id=model.EndpointId("b"), incarnation=2
        )
        registry.update(newer, _NOW)
        registry.record_heartbeat(model.EndpointId("a"), _NOW + _SECOND)
        assert registry.has_ended(model.EndpointId("a"), 1)
        moved = make_registration(incarnation=3, address="127.0.0.1:81")
        registry.update(moved, _NOW + _SECOND)
        registry.record_heartbeat(model.EndpointId("a"), _NOW + _SECOND * 2)
        record = registry.find(model.EndpointId("a"))
        assert record is not None and not record.has_ended
        assert record.last_seen_at == _NOW + _SECOND * 2

    def test_loss_of_an_earlier_incarnation_is_ignored(self) -> None:
        registry = catalog.Registry()
        registry.update(make_registration(incarnation=2), _NOW)
        assert not registry.mark_lost(model.EndpointId("a"), 1, _NOW)

    def test_repeated_registration_counts_as_heartbeat(self) -> None:
        registry = catalog.Registry()
        registry.update(make_registration(), _NOW)
        later = _NOW + _SECOND * 10
        assert not registry.update(make_registration(sequence=2), later)
        record = registry.find(model.EndpointId("a"))
        assert record is not None and record.is_live(_SECOND, later)
