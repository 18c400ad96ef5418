"""What VMs tell each other about crashes.

Merging the evidence on one trait is commutative, associative and idempotent,
so news may come late, twice and in any order.
"""

import datetime

import msgspec

from sedgepin._crash_causes import _trait
from sedgepin import _model as model

# More decide nothing; the latest are kept.
_MAX_MARKS = 16
_MAX_CLEARED = 64


class Death(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identifies the loss of an endpoint by the incarnation that ended."""

    endpoint_id: model.EndpointId
    incarnation: int

    def __str__(self) -> str:
        return f"{self.endpoint_id}@{self.incarnation}"


class CrashMark(msgspec.Struct, frozen=True, array_like=True):
    """A death while requests with the trait were on the endpoint.

    ``request`` is the digest of one of them, the same for its repeats, and
    ``seen_by`` the VM that had sent it.  ``is_silent`` is set if the endpoint
    stopped answering, as behind a cut link, and clear if its process ended.
    """

    death: Death
    at: datetime.datetime
    seen_by: model.VmId
    request: str
    is_silent: bool = False

    def merged(self, other: "CrashMark") -> "CrashMark":
        """Return the earlier mark, which is silent only if both are."""
        first = min(self, other, key=_witness)
        if first.is_silent and not (self.is_silent and other.is_silent):
            return msgspec.structs.replace(first, is_silent=False)
        return first


def _witness(
    mark: CrashMark,
) -> tuple[datetime.datetime, model.VmId, str]:
    return (mark.at, mark.seen_by, mark.request)


class Evidence(msgspec.Struct, frozen=True):
    """The crashes that may be due to one trait.

    Deaths in ``cleared`` do not count, because a request with the trait has
    been answered since.  ``is_sound`` is set if some VM has seen such an
    answer lately.  Silent endpoints in ``withdrawn`` were heard again, so that
    they count only if their end is proven later.
    """

    trait: _trait.Trait
    marks: tuple[CrashMark, ...] = ()
    cleared: frozenset[Death] = frozenset()
    is_sound: bool = False
    withdrawn: frozenset[Death] = frozenset()

    @property
    def counted_marks(self) -> tuple[CrashMark, ...]:
        """Return the marks that count, in order of time."""
        return tuple(
            mark
            for mark in self.marks
            if _counts(mark, self.cleared, self.withdrawn)
        )

    def merged(self, other: "Evidence") -> "Evidence":
        """Return the merge of the evidence on the same trait."""
        by_death: dict[Death, CrashMark] = {}
        for mark in self.marks + other.marks:
            known = by_death.get(mark.death)
            by_death[mark.death] = (
                mark if known is None else mark.merged(known)
            )
        cleared = self.cleared | other.cleared
        withdrawn = self.withdrawn | other.withdrawn
        marks = _limit_marks(by_death, cleared, withdrawn)
        if len(cleared) > _MAX_CLEARED:
            cleared &= {mark.death for mark in marks}
        if len(withdrawn) > _MAX_CLEARED:
            withdrawn &= {mark.death for mark in marks}
        return Evidence(
            self.trait,
            marks,
            cleared,
            self.is_sound or other.is_sound,
            withdrawn,
        )


def _counts(
    mark: CrashMark, cleared: frozenset[Death], withdrawn: frozenset[Death]
) -> bool:
    if mark.death in cleared:
        return False
    return not (mark.is_silent and mark.death in withdrawn)


def _limit_marks(
    by_death: dict[Death, CrashMark],
    cleared: frozenset[Death],
    withdrawn: frozenset[Death],
) -> tuple[CrashMark, ...]:
    """Return the marks in order of time, of many only those that count."""
    marks = sorted(by_death.values(), key=_witness)
    if len(marks) > _MAX_MARKS:
        marks = [mark for mark in marks if _counts(mark, cleared, withdrawn)]
    return tuple(marks[-_MAX_MARKS:])
