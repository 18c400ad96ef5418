"""Decides which traits crash endpoints.

An endpoint runs many requests when it is lost, and sound requests share all
but one part with a crashing one.  Two facts tell them apart: a trait that
crashes endpoints is never answered, and it was on all the endpoints that it
crashed.  So the trait with the most crashes is held to cause them, and these
crashes count against no other trait.
"""

import collections.abc
import dataclasses
import datetime
import heapq

from sedgepin._crash_causes import _evidence
from sedgepin._crash_causes import _losses
from sedgepin._crash_causes import _trait

# Fewer crashes may be chance: sound requests run into some as well.
CRASHES_TO_HOLD = 3
# A trait that requests were answered with shortly before is rarely at fault.
CRASHES_TO_HOLD_SOUND = 6
# A trait with this many crashes is not tried on further endpoints.
CRASHES_TO_SUSPECT = 2
# One request runs into several crashes when many endpoints are lost at once.
_MIN_REQUESTS = 2
# Traits of different requests that were on the same endpoints each time are
# told apart by one more crash, or all held back.
_CRASHES_TO_HOLD_ALL = 4
# A trait that has caused few crashes is tried again after a while, so that a
# sound one is not held back for long.
_CRASHES_TO_TRY_AGAIN = 4
_SHORT_HOLD = datetime.timedelta(minutes=1)
HOLD = datetime.timedelta(minutes=10)
# Bounds the work of a verdict; the strongest are looked at.
_MAX_CANDIDATES = 128


@dataclasses.dataclass(slots=True, frozen=True)
class Cause:
    """Traits that together crash endpoints, and the crashes.

    Several traits came in the same requests each time, so that only requests
    with all of them are held back.
    """

    traits: frozenset[_trait.Trait]
    marks: tuple[_evidence.CrashMark, ...]
    held_until: datetime.datetime

    @property
    def is_of_one_request(self) -> bool:
        """Return whether only repeats of one request are held back."""
        return any(
            trait.kind is _trait.TraitKind.REQUEST for trait in self.traits
        )

    def covers(self, traits: collections.abc.Set[_trait.Trait]) -> bool:
        """Return whether a request with these traits is held back."""
        return self.traits <= traits

    def __str__(self) -> str:
        return "+".join(sorted(str(trait) for trait in self.traits))


def find_causes(
    evidence: collections.abc.Iterable[_evidence.Evidence],
) -> list[Cause]:
    """Return the causes that explain the crashes, the strongest first."""
    known = list(evidence)
    candidates = heapq.nlargest(
        _MAX_CANDIDATES,
        (item for item in known if _may_be_cause(item)),
        key=lambda item: (not item.is_sound, len(item.counted_marks)),
    )
    if not candidates:
        return []
    losses = _losses.Losses(known)
    explained: set[_evidence.Death] = set()
    causes: list[Cause] = []
    while True:
        alike = _find_strongest(candidates, explained, losses)
        if not alike:
            return causes
        marks = _unexplained(alike[0], explained)
        count = losses.count_crashes(alike[0], marks)
        deaths = {mark.death for mark in marks}
        explained |= deaths
        units = _group_by_request(alike, deaths)
        if len(units) > 1 and count < _CRASHES_TO_HOLD_ALL:
            continue
        hold = _SHORT_HOLD if count <= _CRASHES_TO_TRY_AGAIN else HOLD
        held_until = max(mark.at for mark in marks) + hold
        causes += [Cause(unit, marks, held_until) for unit in units]


def _may_be_cause(item: _evidence.Evidence) -> bool:
    return (
        len(item.marks) >= CRASHES_TO_HOLD
        and len(item.counted_marks) >= CRASHES_TO_HOLD
    )


def _find_strongest(
    candidates: list[_evidence.Evidence],
    explained: collections.abc.Set[_evidence.Death],
    losses: _losses.Losses,
) -> list[_evidence.Evidence]:
    """Return the trait with the most crashes, and those with the same ones.

    Explained crashes do not count, and a trait that was answered lately is
    considered last.  The list is empty if no trait has enough crashes.
    """
    strongest: list[_evidence.Evidence] = []
    highest = (False, 0)
    for item in candidates:
        marks = _unexplained(item, explained)
        count = losses.count_crashes(item, marks)
        rank = (not item.is_sound, count)
        if rank < highest or not _is_enough(item, marks, count):
            continue
        if rank > highest:
            strongest, highest = [], rank
        strongest.append(item)
    if not strongest:
        return []
    first = min(strongest, key=lambda item: item.trait)
    deaths = {mark.death for mark in _unexplained(first, explained)}
    alike = [
        item
        for item in strongest
        if {mark.death for mark in _unexplained(item, explained)} == deaths
    ]
    alike.sort(key=lambda item: item.trait)
    return alike


def _group_by_request(
    alike: list[_evidence.Evidence],
    deaths: collections.abc.Set[_evidence.Death],
) -> list[frozenset[_trait.Trait]]:
    """Group the traits that came in the same requests each time."""
    by_requests: dict[frozenset[str], set[_trait.Trait]] = {}
    for item in alike:
        requests = frozenset(
            mark.request for mark in item.marks if mark.death in deaths
        )
        by_requests.setdefault(requests, set()).add(item.trait)
    return [frozenset(traits) for traits in by_requests.values()]


def _unexplained(
    item: _evidence.Evidence,
    explained: collections.abc.Set[_evidence.Death],
) -> tuple[_evidence.CrashMark, ...]:
    return tuple(
        mark for mark in item.counted_marks if mark.death not in explained
    )


def _is_enough(
    item: _evidence.Evidence,
    marks: tuple[_evidence.CrashMark, ...],
    count: int,
) -> bool:
    """Return whether crashes suffice to hold a trait back."""
    if item.is_sound:
        return count >= CRASHES_TO_HOLD_SOUND
    if count < CRASHES_TO_HOLD:
        return False
    if item.trait.kind is _trait.TraitKind.REQUEST:
        return True
    return len({mark.request for mark in marks}) >= _MIN_REQUESTS
