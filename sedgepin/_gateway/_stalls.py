"""Rate limit for inspecting the stalled streams of a first engine.

All streams of an engine usually stall together, and one report covers all of
them.  A report per stream would cost the engine as much as the requests.

A sound answer in one piece sends nothing for seconds, which looks like a
stall.  It has an interval of its own, so that its reports without stalls delay
none for streams.
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
        self._states: dict[
            tuple[model.EndpointId, bool], _InspectionState
        ] = {}

    def try_start(
        self,
        endpoint_id: model.EndpointId,
        now: datetime.datetime,
        is_stream: bool = True,
    ) -> bool:
        """Return whether to inspect an engine now.

        If it returns true, ``record_report`` must follow, even if the engine
        does not answer.
        """
        key = (endpoint_id, is_stream)
        state = self._states.get(key)
        if state is None:
            state = _InspectionState(now, _MIN_INTERVAL)
            self._states[key] = state
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
        """End the inspections of an engine, even without an answer.

        Without stalls the engine is only slow, so the interval doubles.
        """
        for is_stream in (True, False):
            state = self._states.get((endpoint_id, is_stream))
            if state is None or not state.is_pending:
                continue
            state.is_pending = False
            if has_stalls:
                state.interval = _MIN_INTERVAL
            state.inspect_at = now + state.interval
            if not has_stalls:
                state.interval = min(_MAX_INTERVAL, state.interval * 2)
