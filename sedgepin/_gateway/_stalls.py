"""Rate limit for inspecting the stalled streams of a first engine.

All streams of an engine usually stall together, and one report covers all of
them.  A report per stream would cost the engine as much as the requests.
"""

import dataclasses
import datetime

from sedgepin import _model as model

# Reports lag by 200 ms, so shorter intervals would return the same data.
_MIN_INTERVAL = datetime.timedelta(milliseconds=150)
_MAX_INTERVAL = datetime.timedelta(milliseconds=1200)


@dataclasses.dataclass(slots=True)
class _InspectionState:
    inspect_at: datetime.datetime
    interval: datetime.timedelta
    is_pending: bool = False


class StallInspections:
    """Limits how often each first engine is asked for a stall report."""

    __slots__ = ("_states",)

    def __init__(self) -> None:
        self._states: dict[model.EndpointId, _InspectionState] = {}

    def try_start(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Return whether to inspect an engine now.

        If it returns true, ``record_report`` must follow, even if the engine
        does not answer.
        """
        state = self._states.get(endpoint_id)
        if state is None:
            state = _InspectionState(now, _MIN_INTERVAL)
            self._states[endpoint_id] = state
        if state.is_pending or now < state.inspect_at:
            return False
        if now - state.inspect_at > _MAX_INTERVAL:
            state.interval = _MIN_INTERVAL
        state.is_pending = True
        return True

    def record_report(
        self,
        endpoint_id: model.EndpointId,
        has_stalls: bool,
        now: datetime.datetime,
    ) -> None:
        """End an inspection, even one without an answer.

        Without stalls the engine is only slow, so the interval doubles.
        """
        state = self._states.get(endpoint_id)
        if state is None:
            return
        state.is_pending = False
        if has_stalls:
            state.interval = _MIN_INTERVAL
        state.inspect_at = now + state.interval
        if not has_stalls:
            state.interval = min(_MAX_INTERVAL, state.interval * 2)
