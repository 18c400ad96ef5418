"""What the reports of an attempt's stages say together."""

from sedgepin import _answers as answers
from sedgepin._entry import _events
from sedgepin import _model as model


def combine_reports(
    event: _events.ProbeAnswered, probe: int
) -> answers.ProbeSucceeded | answers.ProbeFailed:
    """Combine the reports of all stages into one probe result.

    The probe fails if any stage cannot be reached.  During prefill, a later
    stage that does not know the attempt may not have received it yet, or the
    connection from the previous stage may be silent; the state is then
    ``UNREPORTED``.
    """
    states = [report.state for report in event.reports]
    first = states[0]
    if first is None or None in states:
        return answers.ProbeFailed(probe)
    state = first
    if answers.StreamState.PRODUCING in states:
        state = answers.StreamState.PRODUCING
    elif first is not answers.StreamState.PREFILLING:
        state = first
    elif answers.StreamState.UNKNOWN in states:
        state = answers.StreamState.UNREPORTED
    produced = max(report.produced for report in event.reports)
    return answers.ProbeSucceeded(probe, state, produced)


def find_stalled_stages(
    reports: tuple[_events.StageReport, ...],
) -> frozenset[model.EndpointId]:
    """Return the stages that hold tokens back according to the reports.

    A stage that received more tokens than it sent on hangs.  If a stage sent
    more than the next one received, the tokens were lost between them, and
    the next stage is returned.  A stage in prefill is not counted, because it
    has to hold the prompt.
    """
    stalled = set()
    for report, next_report in zip(reports, (*reports[1:], None)):
        if report.state is not answers.StreamState.PRODUCING:
            continue
        if report.received is not None and report.received > report.produced:
            stalled.add(report.endpoint_id)
        if next_report is None or next_report.received is None:
            continue
        if next_report.state is answers.StreamState.PREFILLING:
            continue
        if report.produced > next_report.received:
            stalled.add(next_report.endpoint_id)
    return frozenset(stalled)
