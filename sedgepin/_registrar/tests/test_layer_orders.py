"""Tests of the orders that bring engines to their layers."""

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


def _words() -> list[catalog.Registration]:
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
    """Engines that obey at once, on a clock that the test moves."""

    def __init__(self) -> None:
        self.now = _START
        self.orders = _layer_orders.LayerOrders()
        self.words = {one.endpoint_id: one for one in _words()}
        self.given: list[_effects.OrderLayers] = []
        self.held: dict[model.EndpointId, model.LayerRange] = {}

    def tick(self, milliseconds: int) -> list[_effects.RegistrarEffect]:
        self.now += datetime.timedelta(milliseconds=milliseconds)
        made = self.orders.tick(
            list(self.words.values()), _table(), 1, self.now
        )
        for effect in made:
            if isinstance(effect, _effects.InspectEngine):
                self._inspect(effect)
        return made

    def _inspect(self, effect: _effects.InspectEngine) -> None:
        endpoint_id = effect.endpoint_id
        report = _events.EngineReport(
            1, self.held.get(endpoint_id), False, len(self.given)
        )
        event = _events.EngineInspected(
            endpoint_id, effect.incarnation, report, True
        )
        word = self.words[endpoint_id]
        for made in self.orders.inspected(event, word, 7, self.now):
            if isinstance(made, _effects.OrderLayers):
                self.given.append(made)
                self.held[endpoint_id] = made.layers
                answer = _events.LayerOrderAnswered(
                    endpoint_id, 1, True, False
                )
                self.orders.ordered(answer, self.now)


class TestLayerOrders:
    def test_a_vm_that_does_not_lead_gives_none(self) -> None:
        fleet = _Fleet()
        for _turn in range(100):
            assert fleet.tick(100) == []

    def test_the_first_plan_waits_until_all_have_come(self) -> None:
        fleet = _Fleet()
        fleet.orders.visit_leadership(_START)
        last = fleet.words.popitem()
        fleet.tick(50)
        fleet.tick(1000)
        fleet.words[last[0]] = last[1]
        fleet.tick(600)
        assert fleet.given == []
        fleet.tick(1600)
        assert len(fleet.given) == len(fleet.words)

    def test_orders_rest_on_the_engines_own_word(self) -> None:
        fleet = _Fleet()
        fleet.orders.visit_leadership(_START)
        fleet.tick(50)
        fleet.tick(2000)
        first = fleet.given[0]
        assert first.fencing_token == 7
        assert [one.order_count for one in fleet.given] == list(
            range(len(fleet.given))
        )

    def test_engines_that_hold_their_layers_are_left_alone(self) -> None:
        fleet = _Fleet()
        fleet.orders.visit_leadership(_START)
        fleet.tick(50)
        fleet.tick(2000)
        count = len(fleet.given)
        for _turn in range(20):
            fleet.tick(300)
        assert len(fleet.given) == count

    def test_nothing_more_after_the_leadership(self) -> None:
        fleet = _Fleet()
        fleet.orders.visit_leadership(_START)
        fleet.tick(50)
        fleet.orders.leave_leadership()
        fleet.tick(3000)
        assert fleet.given == []

    def test_engine_lost_between_two_plans_is_passed_over(self) -> None:
        fleet = _Fleet()
        orders = fleet.orders
        orders.visit_leadership(_START)
        words = list(fleet.words.values())
        orders.tick(words, _table(), 1, _START)
        settled = _START + datetime.timedelta(seconds=3)
        asked = orders.tick(words, _table(), 1, settled)[0]
        assert isinstance(asked, _effects.InspectEngine)
        name = asked.endpoint_id
        silent = _events.EngineInspected(name, 1, None, False)
        orders.inspected(silent, fleet.words[name], 7, settled)
        planned = settled + datetime.timedelta(milliseconds=900)
        orders.tick(words, _table(), 1, planned)
        left = [one for one in words if one.endpoint_id != name]
        due = settled + datetime.timedelta(milliseconds=1050)
        assert orders.tick(left, _table(), 1, due) == []

    def test_refused_order_is_not_repeated_at_once(self) -> None:
        fleet = _Fleet()
        fleet.orders.visit_leadership(_START)
        fleet.tick(50)
        made = fleet.orders.tick(
            list(fleet.words.values()),
            _table(),
            1,
            fleet.now + datetime.timedelta(seconds=3),
        )
        asked = made[0]
        assert isinstance(asked, _effects.InspectEngine)
        fleet.now += datetime.timedelta(seconds=3)
        fleet._inspect(asked)
        refused = _events.LayerOrderAnswered(asked.endpoint_id, 1, False, True)
        fleet.orders.ordered(refused, fleet.now)
        again = [
            one
            for one in fleet.tick(400)
            if isinstance(one, _effects.InspectEngine)
            and one.endpoint_id == asked.endpoint_id
        ]
        assert again == []
