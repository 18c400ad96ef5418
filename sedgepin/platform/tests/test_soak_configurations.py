"""Tests of the configurations that the soak's operator sends."""

import random

import pytest

from sedgepin import _catalog as catalog
from sedgepin.platform import _configuration
from sedgepin.platform.tests.soak import _addresses
from sedgepin.platform.tests.soak import _configurations
from sedgepin.platform.tests.soak import _operator
from sedgepin.platform.tests.soak import _record

_SEEDS = range(20)
_CHANGES = 60


class TestChanges:
    @pytest.mark.parametrize("seed", _SEEDS)
    def test_each_series_stays_valid_for_the_callers(self, seed: int) -> None:
        rng = random.Random(seed)
        document = _configurations.make_first()
        for version in range(1, _CHANGES):
            name = rng.choice(list(_configurations.CHANGES))
            _configurations.CHANGES[name](document, rng)
            content = _configurations.encode(document, version)
            configuration = _configuration.parse(content).unwrap()
            table = catalog.RouteTable(configuration)
            for prefix in _configurations.PREFIXES.values():
                host = _configurations.HOST
                assert table.find(host, f"/{prefix}/17/3") is not None
            keys = {
                key: customer.name
                for customer in configuration.customers
                for key in customer.keys
            }
            for key in _configurations.KEYS:
                assert keys[key] == f"customer-{key}"

    @pytest.mark.parametrize("name", _configurations.CHANGES)
    def test_each_kind_changes_something(self, name: str) -> None:
        rng = random.Random(1)
        document = _configurations.make_first()
        contents = set()
        for _number in range(20):
            _configurations.CHANGES[name](document, rng)
            contents.add(_configurations.encode(document, 1))
        assert len(contents) > 1

    @pytest.mark.parametrize("seed", _SEEDS)
    def test_refused_ones_are_invalid(self, seed: int) -> None:
        rng = random.Random(seed)
        document = _configurations.make_first()
        for name in rng.sample(list(_configurations.CHANGES), 4):
            _configurations.CHANGES[name](document, rng)
        reason, content = _configurations.make_refused(document, 7, rng)
        assert _configuration.parse(content).is_err(), reason


class TestOperator:
    def test_all_kinds_are_sent(self) -> None:
        record = _record.Record()
        addresses = _addresses.Addresses(1, {"control": 3})
        operator = _operator.Operator(addresses, record, random.Random(1))
        for _number in range(100):
            operator.draw_change()
        assert set(record.configuration_changes) == set(
            _configurations.CHANGES
        )
