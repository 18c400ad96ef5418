"""Days of callers, and what became of each of them."""

import collections.abc
import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Span:
    """A factor that holds for part of a day, in ms."""

    start: float
    end: float
    factor: float

    def covers(self, time: float) -> bool:
        """Tell whether a time is in the span."""
        return self.start <= time < self.end


@dataclasses.dataclass(slots=True, frozen=True)
class Day:
    """A fleet, its callers, and what troubles them.

    ``cards`` are the numbers of a100, v100 and l4 of each data centre;
    ``rates`` the requests a second there.  ``slow`` engines take ``factor``
    times as long; ``silent`` is when no sums of the load come.
    """

    cards: dict[str, tuple[int, int, int]]
    rates: dict[str, float]
    entries: int
    seconds: float = 20.0
    prompt_tokens: int = 760
    answer_tokens: tuple[int, int] = (80, 360)
    target_ms: float = 500.0
    pause_ms: float = 250.0
    time_left_ms: float = 20_000.0
    bursts: tuple[Span, ...] = ()
    slow: Span | None = None
    slow_share: float = 0.3
    is_slowness_told: bool = True
    silent: Span | None = None
    seed: int = 1


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of one caller's request, over all its attempts."""

    asked_at: float
    first_at: float | None = None
    last_at: float = 0.0
    longest_pause: float = 0.0
    is_complete: bool = False
    refusals: int = 0

    def is_in_time(self, day: Day) -> bool:
        """Tell whether the answer was whole, and its parts came in time."""
        return (
            self.is_complete
            and self.first_at is not None
            and self.first_at - self.asked_at <= day.target_ms
            and self.longest_pause <= day.pause_ms
        )


def shares(
    day: Day, outcomes: collections.abc.Sequence[Outcome]
) -> tuple[float, float, float]:
    """Return the shares that were in time, late, and not served."""
    count = max(1, len(outcomes))
    in_time = sum(one.is_in_time(day) for one in outcomes)
    served = sum(one.is_complete for one in outcomes)
    return in_time / count, (served - in_time) / count, 1 - served / count
