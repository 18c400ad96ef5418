"""The evidence and the causes that one VM knows."""

import collections
import collections.abc
import dataclasses
import datetime

import msgspec

from sedgepin._crash_causes import _evidence
from sedgepin._crash_causes import _losses
from sedgepin._crash_causes import _trait
from sedgepin._crash_causes import _verdicts
from sedgepin import _model as model

_RETENTION = _verdicts.HOLD
_MAX_EVIDENCE = 2048
_MAX_SOUND_PARTS = 4096
_MAX_SNAPSHOT = 512
_EXPIRY_INTERVAL = datetime.timedelta(seconds=1)

_News = tuple[_evidence.Evidence, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class SuspectRequest:
    """A request that was on an endpoint when it was lost.

    ``digest`` is the same for its repeats.
    """

    digest: str
    traits: frozenset[_trait.Trait]


@dataclasses.dataclass(slots=True, frozen=True)
class CauseChange:
    """A cause that is held back from now on, or free for a reason."""

    cause: _verdicts.Cause
    is_held: bool
    reason: str = ""


class CrashCauseTracker:
    """Collects evidence from this VM and its peers, and holds causes back.

    What ``record_crash``, ``record_survival`` and ``merge`` return must be
    sent to the other VMs.  All state is bounded.

    >>> tracker = CrashCauseTracker(vm_id, now)
    >>> news = tracker.record_crash(death, suspects, False, now)
    >>> tracker.find_cause(traits, now)
    """

    __slots__ = (
        "_changes",
        "_evidence",
        "_held",
        "_next_expiry_at",
        "_sound_parts",
        "_vm_id",
    )

    def __init__(self, vm_id: model.VmId, now: datetime.datetime) -> None:
        self._vm_id = vm_id
        self._next_expiry_at = now
        self._evidence: dict[_trait.Trait, _evidence.Evidence] = {}
        # The parts that requests were answered with, the latest last.
        self._sound_parts: collections.OrderedDict[
            _trait.Trait, datetime.datetime
        ] = collections.OrderedDict()
        self._held: list[_verdicts.Cause] = []
        self._changes: list[CauseChange] = []

    @property
    def held_causes(self) -> tuple[_verdicts.Cause, ...]:
        """Return the causes that are held back."""
        return tuple(self._held)

    @property
    def has_evidence(self) -> bool:
        """Return whether any crash is on record."""
        return bool(self._evidence)

    def record_crash(
        self,
        death: _evidence.Death,
        suspects: collections.abc.Iterable[SuspectRequest],
        is_silent: bool,
        now: datetime.datetime,
    ) -> _News:
        """Record a death for all traits of the requests on the endpoint.

        ``is_silent`` is set if the endpoint stopped answering, and clear if
        its connections broke.
        """
        marks: dict[_trait.Trait, _evidence.CrashMark] = {}
        for suspect in suspects:
            mark = _evidence.CrashMark(
                death, now, self._vm_id, suspect.digest, is_silent
            )
            for trait in suspect.traits:
                known = marks.get(trait)
                marks[trait] = mark if known is None else mark.merged(known)
        news = tuple(
            _evidence.Evidence(
                trait,
                (mark,),
                is_sound=self._is_sound(trait, now),
            )
            for trait, mark in marks.items()
        )
        self.merge(news, now)
        return news

    def record_survival(
        self,
        traits: collections.abc.Iterable[_trait.Trait],
        now: datetime.datetime,
    ) -> _News:
        """Clear the traits of a request that an endpoint has answered."""
        news: list[_evidence.Evidence] = []
        for trait in traits:
            if trait.kind is _trait.TraitKind.PART:
                self._sound_parts[trait] = now
                self._sound_parts.move_to_end(trait)
            known = self._evidence.get(trait)
            if known is None or not known.counted_marks:
                continue
            deaths = frozenset(mark.death for mark in known.counted_marks)
            news.append(_evidence.Evidence(trait, (), deaths, True))
        while len(self._sound_parts) > _MAX_SOUND_PARTS:
            self._sound_parts.popitem(last=False)
        self.merge(news, now)
        return tuple(news)

    def record_recovery(
        self,
        deaths: collections.abc.Set[_evidence.Death],
        now: datetime.datetime,
    ) -> _News:
        """Withdraw silent endpoints that were heard again."""
        news: list[_evidence.Evidence] = []
        for trait, known in self._evidence.items():
            withdrawn = frozenset(
                mark.death
                for mark in known.counted_marks
                if mark.is_silent and mark.death in deaths
            )
            if withdrawn:
                news.append(_evidence.Evidence(trait, withdrawn=withdrawn))
        self.merge(news, now)
        return tuple(news)

    def merge(
        self,
        news: collections.abc.Iterable[_evidence.Evidence],
        now: datetime.datetime,
    ) -> _News:
        """Merge evidence; return what others may not know yet.

        This is the evidence that was new here, for VMs that pass it on.
        """
        fresh: list[_evidence.Evidence] = []
        is_decisive = False
        for item in news:
            clears = bool(item.cleared or item.withdrawn)
            if not item.marks and not clears:
                continue
            known = self._evidence.get(item.trait)
            merged = item if known is None else known.merged(item)
            if not merged.is_sound and self._is_sound(item.trait, now):
                merged = msgspec.structs.replace(merged, is_sound=True)
                item = msgspec.structs.replace(item, is_sound=True)
            if merged != known:
                self._evidence[item.trait] = merged
                fresh.append(item)
                is_decisive = (
                    is_decisive
                    or len(merged.counted_marks) >= _verdicts.CRASHES_TO_HOLD
                    or (clears and bool(self._held))
                )
        if fresh:
            self._limit()
        if is_decisive:
            self._update_causes(now)
        return tuple(fresh)

    def find_cause(
        self,
        traits: collections.abc.Set[_trait.Trait],
        now: datetime.datetime,
    ) -> _verdicts.Cause | None:
        """Return the cause for which a request is held back, if any."""
        for cause in self._held:
            if now < cause.held_until and cause.covers(traits):
                return cause
        return None

    def is_suspected(self, request: SuspectRequest) -> bool:
        """Return whether a request may soon be held back.

        Other requests with one of its parts were on two lost endpoints, and
        none was answered.  It may run, but not on another endpoint after one
        was lost.
        """
        for trait in request.traits:
            known = self._evidence.get(trait)
            if known is None or known.is_sound:
                continue
            instants = [
                mark.at
                for mark in known.counted_marks
                if mark.request != request.digest
            ]
            if (
                len(instants) >= _verdicts.CRASHES_TO_SUSPECT
                and max(instants) - min(instants) >= _losses.SAME_CAUSE
            ):
                return True
        return False

    def snapshot(self) -> _News:
        """Return what a VM that has just connected must know."""
        strongest = sorted(
            (item for item in self._evidence.values() if item.counted_marks),
            key=_strength,
            reverse=True,
        )
        return tuple(strongest[:_MAX_SNAPSHOT])

    def tick(self, now: datetime.datetime) -> None:
        """Free the causes whose time is over, and forget old evidence.

        Call it often; it does something once a second.
        """
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + _EXPIRY_INTERVAL
        expired = [
            trait
            for trait, item in self._evidence.items()
            if all(now - mark.at > _RETENTION for mark in item.marks)
        ]
        for trait in expired:
            del self._evidence[trait]
        if expired or any(now >= cause.held_until for cause in self._held):
            self._update_causes(now)

    def take_changes(self) -> list[CauseChange]:
        """Return the causes held back and freed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _is_sound(self, trait: _trait.Trait, now: datetime.datetime) -> bool:
        answered_at = self._sound_parts.get(trait)
        return answered_at is not None and now - answered_at < _RETENTION

    def _update_causes(self, now: datetime.datetime) -> None:
        causes = [
            cause
            for cause in _verdicts.find_causes(self._evidence.values())
            if now < cause.held_until
        ]
        before = {cause.traits for cause in self._held}
        after = {cause.traits for cause in causes}
        self._changes += [
            CauseChange(cause, False, self._reason_to_free(cause, now))
            for cause in self._held
            if cause.traits not in after
        ]
        self._changes += [
            CauseChange(cause, True)
            for cause in causes
            if cause.traits not in before
        ]
        self._held = causes

    def _reason_to_free(
        self, cause: _verdicts.Cause, now: datetime.datetime
    ) -> str:
        if now >= cause.held_until:
            return "its time is over"
        for trait in sorted(cause.traits):
            item = self._evidence.get(trait)
            if item is not None and item.cleared:
                return f"a request with {trait} was answered"
            if item is not None and item.withdrawn:
                return f"an endpoint that was silent with {trait} goes on"
        return "its crashes have another cause"

    def _limit(self) -> None:
        """Forget the weakest evidence if there is too much.

        Traits that are held back have the most crashes, so they stay.
        """
        if len(self._evidence) <= _MAX_EVIDENCE:
            return
        weakest = sorted(self._evidence.values(), key=_strength)
        for item in weakest[: _MAX_EVIDENCE // 4]:
            del self._evidence[item.trait]


def _strength(
    item: _evidence.Evidence,
) -> tuple[int, datetime.datetime, _trait.Trait]:
    """Return a key that orders evidence by crashes, then by time."""
    counted = item.counted_marks
    latest = max(
        (mark.at for mark in item.marks),
        default=datetime.datetime.min.replace(tzinfo=datetime.timezone.utc),
    )
    return (len(counted), latest, item.trait)
