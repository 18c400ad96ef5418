"""Tests of the orders that bring engines to the planned layers."""

import datetime

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin._placement.tests import test_plan
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin._registrar import _layer_orders

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_SERVICE = model.ServiceName("m")


def _table() -> catalog.RouteTable:
    service = catalog.Service(_SERVICE, "/", 8, test_plan.make_profile())
    return catalog.RouteTable(catalog.Configuration(1, (), (service,)))


def _registrations() -> list[catalog.Registration]:
    return [
        catalog.Registration(
            endpoint_id=engine.endpoint_id,
            incarnation=1,
            sequence=1,
            service=_SERVICE,
            address=f"{engine.endpoint_id}:80",
            data_centre=engine.data_centre,
            state=catalog.EndpointState.READY,
            accelerator=engine.accelerator.name,
        )
        for engine in test_plan.make_engines()
    ]


class _Fleet:
    """Engines that carry out orders at once, on a simulated clock."""

    def __init__(self) -> None:
        self.now = _START
        self.orders = _layer_orders.LayerOrders()
        self.registrations = {
            registration.endpoint_id: registration
            for registration in _registrations()
        }
        self.sent_orders: list[_effects.OrderLayers] = []
        self.held: dict[model.EndpointId, model.LayerRange] = {}

    def tick(self, milliseconds: int) -> list[_effects.RegistrarEffect]:
        self.now += datetime.timedelta(milliseconds=milliseconds)
        effects = self.orders.tick(
            list(self.registrations.values()), _table(), 1, self.now
        )
        for effect in effects:
            if isinstance(effect, _effects.InspectEngine):
                self._inspect(effect)
        return effects

    def _inspect(self, effect: _effects.InspectEngine) -> None:
        endpoint_id = effect.endpoint_id
        report = _events.EngineReport(
            1, self.held.get(endpoint_id), False, len(self.sent_orders)
        )
        event = _events.EngineInspected(
            endpoint_id, effect.incarnation, report, True
        )
        registration = self.registrations[endpoint_id]
        for order in self.orders.handle_inspection(
            event, registration, 7, self.now
        ):
            if isinstance(order, _effects.OrderLayers):
                self.sent_orders.append(order)
                self.held[endpoint_id] = order.layers
                answer = _events.LayerOrderAnswered(
                    endpoint_id, 1, True, False
                )
                self.orders.handle_order_answer(answer, self.now)


class TestLayerOrders:
    def test_follower_gives_no_orders(self) -> None:
        fleet = _Fleet()
        for _tick in range(100):
            assert fleet.tick(100) == []

    def test_first_plan_waits_until_no_new_endpoint_registers(self) -> None:
        fleet = _Fleet()
        fleet.orders.start_leading(_START)
        last = fleet.registrations.popitem()
        fleet.tick(50)
        fleet.tick(1000)
        fleet.registrations[last[0]] = last[1]
        fleet.tick(600)
        assert fleet.sent_orders == []
        fleet.tick(1600)
        assert len(fleet.sent_orders) == len(fleet.registrations)

    def test_order_carries_the_order_count_of_the_engine_report(self) -> None:
        fleet = _Fleet()
        fleet.orders.start_leading(_START)
        fleet.tick(50)
        fleet.tick(2000)
        first = fleet.sent_orders[0]
        assert first.fencing_token == 7
        assert [order.order_count for order in fleet.sent_orders] == list(
            range(len(fleet.sent_orders))
        )

    def test_engine_that_holds_its_layers_gets_no_order(self) -> None:
        fleet = _Fleet()
        fleet.orders.start_leading(_START)
        fleet.tick(50)
        fleet.tick(2000)
        count = len(fleet.sent_orders)
        for _tick in range(20):
            fleet.tick(300)
        assert len(fleet.sent_orders) == count

    def test_no_orders_after_leadership_is_lost(self) -> None:
        fleet = _Fleet()
        fleet.orders.start_leading(_START)
        fleet.tick(50)
        fleet.orders.stop_leading()
        fleet.tick(3000)
        assert fleet.sent_orders == []

    def test_engine_lost_between_two_plans_is_not_inspected(self) -> None:
        fleet = _Fleet()
        orders = fleet.orders
        orders.start_leading(_START)
        registrations = list(fleet.registrations.values())
        orders.tick(registrations, _table(), 1, _START)
        first_plan_at = _START + datetime.timedelta(seconds=3)
        inspection = orders.tick(registrations, _table(), 1, first_plan_at)[0]
        assert isinstance(inspection, _effects.InspectEngine)
        endpoint_id = inspection.endpoint_id
        failed = _events.EngineInspected(endpoint_id, 1, None, False)
        orders.handle_inspection(
            failed, fleet.registrations[endpoint_id], 7, first_plan_at
        )
        second_plan_at = first_plan_at + datetime.timedelta(milliseconds=900)
        orders.tick(registrations, _table(), 1, second_plan_at)
        remaining = [
            registration
            for registration in registrations
            if registration.endpoint_id != endpoint_id
        ]
        due_at = first_plan_at + datetime.timedelta(milliseconds=1050)
        assert orders.tick(remaining, _table(), 1, due_at) == []

    def test_refused_order_is_not_repeated_within_the_retry_delay(
        self,
    ) -> None:
        fleet = _Fleet()
        fleet.orders.start_leading(_START)
        fleet.tick(50)
        effects = fleet.orders.tick(
            list(fleet.registrations.values()),
            _table(),
            1,
            fleet.now + datetime.timedelta(seconds=3),
        )
        inspection = effects[0]
        assert isinstance(inspection, _effects.InspectEngine)
        fleet.now += datetime.timedelta(seconds=3)
        fleet._inspect(inspection)
        refused = _events.LayerOrderAnswered(
            inspection.endpoint_id, 1, False, True
        )
        fleet.orders.handle_order_answer(refused, fleet.now)
        repeated = [
            effect
            for effect in fleet.tick(400)
            if isinstance(effect, _effects.InspectEngine)
            and effect.endpoint_id == inspection.endpoint_id
        ]
        assert repeated == []
