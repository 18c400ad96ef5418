"""Replays of many entry VMs that see the same idle engines.

Seen on the grown fleet: 66 entries sent 130 requests to an engine with room
for 62 while the control VM that sums their load was down for 0.9 s.
"""

import collections
import datetime
import heapq
import random

import pytest

from sedgepin import _catalog as catalog
from sedgepin._gateway import _fleet
from sedgepin._gateway import _unreported_load
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _placement as placement
from sedgepin._placement.tests import test_plan
from sedgepin import _protocol as protocol

_ENTRIES = 66
_SERVICE = model.ServiceName("model")
_SIZE = placement.RequestSize(740, 220)
_SUM_SECONDS = 0.2
# Requests last about this long on engines half full.
_STAY_SECONDS = 2.0
_CARDS = {"one": (4, 10, 11), "two": (3, 14, 16), "three": (2, 24, 9)}


def _at(seconds: float) -> datetime.datetime:
    return parts.START + datetime.timedelta(seconds=seconds)


class _Crowd:
    """Entry VMs that place requests, and what that puts on engines."""

    def __init__(self, knows_of_others: bool) -> None:
        profile = test_plan.make_profile()
        self._service = catalog.Service(_SERVICE, "/", 1000, profile)
        engines = test_plan.make_engines(_CARDS)
        plan = placement.plan(engines, profile)
        self.room = {
            one.endpoint_id: placement.cache_capacity_tokens(
                profile, one.accelerator, plan[one.endpoint_id].count
            )
            for one in engines
        }
        self.held: collections.Counter[model.EndpointId] = (
            collections.Counter()
        )
        self._ends: list[tuple[float, int, int, tuple[str, ...]]] = []
        self._reports: dict[int, tuple[protocol.EndpointLoad, ...]] = {}
        self._fleets = [
            _fleet.Fleet(
                model.DataCentreId(list(_CARDS)[number % len(_CARDS)]),
                datetime.timedelta(seconds=100),
                random.Random(number),
            )
            for number in range(_ENTRIES)
        ]
        for fleet in self._fleets:
            fleet.unseen.set_entry_count(_ENTRIES if knows_of_others else 1)
            for one in engines:
                word = parts.endpoint(
                    one.endpoint_id,
                    _SERVICE,
                    plan[one.endpoint_id],
                    one.data_centre,
                    accelerator=one.accelerator.name,
                )
                fleet.registry.update(word, parts.START)

    def play(self, rate: float, silent: tuple[float, float]) -> int:
        """Place requests for 4 s; return how many overfilled an engine."""
        rng = random.Random(1)
        overfilled, time, sum_at = 0, 0.0, 0.0
        for number in range(int(rate * 4)):
            time += rng.expovariate(rate)
            self._end(time)
            while sum_at <= time:
                if not silent[0] <= sum_at < silent[1]:
                    self._sum(sum_at)
                sum_at += _SUM_SECONDS
            sender = rng.randrange(_ENTRIES)
            end = time + _STAY_SECONDS * rng.uniform(0.7, 1.3)
            overfilled += self._place(number, sender, time, end)
        return overfilled

    def _place(
        self, number: int, sender: int, time: float, end: float
    ) -> bool:
        fleet = self._fleets[sender]
        found = fleet.find_pipeline(self._service, _SIZE, _at(time))
        if found is None or found.cache_utilization > 1.0:
            return False
        ids = tuple(one.endpoint_id for one in found.pipeline.stages)
        fleet.take(ids, int(_SIZE.total_tokens))
        fleet.unseen.record_sent(_at(time))
        for one in ids:
            self.held[one] += int(_SIZE.total_tokens)
        heapq.heappush(self._ends, (end, number, sender, ids))
        return any(self.held[one] > self.room[one] for one in ids)

    def _end(self, time: float) -> None:
        while self._ends and self._ends[0][0] <= time:
            _, _, sender, names = heapq.heappop(self._ends)
            ids = tuple(model.EndpointId(one) for one in names)
            self._fleets[sender].give_back(ids, int(_SIZE.total_tokens))
            for one in ids:
                self.held[one] -= int(_SIZE.total_tokens)

    def _sum(self, time: float) -> None:
        """Send everyone the sum of the reports of an interval ago."""
        running: collections.Counter[str] = collections.Counter()
        tokens: collections.Counter[str] = collections.Counter()
        for loads in self._reports.values():
            for one in loads:
                running[one.endpoint_id] += one.running
                tokens[one.endpoint_id] += one.tokens
        summed = tuple(
            protocol.EndpointLoad(model.EndpointId(one), count, tokens[one])
            for one, count in running.items()
        )
        for number, fleet in enumerate(self._fleets):
            fleet.take_sum(summed, _at(time))
            self._reports[number] = fleet.own_loads()


class TestCrowd:
    @pytest.mark.parametrize("rate", [120.0, 180.0])
    def test_engines_are_seldom_overfilled_while_no_sums_come(
        self, rate: float
    ) -> None:
        blind = _Crowd(knows_of_others=False).play(rate, (2.0, 2.9))
        aware = _Crowd(knows_of_others=True).play(rate, (2.0, 2.9))
        assert aware < blind / 2

    def test_light_load_overfills_nothing(self) -> None:
        assert _Crowd(knows_of_others=True).play(60.0, (2.0, 2.9)) == 0


class TestEstimate:
    def test_nothing_is_unseen_before_a_first_sum(self) -> None:
        unseen = _unreported_load.UnseenLoad(random.Random(1))
        unseen.set_entry_count(66)
        unseen.record_sent(_at(0))
        assert unseen.expected(_at(1)) == 0

    def test_grows_with_entries_rate_and_time(self) -> None:
        unseen = _unreported_load.UnseenLoad(random.Random(1))
        unseen.record_sum(_at(0))
        for number in range(4):
            unseen.record_sent(_at(number / 10))
        assert unseen.expected(_at(0.4)) == 0
        unseen.set_entry_count(11)
        assert unseen.expected(_at(0.4)) == pytest.approx(10.0)
        assert unseen.expected(_at(0.9)) == pytest.approx(20.0)

    def test_is_bounded_when_no_sums_come(self) -> None:
        unseen = _unreported_load.UnseenLoad(random.Random(1))
        unseen.set_entry_count(11)
        unseen.record_sum(_at(0))
        unseen.record_sent(_at(9))
        assert unseen.expected(_at(10)) == pytest.approx(10.0)
