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
DATA_CENTRES = ("beja", "jendouba", "bousalem")


def engine(
    name: str,
    first: int,
    end: int,
    rate: float = 1000.0,
    data_centre: str = "beja",
    **fields: typing.Any,
) -> model.Announcement:
    """Return the announcement of one engine."""
    return model.Announcement(
        endpoint_id=model.EndpointId(name),
        incarnation=model.Incarnation(1),
        sequence=fields.pop("sequence", 0),
        kind=model.EndpointKind.ENGINE,
        address="http://127.0.0.1:1",
        data_centre=model.DataCentreId(data_centre),
        services=(model.ServiceName("gate"),),
        model=model.ModelName("m"),
        layers=model.LayerRange(first, end),
        accelerator=model.AcceleratorSpec("a", 1, rate),
        **fields,
    )


def routing_request(
    number: int = 0, **fields: typing.Any
) -> _routing.RoutingRequest:
    """Return a request with 100 prompt and 100 expected tokens."""
    return _routing.RoutingRequest(
        request_id=model.RequestId(str(number)),
        model=model.ModelName("m"),
        service=model.ServiceName("gate"),
        prompt_tokens=100,
        expected_tokens=100,
        **fields,
    )


def router_for(
    announcements: list[model.Announcement],
    seed: int = 1,
    **fields: typing.Any,
) -> _routing.Router:
    """Return a router that has received the announcements."""
    settings = _routing.RoutingSettings(
        data_centre=model.DataCentreId("beja"), **fields
    )
    router = _routing.Router(settings, random.Random(seed))
    for announcement in announcements:
        router.observe_announcement(announcement, NOW)
    return router


@strategies.composite
def fleets(draw: strategies.DrawFn) -> list[model.Announcement]:
    """Draw engines over 12 layers, which they may cover only in part."""
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
                draw(strategies.sampled_from(DATA_CENTRES)),
                load=model.LoadReport(draw(strategies.integers(0, 50))),
            )
        )
    return fleet


class TestTiling:
    """A chosen pipeline runs each layer once, on an engine that holds it."""

    @hypothesis.given(fleets(), strategies.data())
    def test_pipeline_covers_each_layer_or_error_names_gaps(
        self, fleet: list[model.Announcement], data: strategies.DataObject
    ) -> None:
        endpoint_ids = [announcement.endpoint_id for announcement in fleet]
        subsets = strategies.frozensets(
            strategies.sampled_from(endpoint_ids or [model.EndpointId("x")])
        )
        excluded_endpoints = data.draw(subsets)
        request = routing_request(
            excluded_endpoints=excluded_endpoints,
            preferred_endpoints=data.draw(subsets),
        )
        router = router_for(
            fleet, choices_per_segment=data.draw(strategies.integers(1, 40))
        )
        if len(endpoint_ids) > 1:
            router.observe_link(
                endpoint_ids[0],
                endpoint_ids[1],
                datetime.timedelta(seconds=1),
                NOW,
            )
        chosen = router.choose_pipeline(request, fleet, 12, NOW)
        no_layers = model.LayerRange(0, 0)
        held = {
            announcement.endpoint_id: announcement.layers or no_layers
            for announcement in fleet
        }
        usable = [
            held[endpoint_id]
            for endpoint_id in endpoint_ids
            if endpoint_id not in excluded_endpoints
        ]
        covered = {
            layer
            for layers in usable
            for layer in range(layers.first, layers.end)
        }
        uncovered = set(range(12)) - covered
        if chosen.is_err():
            missing = chosen.unwrap_err().missing
            assert uncovered == {
                layer
                for layers in missing
                for layer in range(layers.first, layers.end)
            }
            assert uncovered and chosen.unwrap_err().retry_after
            return
        stages = chosen.unwrap().stages
        assert model.Pipeline.tile(stages, 12).is_ok()
        for stage in stages:
            assert held[stage.endpoint_id].contains(stage.layers)
            assert stage.endpoint_id not in excluded_endpoints

    def test_announced_change_of_layers_takes_effect_at_once(self) -> None:
        before = [engine("a", 0, 8), engine("b", 8, 12)]
        router = router_for(before)
        assert router.choose_pipeline(
            routing_request(), before, 12, NOW
        ).is_ok()
        after = [engine("a", 0, 6, sequence=1), engine("b", 6, 12)]
        stages = (
            router.choose_pipeline(routing_request(), after, 12, NOW)
            .unwrap()
            .stages
        )
        assert [stage.layers.end for stage in stages] == [6, 12]


