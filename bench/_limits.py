"""Admission control, retry budget and quarantine: effect and CPU cost.

Admission and endpoints run in simulated time; only figures in microseconds
are measured on the machine.  The baselines are one queue in order of arrival
and retries without a budget.
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
PIECE_COUNT = 20_000
DECISION_COUNT = 2_000
SUSPECT_COUNT = 30


def measure() -> list[_figure.Figure]:
    """Return all figures of this benchmark."""
    return [
        *measure_fair_share(),
        *measure_endpoint_loss(),
        measure_piece_cost(),
        *(measure_admission_cost(count) for count in (10, 270)),
        *measure_rumours(),
    ]


def measure_fair_share() -> list[_figure.Figure]:
    """Measure the effect of a heavy customer on the other customers.

    One of 10 customers sends ten times its fair share.
    """
    figures = []
    for name, make_policy in (
        ("first come, first served", models.FifoAdmission),
        ("fair share", models.make_controller),
    ):
        ratios, heavy_runs = [], []
        for seed in SEEDS:
            even_load = models.run_fair_share(make_policy(seed), 1.0, seed)
            heavy_load = models.run_fair_share(make_policy(seed), 10.0, seed)
            ratios.append(heavy_load.others_p95 / even_load.others_p95)
            heavy_runs.append(heavy_load)
        setting = f"1 of 10 sends 10 shares, {name}"
        figures.append(
            _make_figure("others' p95, ratio", ratios, "x", setting)
        )
        refused_shares = [run.others_refused for run in heavy_runs]
        figures.append(
            _make_figure("others refused", refused_shares, "of 1", setting)
        )
        if make_policy is models.FifoAdmission:
            continue
        immediate_shares = [run.refused_immediately for run in heavy_runs]
        figures.append(
            _make_figure(
                "refused without a wait", immediate_shares, "of 1", setting
            )
        )
        refusal_seconds = [run.refusal_seconds_p95 for run in heavy_runs]
        figures.append(
            _make_figure("time to refusal, p95", refusal_seconds, "s", setting)
        )
        refusal_seconds = [run.refusal_seconds_max for run in heavy_runs]
        figures.append(
            _make_figure(
                "time to refusal, longest", refusal_seconds, "s", setting
            )
        )
    return figures


def measure_endpoint_loss() -> list[_figure.Figure]:
    """Measure retries and goodput when a third of the endpoints fail."""
    figures = []
    for name, has_limits in (("no limits", False), ("limits", True)):
        runs = [models.EndpointLoss(seed, has_limits).run() for seed in SEEDS]
        setting = f"10 of 30 endpoints die, {name}"
        for title, values, unit in (
            ("dispatches per request", [run.dispatches for run in runs], ""),
            (
                "the same, 5 s later on",
                [run.later_dispatches for run in runs],
                "",
            ),
            ("time to stable", [run.seconds_to_stable for run in runs], "s"),
            (
                "answered, of what 2/3 can do",
                [run.goodput for run in runs],
                "",
            ),
            (
                "admitted and not answered",
                [run.unanswered for run in runs],
                "of 1",
            ),
        ):
            figures.append(_make_figure(title, values, unit, setting))
    return figures


def measure_piece_cost() -> _figure.Figure:
    """Measure the CPU time to accept a piece in order, with 4 stages."""
    now = models.START
    request_id = model.RequestId("r")
    stages = tuple(
        model.Stage(
            model.EndpointId(f"e{stage_number}"),
            "http://127.0.0.1:1",
            model.LayerRange(8 * stage_number, 8 * stage_number + 8),
        )
        for stage_number in range(4)
    )
    # Each piece has its own lineage objects, as decoded pieces do.  Python
    # compares tuples of identical objects faster than tuples of equal ones.
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
        for position in range(PIECE_COUNT)
    ]
    rounds = []
    for _ in range(5):
        assembly = answers.AnswerAssembly(request_id, PIECE_COUNT)
        assembly.start_attempt(model.Pipeline(stages), now)
        start = time.process_time()
        for piece in pieces:
            assembly.accept(piece, now)
        rounds.append((time.process_time() - start) / PIECE_COUNT * 1e6)
    return _make_figure("CPU of one accept(piece)", rounds, "us", "4 stages")


def measure_admission_cost(customer_count: int) -> _figure.Figure:
    """Measure the CPU time of a submit and a finish, with queued requests."""
    rounds = []
    for seed in SEEDS:
        controller = admission.AdmissionController(
            admission.AdmissionSettings(), models.START, random.Random(seed)
        )
        controller.set_capacity(10_000, 5_000.0, models.START)
        running: list[model.RequestId] = []
        requests = [
            models.make_request(number, f"c{number % customer_count}", 400)
            for number in range(DECISION_COUNT + 900)
        ]
        for request in requests[:900]:
            running += models.admitted(
                controller.submit(request, models.START)
            )
        start = time.process_time()
        for request in requests[900:]:
            running += models.admitted(
                controller.submit(request, models.START)
            )
            decisions = controller.finish(running.pop(0), 400, models.START)
            running += models.admitted(decisions)
        rounds.append((time.process_time() - start) / DECISION_COUNT * 1e6)
    return _make_figure(
        "CPU of one submit and leave",
        rounds,
        "us",
        f"{customer_count} customers, about 900 queued",
    )


def measure_rumours() -> list[_figure.Figure]:
    """Measure the CPU time of an endpoint's death and of its rumours.

    The times are for each suspect: to record the death on one VM, and to
    merge the rumour on another.  The size is of one encoded rumour.
    """
    settings = admission.QuarantineSettings()
    in_flight = tuple(
        admission.InFlightRequest(
            model.RequestId(f"r{number}"),
            admission.Fingerprint(model.CustomerId("c0"), f"{number:032x}"),
            True,
        )
        for number in range(SUSPECT_COUNT)
    )
    event = admission.EndpointDied(
        model.EndpointId("engine-17"), model.Incarnation(3), in_flight
    )
    death_microseconds, merge_microseconds, rumour_bytes = [], [], []
    for _ in range(5):
        source = admission.Quarantine(model.VmId("v1"), settings)
        target = admission.Quarantine(model.VmId("v2"), settings)
        start = time.process_time()
        source.endpoint_died(event, models.START)
        death_microseconds.append(
            (time.process_time() - start) / SUSPECT_COUNT * 1e6
        )
        start = time.process_time()
        for rumour in source.rumours:
            target.merge(rumour, models.START)
        merge_microseconds.append(
            (time.process_time() - start) / SUSPECT_COUNT * 1e6
        )
        rumour_bytes.append(
            statistics.mean(
                len(msgspec.msgpack.encode(rumour))
                for rumour in source.rumours
            )
        )
    setting = f"{SUSPECT_COUNT} suspects aboard"
    return [
        _make_figure(
            "CPU of a death, each suspect", death_microseconds, "us", setting
        ),
        _make_figure(
            "CPU of one merged rumour", merge_microseconds, "us", setting
        ),
        _make_figure("size of one rumour", rumour_bytes, "bytes", setting),
    ]


def _make_figure(
    name: str, values: typing.Sequence[float], unit: str, setting: str
) -> _figure.Figure:
    spread = f"{min(values):.3g} to {max(values):.3g}, {len(values)} runs"
    return _figure.Figure(
        name, statistics.median(values), unit, setting, spread
    )
