"""The paths of attempts and probes to the stages of their pipelines."""

import datetime

from sedgepin._entry import _context
from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin._entry import _open_answer
from sedgepin._entry import _paths
from sedgepin import _model as model

Effects = list[_effects.EntryEffect]

# Shorter than the failure detector's probe timeout, so that the stages'
# reports, which identify the dead stage, arrive first.
_PROBE_TIMEOUT = datetime.timedelta(milliseconds=400)

_WaitingProbe = tuple[model.RequestId, int]


class StreamPaths:
    """Decides how the stages of an attempt are reached, directly or not."""

    __slots__ = ("_paths", "_waiting_probes")

    def __init__(self, context: _context.ReducerContext) -> None:
        self._paths = context.paths
        self._waiting_probes: list[_WaitingProbe] = []

    def record_failure(
        self,
        answer: _open_answer.OpenAnswer,
        event: _events.StreamFailed,
        now: datetime.datetime,
    ) -> tuple[bool, Effects]:
        """Record that an attempt could not be sent to its first stage.

        Return whether the stage is to blame, and the effects.
        """
        pipeline = answer.assembly.pipeline
        if pipeline is None or event.link_failure is None:
            return True, []
        first = pipeline.stages[0]
        return self._paths.record_failure(
            first.endpoint_id,
            first.address,
            event.link_failure,
            answer.forwarder,
            now,
        )

    def can_detour(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> bool:
        """Return whether an attempt may take another path."""
        pipeline = answer.assembly.pipeline
        return (
            pipeline is not None
            and answer.detours < _paths.MAX_DETOURS
            and self._paths.has_detour(pipeline.stages[0].address, now)
        )

    def start_probe(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        """Probe the stages of the current attempt, directly if possible."""
        answer.probe += 1
        answer.probe_detours = 0
        return self._probe(answer, now)

    def take_detour(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        """Probe the stages over another path."""
        answer.probe += 1
        answer.probe_detours += 1
        return self._probe(answer, now)

    def review_reports(
        self,
        answer: _open_answer.OpenAnswer,
        event: _events.ProbeAnswered,
        now: datetime.datetime,
    ) -> tuple[bool, Effects]:
        """Record which stages were reached.

        Return whether the stages are to be probed over another path before
        anything is concluded, and the effects.
        """
        is_unsure = False
        effects: Effects = []
        addresses = _addresses(answer)
        for report in event.reports:
            address = addresses.get(report.endpoint_id, "")
            if report.link_failure is not None:
                is_blamed, recorded = self._paths.record_failure(
                    report.endpoint_id,
                    address,
                    report.link_failure,
                    answer.probe_forwarder,
                    now,
                )
                effects += recorded
                if not is_blamed and self._paths.has_detour(address, now):
                    is_unsure = True
            elif report.state is not None:
                effects += self._paths.record_reached(
                    report.endpoint_id, answer.probe_forwarder, now
                )
        return is_unsure and answer.probe_detours < _paths.MAX_DETOURS, effects

    def is_unknown(self, report: _events.StageReport) -> bool:
        """Return whether a missing report says nothing about its stage."""
        is_link = report.link_failure not in (
            None,
            _events.LinkFailure.BEYOND,
            _events.LinkFailure.ENDPOINT,
        )
        return is_link and self._paths.is_cut_off

    def may_have_lost_path(self, answer: _open_answer.OpenAnswer) -> bool:
        """Return whether a stream may have ended with a path of this VM.

        A further one that ends without a token is that of its endpoint.
        """
        is_indirect = (
            answer.forwarder is not None or answer.probe_forwarder is not None
        )
        return is_indirect and not answer.retry_produced_nothing

    def take_waiting(self) -> list[_WaitingProbe]:
        """Return the probes that have waited for a forwarder, as done."""
        waiting, self._waiting_probes = self._waiting_probes, []
        return waiting

    def continue_probe(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        """Send a probe that has waited for a forwarder, if it can be sent."""
        return self._probe(answer, now)

    def _probe(
        self, answer: _open_answer.OpenAnswer, now: datetime.datetime
    ) -> Effects:
        pipeline = answer.assembly.pipeline
        assert pipeline is not None
        request_id = answer.request.request_id
        answer.probe_forwarder = None
        for stage in pipeline.stages:
            is_detour = answer.probe_detours > 0
            path = (stage.endpoint_id, stage.address, is_detour, now)
            if self._paths.must_wait(*path):
                self._waiting_probes.append((request_id, answer.probe))
                return []
            if answer.probe_forwarder is None:
                answer.probe_forwarder = self._paths.choose_forwarder(*path)
        return [
            _effects.ProbeStages(
                request_id,
                answer.assembly.attempt,
                answer.probe,
                pipeline.stages,
                _PROBE_TIMEOUT,
                answer.probe_forwarder,
            )
        ]


def _addresses(
    answer: _open_answer.OpenAnswer,
) -> dict[model.EndpointId, str]:
    pipeline = answer.assembly.pipeline
    stages = () if pipeline is None else pipeline.stages
    return {stage.endpoint_id: stage.address for stage in stages}
