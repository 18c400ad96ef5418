"""When to ask a first engine why its streams make no progress.

All streams of one engine stall together, and one report tells of all of
them; asking for each stream would cost the engine as much as the requests.
"""

import dataclasses
import datetime

from sedgepin import _model as model

# A report lags by 200 ms, so that asking more often tells nothing new.
_SHORTEST_PAUSE = datetime.timedelta(milliseconds=150)
_LONGEST_PAUSE = datetime.timedelta(milliseconds=1200)


@dataclasses.dataclass(slots=True)
class _Watched:
    ask_at: datetime.datetime
    pause: datetime.timedelta
    is_asked: bool = False


class StallWatch:
    """Spaces out the questions to each first engine."""

    __slots__ = ("_watched",)

    def __init__(self) -> None:
        self._watched: dict[model.EndpointId, _Watched] = {}

    def may_ask(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Tell whether to ask now; the answer must then be noted."""
        known = self._watched.get(endpoint_id)
        if known is None:
            known = _Watched(now, _SHORTEST_PAUSE)
            self._watched[endpoint_id] = known
        if known.is_asked or now < known.ask_at:
            return False
        if now - known.ask_at > _LONGEST_PAUSE:
            known.pause = _SHORTEST_PAUSE
        known.is_asked = True
        return True

    def note_answer(
        self,
        endpoint_id: model.EndpointId,
        has_stalls: bool,
        now: datetime.datetime,
    ) -> None:
        """Ask later each time that an engine is only slow."""
        known = self._watched.get(endpoint_id)
        if known is None:
            return
        known.is_asked = False
        if has_stalls:
            known.pause = _SHORTEST_PAUSE
        known.ask_at = now + known.pause
        if not has_stalls:
            known.pause = min(_LONGEST_PAUSE, known.pause * 2)
