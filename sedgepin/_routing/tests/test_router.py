"""Tests of the choice of pipelines and service endpoints."""

import collections
import datetime
import random
import typing

import hypothesis
from hypothesis import strategies

from sedgepin import _model as model
from sedgepin import _routing

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
PLACES = ("beja", "jendouba", "bousalem")


def engine(
    name: str,
    first: int,
    end: int,
    rate: float = 1000.0,
    place: str = "beja",
    **fields: typing.Any,
) -> model.Announcement:
    """Return the announcement of one engine."""
    return model.Announcement(
        endpoint_id=model.EndpointId(name),
        incarnation=model.Incarnation(1),
        sequence=fields.pop("sequence", 0),
        kind=model.EndpointKind.ENGINE,
        address="http://127.0.0.1:1",
        data_centre=model.DataCentreId(place),
        services=(model.ServiceName("gate"),),
        model=model.ModelName("m"),
        layers=model.LayerRange(first, end),
        accelerator=model.AcceleratorSpec("a", 1, rate),
        **fields,
    )


def work(number: int = 0, **fields: typing.Any) -> _routing.RoutingRequest:
    """Return one request."""
    return _routing.RoutingRequest(
        request_id=model.RequestId(str(number)),
        model=model.ModelName("m"),
        service=model.ServiceName("gate"),
        prompt_tokens=100,
        expected_tokens=100,
        **fields,
    )


def router(
    announcements: list[model.Announcement],
    seed: int = 1,
    **fields: typing.Any,
) -> _routing.Router:
    """Return a router that heard the announcements."""
    settings = _routing.RoutingSettings(
        data_centre=model.DataCentreId("beja"), **fields
    )
    made = _routing.Router(settings, random.Random(seed))
    for announcement in announcements:
        made.observe_announcement(announcement, NOW)
    return made


@strategies.composite
def fleets(draw: strategies.DrawFn) -> list[model.Announcement]:
    """Draw engines over 12 layers, whether or not they cover them."""
    fleet = []
    for number in range(draw(strategies.integers(0, 12))):
        first = draw(strategies.integers(0, 11))
        end = draw(strategies.integers(first, 14))
        fleet.append(
            engine(
                f"e{number}",
                first,
                end,
                draw(strategies.floats(1.0, 1e6)),
                draw(strategies.sampled_from(PLACES)),
                load=model.LoadReport(draw(strategies.integers(0, 50))),
            )
        )
    return fleet


class TestTiling:
    """A chosen pipeline runs each layer once, on engines that hold it."""

    @hypothesis.given(fleets(), strategies.data())
    def test_any_fleet(
        self, fleet: list[model.Announcement], data: strategies.DataObject
    ) -> None:
        names = [announcement.endpoint_id for announcement in fleet]
        some = strategies.frozensets(
            strategies.sampled_from(names or [model.EndpointId("x")])
        )
        excluded_endpoints = data.draw(some)
        wanted = work(
            excluded_endpoints=excluded_endpoints,
            preferred_endpoints=data.draw(some),
        )
        made = router(
            fleet, choices_per_segment=data.draw(strategies.integers(1, 40))
        )
        if len(names) > 1:
            made.observe_link(
                names[0], names[1], datetime.timedelta(seconds=1), NOW
            )
        chosen = made.choose_pipeline(wanted, fleet, 12, NOW)
        nothing = model.LayerRange(0, 0)
        held = {one.endpoint_id: one.layers or nothing for one in fleet}
        usable = [
            held[name] for name in names if name not in excluded_endpoints
        ]
        covered = {
            layer for one in usable for layer in range(one.first, one.end)
        }
        gap = set(range(12)) - covered
        if chosen.is_err():
            missing = chosen.unwrap_err().missing
            assert gap == {
                layer for one in missing for layer in range(one.first, one.end)
            }
            assert gap and chosen.unwrap_err().retry_after
            return
        stages = chosen.unwrap().stages
        assert model.Pipeline.tile(stages, 12).is_ok()
        for stage in stages:
            assert held[stage.endpoint_id].contains(stage.layers)
            assert stage.endpoint_id not in excluded_endpoints

    def test_changed_layers_are_seen_at_once(self) -> None:
        before = [engine("a", 0, 8), engine("b", 8, 12)]
        made = router(before)
        assert made.choose_pipeline(work(), before, 12, NOW).is_ok()
        after = [engine("a", 0, 6, sequence=1), engine("b", 6, 12)]
        stages = made.choose_pipeline(work(), after, 12, NOW).unwrap().stages
        assert [stage.layers.end for stage in stages] == [6, 12]


