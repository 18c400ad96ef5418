"""Limits: fair share, a third of the endpoints dying, and what they cost.

The doors and the endpoints run in simulated time; only the figures in
microseconds are taken from the machine.  Baselines: one queue for all in
order of arrival, and retries without a budget.
"""

import random
import statistics
import time
import typing

import msgspec

from bench import _figure
from bench import _limits_models as models
from sedgepin import _admission as admission
from sedgepin import _answers as answers
from sedgepin import _model as model

SEEDS = (1, 2, 3, 4, 5)
PIECES = 20_000
DECISIONS = 2_000
SUSPECTS = 30


def measure() -> list[_figure.Figure]:
    """Return all figures of the limits."""
    return [
        *measure_fair_share(),
        *measure_endpoint_loss(),
        measure_accept(),
        *(measure_decision(count) for count in (10, 270)),
        *measure_rumours(),
    ]


def measure_fair_share() -> list[_figure.Figure]:
    """Compare the others' wait with and without one heavy customer."""
    figures = []
    for name, door in (
        ("first come, first served", models.FifoDoor),
        ("fair share", models.make_admission),
    ):
        ratios, refusals = [], []
        for seed in SEEDS:
            calm = models.run_share(door(seed), 1.0, seed)
            heavy = models.run_share(door(seed), 10.0, seed)
            ratios.append(heavy.others_p95 / calm.others_p95)
            refusals.append(heavy)
        setting = f"1 of 10 sends 10 shares, {name}"
        figures.append(_over_seeds("others' p95, ratio", ratios, "x", setting))
        refused = [run.others_refused for run in refusals]
        figures.append(_over_seeds("others refused", refused, "of 1", setting))
        if door is models.FifoDoor:
            continue
        at_once = [run.refused_at_once for run in refusals]
        figures.append(
            _over_seeds("refused without a wait", at_once, "of 1", setting)
        )
        waits = [run.refusal_seconds_p95 for run in refusals]
        figures.append(
            _over_seeds("time to refusal, p95", waits, "s", setting)
        )
        waits = [run.refusal_seconds_max for run in refusals]
        figures.append(
            _over_seeds("time to refusal, longest", waits, "s", setting)
        )
    return figures


def measure_endpoint_loss() -> list[_figure.Figure]:
    """Let a third of the endpoints die at full load."""
    figures = []
    for name, limited in (("no limits", False), ("limits", True)):
        runs = [models.EndpointLoss(seed, limited).run() for seed in SEEDS]
        setting = f"10 of 30 endpoints die, {name}"
        for title, values, unit in (
            ("dispatches per request", [r.dispatches for r in runs], ""),
            ("the same, 5 s later on", [r.later for r in runs], ""),
            ("time to stable", [r.seconds_to_stable for r in runs], "s"),
            ("answered, of what 2/3 can do", [r.goodput for r in runs], ""),
            ("admitted and not answered", [r.cut_off for r in runs], "of 1"),
        ):
            figures.append(_over_seeds(title, values, unit, setting))
    return figures


def measure_accept() -> _figure.Figure:
    """Time the work on one piece of an answer, in order, 4 stages."""
    now = models.START
    request_id = model.RequestId("r")
    stages = tuple(
        model.Stage(
            model.EndpointId(f"e{i}"),
            "http://127.0.0.1:1",
            model.LayerRange(8 * i, 8 * i + 8),
        )
        for i in range(4)
    )
    # Equal but not the same objects, as a decoder makes them.
    pieces = [
        model.TokenPiece(
            request_id,
            1,
            position,
            "token",
            tuple(
                model.StageMark(stage.endpoint_id, stage.layers)
                for stage in stages
            ),
        )
        for position in range(PIECES)
    ]
    rounds = []
    for _ in range(5):
        assembly = answers.AnswerAssembly(request_id, PIECES)
        assembly.start_attempt(model.Pipeline(stages), now)
        started = time.process_time()
        for piece in pieces:
            assembly.accept(piece, now)
        rounds.append((time.process_time() - started) / PIECES * 1e6)
    return _over_seeds("CPU of one accept(piece)", rounds, "us", "4 stages")


def measure_decision(customers: int) -> _figure.Figure:
    """Time submit and leave together, all customers with a queue."""
    rounds = []
    for seed in SEEDS:
        door = admission.AdmissionController(
            admission.AdmissionSettings(), models.START, random.Random(seed)
        )
        door.set_capacity(10_000, 5_000.0, models.START)
        running: list[model.RequestId] = []
        tickets = [
            models.make_ticket(number, f"c{number % customers}", 400)
            for number in range(DECISIONS + 900)
        ]
        for ticket in tickets[:900]:
            running += models.admitted(door.submit(ticket, models.START))
        started = time.process_time()
        for ticket in tickets[900:]:
            running += models.admitted(door.submit(ticket, models.START))
            left = door.finish(running.pop(0), 400, models.START)
            running += models.admitted(left)
        rounds.append((time.process_time() - started) / DECISIONS * 1e6)
    return _over_seeds(
        "CPU of one submit and leave",
        rounds,
        "us",
        f"{customers} customers, about 900 queued",
    )


def measure_rumours() -> list[_figure.Figure]:
    """Time a death with suspects aboard, and the rumours on another VM."""
    settings = admission.QuarantineSettings()
    aboard = tuple(
        admission.InFlightRequest(
            model.RequestId(f"r{number}"),
            admission.Fingerprint(model.CustomerId("c0"), f"{number:032x}"),
            True,
        )
        for number in range(SUSPECTS)
    )
    died = admission.EndpointDied(
        model.EndpointId("engine-17"), model.Incarnation(3), aboard
    )
    deaths, merges, sizes = [], [], []
    for _ in range(5):
        here = admission.Quarantine(model.VmId("v1"), settings)
        there = admission.Quarantine(model.VmId("v2"), settings)
        started = time.process_time()
        here.endpoint_died(died, models.START)
        deaths.append((time.process_time() - started) / SUSPECTS * 1e6)
        started = time.process_time()
        for rumour in here.rumours:
            there.merge(rumour, models.START)
        merges.append((time.process_time() - started) / SUSPECTS * 1e6)
        sizes.append(
            statistics.mean(
                len(msgspec.msgpack.encode(rumour)) for rumour in here.rumours
            )
        )
    setting = f"{SUSPECTS} suspects aboard"
    return [
        _over_seeds("CPU of a death, each suspect", deaths, "us", setting),
        _over_seeds("CPU of one merged rumour", merges, "us", setting),
        _over_seeds("size of one rumour", sizes, "bytes", setting),
    ]


def _over_seeds(
    name: str, values: typing.Sequence[float], unit: str, setting: str
) -> _figure.Figure:
    spread = f"{min(values):.3g} to {max(values):.3g}, {len(values)} runs"
    return _figure.Figure(
        name, statistics.median(values), unit, setting, spread
    )
