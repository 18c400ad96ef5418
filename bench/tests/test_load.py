"""Tests of the emulated engines, and of days on them."""

import dataclasses

import pytest

from bench import _emulated_callers
from bench import _emulated_day
from bench import _emulated_engines
from bench import _load
from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin._placement.tests import test_plan

_SERVICE = model.ServiceName("model")


class _Caller(_emulated_engines.Listener):
    """Keeps what it is told of jobs, and when."""

    def __init__(self, timeline: _emulated_engines.Timeline) -> None:
        self._timeline = timeline
        self.events: list[float] = []
        self.refusals = 0
        self.ends: list[float] = []

    def refused(self, job: _emulated_engines.Job) -> None:
        self.refusals += 1

    def produced(self, job: _emulated_engines.Job) -> None:
        self.events.append(self._timeline.now)

    def finished(self, job: _emulated_engines.Job) -> None:
        self.ends.append(self._timeline.now)


class _Fleet:
    """Three a100 that hold a model of 80 layers together."""

    _RANGES = ((0, 27), (27, 54), (54, 80))

    def __init__(self) -> None:
        self.timeline = _emulated_engines.Timeline()
        self.engines = _emulated_engines.EngineFleet(
            self.timeline, test_plan.make_profile()
        )
        self.caller = _Caller(self.timeline)
        stages: list[model.Stage] = []
        for number, (first, end) in enumerate(self._RANGES):
            layers = model.LayerRange(first, end)
            word = catalog.Registration(
                endpoint_id=model.EndpointId(f"e{number}"),
                incarnation=1,
                sequence=1,
                service=_SERVICE,
                address=f"e{number}:80",
                data_centre=model.DataCentreId("one"),
                state=catalog.EndpointState.READY,
                layers=layers,
                accelerator="a100",
            )
            self.engines.add(word)
            stages.append(model.Stage(word.endpoint_id, word.address, layers))
        self.pipeline = model.Pipeline.tile(tuple(stages), 80).unwrap()

    def start(self, prompt_tokens: int = 800, answer_tokens: int = 41) -> None:
        job = _emulated_engines.Job(
            1, self.pipeline, prompt_tokens, answer_tokens, self.caller
        )
        self.engines.start(job)


class TestEngines:
    def test_one_job_takes_the_time_that_its_layers_take(self) -> None:
        fleet = _Fleet()
        fleet.start()
        fleet.timeline.run(10_000)
        # 800 tokens at 164 a ms, 3.2 times as long on this card.
        reading = 800 / 164 * 3.2
        assert fleet.caller.events[0] == pytest.approx(reading, rel=0.25)
        # 4 steps of 1.02 ms and a little, 2.4 times as long.
        pause = fleet.caller.events[5] - fleet.caller.events[4]
        assert pause == pytest.approx(4 * 1.02 * 2.4, rel=0.15)
        assert len(fleet.caller.events) == 11
        assert len(fleet.caller.ends) == 1

    def test_many_jobs_take_longer_each(self) -> None:
        alone, crowded = _Fleet(), _Fleet()
        alone.start()
        for _number in range(40):
            crowded.start()
        for fleet in (alone, crowded):
            fleet.timeline.run(60_000)
        assert len(crowded.caller.ends) == 40
        assert crowded.caller.ends[-1] > 2 * alone.caller.ends[0]

    def test_no_job_is_taken_without_room_for_its_prompt(self) -> None:
        fleet = _Fleet()
        for _number in range(3):
            fleet.start(prompt_tokens=30_000, answer_tokens=4_001)
            fleet.timeline.run(fleet.timeline.now + 2_000)
        assert fleet.caller.refusals >= 1

    def test_the_newest_job_is_preempted_and_ends_later(self) -> None:
        fleet = _Fleet()
        for _number in range(80):
            fleet.start(prompt_tokens=700, answer_tokens=401)
        fleet.timeline.run(120_000)
        preempted = sum(
            one.preempted for one in fleet.engines.engines.values()
        )
        assert preempted > 0
        assert len(fleet.caller.ends) + fleet.caller.refusals == 80

    def test_slow_engine_slows_its_jobs(self) -> None:
        fast, slow = _Fleet(), _Fleet()
        slow.engines.engines[model.EndpointId("e1")].slowness = 10.0
        for fleet in (fast, slow):
            fleet.start()
            fleet.timeline.run(60_000)
        assert slow.caller.ends[0] > 3 * fast.caller.ends[0]


class TestDays:
    @pytest.mark.parametrize("name", ["calm", "twice the load for 5 s"])
    def test_every_caller_has_one_outcome(self, name: str) -> None:
        day = dataclasses.replace(_load.DAYS[name], seconds=3.0)
        emulation = _emulated_day.Emulation(day, test_plan.make_profile())
        outcomes = emulation.run()
        shares = _emulated_callers.shares(day, outcomes)
        assert sum(shares) == pytest.approx(1.0)
        assert all(
            one.is_complete or one.refusals or one.first_at is not None
            for one in outcomes
        )

    def test_a_calm_day_is_served(self) -> None:
        day = dataclasses.replace(_load.DAYS["calm"], seconds=4.0)
        emulation = _emulated_day.Emulation(day, test_plan.make_profile())
        in_time, _late, _unserved = _emulated_callers.shares(
            day, emulation.run()
        )
        assert in_time > 0.99

    def test_slowness_that_is_told_helps(self) -> None:
        told = _load.DAYS["3 of 10 engines slow"]
        untold = dataclasses.replace(told, is_slowness_told=False)
        late: list[float] = []
        for day in (told, untold):
            emulation = _emulated_day.Emulation(day, test_plan.make_profile())
            outcomes = emulation.run()
            firsts = sorted(
                one.first_at - one.asked_at
                for one in outcomes
                if one.first_at is not None
            )
            late.append(firsts[len(firsts) // 2])
        assert late[0] < late[1]

    def test_the_same_seed_gives_the_same_day(self) -> None:
        day = dataclasses.replace(_load.DAYS["calm"], seconds=2.0)
        runs = [
            _emulated_day.Emulation(day, test_plan.make_profile()).run()
            for _ in range(2)
        ]
        assert runs[0] == runs[1]