class TestChoice:
    """Speed, load, links and warm caches decide."""

    def test_equal_seeds_choose_alike(self) -> None:
        fleet = [engine(f"e{n}", 0, 12, place=PLACES[n % 3]) for n in range(9)]
        chosen = []
        for _ in range(2):
            made = router(fleet, seed=7)
            stages = []
            for number in range(50):
                wanted = work(number)
                pipeline = made.choose_pipeline(
                    wanted, fleet, 12, NOW
                ).unwrap()
                made.record_dispatch(wanted.request_id, pipeline, wanted, NOW)
                stages.append(pipeline)
            chosen.append(stages)
        assert chosen[0] == chosen[1]

    def test_slow_link_is_left_alone(self) -> None:
        fleet = [
            engine("a", 0, 6),
            engine("near", 6, 12),
            engine("far", 6, 12, rate=1010.0),
        ]
        made = router(fleet)
        a, far = model.EndpointId("a"), model.EndpointId("far")
        made.observe_link(a, far, datetime.timedelta(seconds=1), NOW)
        for number in range(20):
            pipeline = made.choose_pipeline(work(number), fleet, 12, NOW)
            assert pipeline.unwrap().stages[1].endpoint_id == "near"

    def test_slow_way_between_data_centres_is_left_alone(self) -> None:
        beja, jendouba, bousalem = map(model.DataCentreId, PLACES)
        # The second case is slow only on the way back to the first engine.
        cases = (
            (((beja,), (beja, jendouba), (beja,)), (beja, jendouba)),
            (((beja,), (jendouba,), (beja, bousalem)), (beja, bousalem)),
        )
        for places, (one, other) in cases:
            fleet = [
                engine(
                    f"{place}-{stage}", stage * 4, stage * 4 + 4, 1e6, place
                )
                for stage, held_in in enumerate(places)
                for place in held_in
            ]
            made = router(fleet)
            slow = datetime.timedelta(milliseconds=50)
            made.set_link_costs([_routing.LinkCost(one, other, slow)])
            for number in range(10):
                pipeline = made.choose_pipeline(work(number), fleet, 12, NOW)
                for stage in pipeline.unwrap().stages:
                    assert not stage.endpoint_id.startswith(other) or (
                        len(places[stage.layers.first // 4]) == 1
                    )

    def test_engine_slower_than_announced_gets_less(self) -> None:
        fleet = [engine("slow", 0, 12), engine("sound", 0, 12)]
        made = router(fleet)
        counts: collections.Counter[str] = collections.Counter()
        for number in range(200):
            now = NOW + datetime.timedelta(seconds=number / 2)
            fleet = [
                engine(
                    name,
                    0,
                    12,
                    sequence=number + 1,
                    load=model.LoadReport(running_requests=running),
                )
                for name, running in (("slow", 20), ("sound", 10))
            ]
            for announcement in fleet:
                made.observe_announcement(announcement, now)
            wanted = work(number)
            pipeline = made.choose_pipeline(wanted, fleet, 12, now).unwrap()
            made.record_dispatch(wanted.request_id, pipeline, wanted, now)
            made.finish_dispatch(wanted.request_id, 100, True, now)
            counts[pipeline.stages[0].endpoint_id] += 1
        assert counts["sound"] > 1.4 * counts["slow"]
        tokens = made.capacity_tokens_per_second(
            model.ModelName("m"), fleet, 12
        )
        assert tokens < 0.9 * 2000.0 / 12

    def test_new_engine_is_not_flooded(self) -> None:
        fleet = [engine(f"e{number}", 0, 12) for number in range(9)]
        made = router(fleet)
        running: collections.deque[tuple[model.RequestId, str]] = (
            collections.deque()
        )
        most = 0
        for number in range(600):
            now = NOW + datetime.timedelta(seconds=number / 10)
            if number == 300:
                fleet.append(engine("new", 0, 12))
            if len(running) == 100:
                made.finish_dispatch(running.popleft()[0], 100, True, now)
            wanted = work(number)
            pipeline = made.choose_pipeline(wanted, fleet, 12, now).unwrap()
            made.record_dispatch(wanted.request_id, pipeline, wanted, now)
            name = pipeline.stages[0].endpoint_id
            running.append((wanted.request_id, name))
            most = max(most, sum(name == "new" for _, name in running))
        assert 10 <= most <= 15

    def test_warm_prefix_wins_between_equals(self) -> None:
        fleet = [engine(f"e{n}", 0, 12) for n in range(8)]
        event = model.CacheEvent(0, snapshot=True, added=("h",))
        fleet[5] = engine("e5", 0, 12, sequence=1, cache_events=(event,))
        made = router(fleet)
        wanted = work(prefix_hashes=("h",))
        pipeline = made.choose_pipeline(wanted, fleet, 12, NOW).unwrap()
        assert pipeline.stages[0].endpoint_id == "e5"

    def test_no_herding_on_one_stale_report(self) -> None:
        fleet = [engine(f"e{n}", 0, 12) for n in range(20)]
        idle = engine("e0", 0, 12, sequence=1)
        busy = [
            engine(f"e{n}", 0, 12, sequence=1, load=model.LoadReport(10))
            for n in range(1, 20)
        ]
        fleet = [idle, *busy]
        counts: collections.Counter[str] = collections.Counter()
        for seed in range(100):
            made = router(fleet, seed=seed)
            pipeline = made.choose_pipeline(work(), fleet, 12, NOW).unwrap()
            counts[pipeline.stages[0].endpoint_id] += 1
        assert counts["e0"] <= 20

    def test_load_spreads_by_rate(self) -> None:
        fleet = [
            engine("fast", 0, 12, rate=3000.0),
            engine("slow", 0, 12, rate=1000.0),
        ]
        made = router(fleet)
        counts: collections.Counter[str] = collections.Counter()
        for number in range(400):
            wanted = work(number)
            pipeline = made.choose_pipeline(wanted, fleet, 12, NOW).unwrap()
            made.record_dispatch(wanted.request_id, pipeline, wanted, NOW)
            counts[pipeline.stages[0].endpoint_id] += 1
        assert 2.5 <= counts["fast"] / counts["slow"] <= 3.5

    def test_predicted_finish_grows_with_load(self) -> None:
        fleet = [engine("a", 0, 12)]
        made = router(fleet)
        pipeline = made.choose_pipeline(work(), fleet, 12, NOW).unwrap()
        before = made.predict_duration(work(), pipeline, NOW)
        made.record_dispatch(model.RequestId("1"), pipeline, work(1), NOW)
        made.record_dispatch(model.RequestId("2"), pipeline, work(2), NOW)
        assert made.predict_duration(work(), pipeline, NOW) > before
        for name in ("1", "2", "2"):
            made.finish_dispatch(model.RequestId(name), 100, True, NOW)
        later = NOW + datetime.timedelta(seconds=1)
        made.observe_announcement(engine("a", 0, 12, sequence=1), later)
        assert made.predict_duration(work(), pipeline, later) == before

    def test_capacity_is_the_bottleneck(self) -> None:
        cases = (
            ([engine("a", 0, 6), engine("b", 6, 12, 600.0)], 100.0),
            ([engine("a", 0, 12, 600.0), engine("b", 6, 12, 600.0)], 100.0),
            ([engine("a", 0, 12), engine("b", 6, 12, 2000.0)], 1000 / 6),
            ([engine("a", 0, 12, 600.0), engine("b", 0, 6, 600.0)], 100.0),
            ([engine("a", 0, 6)], 0.0),
        )
        for fleet, expected in cases:
            found = router(fleet).capacity_tokens_per_second(
                model.ModelName("m"), fleet, 12
            )
            assert abs(found - expected) <= expected * 1e-6


class TestServiceChoice:
    """Plain services go to the less loaded of two."""

    def test_avoided_leaving_and_loaded(self) -> None:
        fleet = [
            engine("a", 0, 1, load=model.LoadReport(running_requests=5)),
            engine("b", 0, 1),
            engine("c", 0, 1, leaving=True),
        ]
        made = router(fleet)
        gate = model.ServiceName("gate")
        chosen = made.choose_service_endpoint(gate, fleet, frozenset(), NOW)
        assert chosen.unwrap().endpoint_id == "b"
        excluded_endpoints = frozenset(
            {model.EndpointId("a"), model.EndpointId("b")}
        )
        refused = made.choose_service_endpoint(
            gate, fleet, excluded_endpoints, NOW
        )
        assert isinstance(refused.unwrap_err(), _routing.NoEndpoint)