class TestChoice:
    """Speed, load, links and prefix caches determine the pipeline."""

    def test_equal_seeds_choose_equal_pipelines(self) -> None:
        fleet = [
            engine(f"e{n}", 0, 12, data_centre=DATA_CENTRES[n % 3])
            for n in range(9)
        ]
        chosen = []
        for _ in range(2):
            router = router_for(fleet, seed=7)
            stages = []
            for number in range(50):
                request = routing_request(number)
                pipeline = router.choose_pipeline(
                    request, fleet, 12, NOW
                ).unwrap()
                router.record_dispatch(
                    request.request_id, pipeline, request, NOW
                )
                stages.append(pipeline)
            chosen.append(stages)
        assert chosen[0] == chosen[1]

    def test_measured_slow_link_is_avoided(self) -> None:
        fleet = [
            engine("a", 0, 6),
            engine("near", 6, 12),
            engine("far", 6, 12, rate=1010.0),
        ]
        router = router_for(fleet)
        a, far = model.EndpointId("a"), model.EndpointId("far")
        router.observe_link(a, far, datetime.timedelta(seconds=1), NOW)
        for number in range(20):
            pipeline = router.choose_pipeline(
                routing_request(number), fleet, 12, NOW
            )
            assert pipeline.unwrap().stages[1].endpoint_id == "near"

    def test_configured_slow_link_between_data_centres_is_avoided(
        self,
    ) -> None:
        beja, jendouba, bousalem = map(model.DataCentreId, DATA_CENTRES)
        # In the second case only the link back to the first engine is slow.
        cases = (
            (((beja,), (beja, jendouba), (beja,)), (beja, jendouba)),
            (((beja,), (jendouba,), (beja, bousalem)), (beja, bousalem)),
        )
        for data_centres_by_stage, (first, second) in cases:
            fleet = [
                engine(
                    f"{data_centre}-{stage}",
                    stage * 4,
                    stage * 4 + 4,
                    1e6,
                    data_centre,
                )
                for stage, data_centres in enumerate(data_centres_by_stage)
                for data_centre in data_centres
            ]
            router = router_for(fleet)
            slow = datetime.timedelta(milliseconds=50)
            router.set_link_costs([_routing.LinkCost(first, second, slow)])
            for number in range(10):
                pipeline = router.choose_pipeline(
                    routing_request(number), fleet, 12, NOW
                )
                for stage in pipeline.unwrap().stages:
                    assert not stage.endpoint_id.startswith(second) or (
                        len(data_centres_by_stage[stage.layers.first // 4])
                        == 1
                    )

    def test_engine_slower_than_announced_gets_fewer_requests(self) -> None:
        fleet = [engine("slow", 0, 12), engine("healthy", 0, 12)]
        router = router_for(fleet)
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
                for name, running in (("slow", 20), ("healthy", 10))
            ]
            for announcement in fleet:
                router.observe_announcement(announcement, now)
            request = routing_request(number)
            pipeline = router.choose_pipeline(request, fleet, 12, now).unwrap()
            router.record_dispatch(request.request_id, pipeline, request, now)
            router.finish_dispatch(request.request_id, 100, True, now)
            counts[pipeline.stages[0].endpoint_id] += 1
        assert counts["healthy"] > 1.4 * counts["slow"]
        tokens = router.capacity_tokens_per_second(
            model.ModelName("m"), fleet, 12
        )
        assert tokens < 0.9 * 2000.0 / 12

    def test_new_engine_gets_no_more_than_its_share(self) -> None:
        fleet = [engine(f"e{number}", 0, 12) for number in range(9)]
        router = router_for(fleet)
        running: collections.deque[tuple[model.RequestId, str]] = (
            collections.deque()
        )
        most_on_new = 0
        for number in range(600):
            now = NOW + datetime.timedelta(seconds=number / 10)
            if number == 300:
                fleet.append(engine("new", 0, 12))
            if len(running) == 100:
                router.finish_dispatch(running.popleft()[0], 100, True, now)
            request = routing_request(number)
            pipeline = router.choose_pipeline(request, fleet, 12, now).unwrap()
            router.record_dispatch(request.request_id, pipeline, request, now)
            name = pipeline.stages[0].endpoint_id
            running.append((request.request_id, name))
            most_on_new = max(
                most_on_new, sum(name == "new" for _, name in running)
            )
        assert 10 <= most_on_new <= 15

    def test_engine_with_cached_prefix_is_preferred_among_equals(self) -> None:
        fleet = [engine(f"e{n}", 0, 12) for n in range(8)]
        event = model.CacheEvent(0, snapshot=True, added=("h",))
        fleet[5] = engine("e5", 0, 12, sequence=1, cache_events=(event,))
        router = router_for(fleet)
        request = routing_request(prefix_hashes=("h",))
        pipeline = router.choose_pipeline(request, fleet, 12, NOW).unwrap()
        assert pipeline.stages[0].endpoint_id == "e5"

    def test_routers_with_same_stale_report_do_not_choose_same_engine(
        self,
    ) -> None:
        fleet = [engine(f"e{n}", 0, 12) for n in range(20)]
        idle = engine("e0", 0, 12, sequence=1)
        busy = [
            engine(f"e{n}", 0, 12, sequence=1, load=model.LoadReport(10))
            for n in range(1, 20)
        ]
        fleet = [idle, *busy]
        counts: collections.Counter[str] = collections.Counter()
        for seed in range(100):
            router = router_for(fleet, seed=seed)
            pipeline = router.choose_pipeline(
                routing_request(), fleet, 12, NOW
            ).unwrap()
            counts[pipeline.stages[0].endpoint_id] += 1
        assert counts["e0"] <= 20

    def test_requests_spread_in_proportion_to_announced_rate(self) -> None:
        fleet = [
            engine("fast", 0, 12, rate=3000.0),
            engine("slow", 0, 12, rate=1000.0),
        ]
        router = router_for(fleet)
        counts: collections.Counter[str] = collections.Counter()
        for number in range(400):
            request = routing_request(number)
            pipeline = router.choose_pipeline(request, fleet, 12, NOW).unwrap()
            router.record_dispatch(request.request_id, pipeline, request, NOW)
            counts[pipeline.stages[0].endpoint_id] += 1
        assert 2.5 <= counts["fast"] / counts["slow"] <= 3.5

    def test_predicted_duration_grows_with_load(self) -> None:
        fleet = [engine("a", 0, 12)]
        router = router_for(fleet)
        pipeline = router.choose_pipeline(
            routing_request(), fleet, 12, NOW
        ).unwrap()
        before = router.predict_duration(routing_request(), pipeline, NOW)
        router.record_dispatch(
            model.RequestId("1"), pipeline, routing_request(1), NOW
        )
        router.record_dispatch(
            model.RequestId("2"), pipeline, routing_request(2), NOW
        )
        assert (
            router.predict_duration(routing_request(), pipeline, NOW) > before
        )
        for name in ("1", "2", "2"):
            router.finish_dispatch(model.RequestId(name), 100, True, NOW)
        later = NOW + datetime.timedelta(seconds=1)
        router.observe_announcement(engine("a", 0, 12, sequence=1), later)
        assert (
            router.predict_duration(routing_request(), pipeline, later)
            == before
        )

    def test_capacity_is_that_of_the_bottleneck_layers(self) -> None:
        cases = (
            ([engine("a", 0, 6), engine("b", 6, 12, 600.0)], 100.0),
            ([engine("a", 0, 12, 600.0), engine("b", 6, 12, 600.0)], 100.0),
            ([engine("a", 0, 12), engine("b", 6, 12, 2000.0)], 1000 / 6),
            ([engine("a", 0, 12, 600.0), engine("b", 0, 6, 600.0)], 100.0),
            ([engine("a", 0, 6)], 0.0),
        )
        for fleet, expected in cases:
            capacity = router_for(fleet).capacity_tokens_per_second(
                model.ModelName("m"), fleet, 12
            )
            assert abs(capacity - expected) <= expected * 1e-6


class TestServiceChoice:
    """Service calls go to the less loaded of two endpoints."""

    def test_excluded_leaving_and_loaded_endpoints_are_not_chosen(
        self,
    ) -> None:
        fleet = [
            engine("a", 0, 1, load=model.LoadReport(running_requests=5)),
            engine("b", 0, 1),
            engine("c", 0, 1, leaving=True),
        ]
        router = router_for(fleet)
        gate = model.ServiceName("gate")
        chosen = router.choose_service_endpoint(gate, fleet, frozenset(), NOW)
        assert chosen.unwrap().endpoint_id == "b"
        excluded_endpoints = frozenset(
            {model.EndpointId("a"), model.EndpointId("b")}
        )
        refused = router.choose_service_endpoint(
            gate, fleet, excluded_endpoints, NOW
        )
        assert isinstance(refused.unwrap_err(), _routing.NoEndpoint)
