"""What happens on a day of ``crash_day``, and what came of it."""

import dataclasses
import itertools

from sedgepin import _model as model
from sedgepin import events

STABILITY_WINDOW_SECONDS = 3.0
CRASHES_UNTIL_HELD = 5
SHARED_PART = "shared"
CRASHING_PART = "crashing"


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """What happens on a day; times are seconds after the day's start.

    ``crashing_parts`` come with equal shares.  A crash hits the first stage
    or, with ``is_last_stage``, the last one, after ``pieces`` events.
    ``place`` is the index of the crashing part among the shared ones.  At
    ``rack_lost_at``, ``rack_engines`` engines fail together, and at
    ``restarts`` an entry VM starts again.
    """

    entry_count: int = 7
    control_count: int = 3
    data_centre_count: int = 3
    engine_pairs: int = 12
    seconds: float = 24.0
    sound_per_second: float = 40.0
    crashing_per_second: float = 2.0
    crashing_from: float = 4.0
    crashing_until: float = 20.0
    crashing_parts: tuple[str, ...] = (CRASHING_PART,)
    place: int = 1
    pieces: int = 0
    is_last_stage: bool = False
    rack_lost_at: float | None = None
    rack_engines: int = 8
    restarts: tuple[float, ...] = ()
    seed: int = 1


@dataclasses.dataclass(slots=True)
class CallerAttempt:
    """One attempt of a caller, and what came of it.

    ``reached`` counts the engines that got it.
    """

    sent_at: float
    number: int
    shared_parts: tuple[str, ...]
    crashing_part: str | None
    is_retry: bool = False
    reached: int = 0
    has_begun: bool = False
    failure_code: str | None = None


class DayRecord:
    """What happened on a day, and the figures that the rules judge.

    ``held_at`` tells when each entry VM first held something back.
    """

    __slots__ = (
        "_crashing_until",
        "attempts",
        "crashed_at",
        "held_at",
        "log_lines",
        "report_bytes",
    )

    def __init__(self, plan: Plan) -> None:
        self._crashing_until = plan.crashing_until
        self.attempts: list[CallerAttempt] = []
        self.crashed_at: dict[str, list[float]] = {
            part: [] for part in plan.crashing_parts
        }
        self.log_lines: list[events.LogLine] = []
        self.held_at: dict[model.VmId, float] = {}
        self.report_bytes = 0

    @property
    def crash_count(self) -> int:
        """Return how many engines crashing requests ended."""
        return sum(len(instants) for instants in self.crashed_at.values())

    def reached_after_fifth_crash(self, part: str = CRASHING_PART) -> int:
        """Return how many engines got the part when it was to be held back.

        Counted are requests sent later than the stability window after the
        fifth crash.
        """
        crashes = self.crashed_at[part]
        if len(crashes) < CRASHES_UNTIL_HELD:
            return 0
        held_from = crashes[CRASHES_UNTIL_HELD - 1] + STABILITY_WINDOW_SECONDS
        return sum(
            attempt.reached
            for attempt in self.attempts
            if attempt.crashing_part == part and attempt.sent_at > held_from
        )

    def sound_share(self, start: float, end: float) -> float:
        """Return which share of the sound requests of a time began.

        Counted are first attempts that share a part with a crashing request.
        """
        sent = [
            attempt
            for attempt in self.attempts
            if attempt.crashing_part is None
            and not attempt.is_retry
            and start <= attempt.sent_at < end
        ]
        return sum(attempt.has_begun for attempt in sent) / max(1, len(sent))

    @property
    def sound_share_while_held(self) -> float:
        """Return the share that began from two windows after the crashes."""
        crashes = sorted(itertools.chain(*self.crashed_at.values()))
        if not crashes:
            return 1.0
        last = crashes[min(len(crashes), CRASHES_UNTIL_HELD) - 1]
        start = last + 2 * STABILITY_WINDOW_SECONDS
        return self.sound_share(start, self._crashing_until)
