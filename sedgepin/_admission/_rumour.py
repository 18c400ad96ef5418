"""Rumours that entry VMs exchange about requests that crash endpoints.

Merging rumours of one request is commutative, associative and idempotent:
sets are united, the latest expiry wins, and the trial with the highest number
wins.
"""

import datetime

import msgspec

from sedgepin import _model as model


class Fingerprint(msgspec.Struct, frozen=True, order=True):
    """Identifies a request and its resends."""

    customer: model.CustomerId
    body_digest: str


class DeathId(msgspec.Struct, frozen=True, order=True):
    """Identifies an endpoint death by the incarnation that died."""

    endpoint_id: model.EndpointId
    incarnation: model.Incarnation


class DeathMark(msgspec.Struct, frozen=True, order=True):
    """An endpoint death while the request was in flight.

    ``proven`` is set if the endpoint was seen alive after it received the
    request, and ``is_silent`` if it only stopped answering, so that it may
    go on.
    """

    death: DeathId
    at: datetime.datetime
    proven: bool
    is_silent: bool = False

    def merged(self, other: "DeathMark") -> "DeathMark":
        """Return one mark: the earlier time, proven if either is.

        It is silent only if both are.
        """
        return DeathMark(
            self.death,
            min(self.at, other.at),
            self.proven or other.proven,
            self.is_silent and other.is_silent,
        )


class Trial(msgspec.Struct, frozen=True):
    """A VM's claim to be the only one that runs the request, until a time.

    The claim with the higher ``number`` wins, and between equal numbers the
    one with the lower VM id.  Of two claims of one VM, the later ``until``
    wins.  ``endpoints`` currently run the request and must not run other
    suspects.
    """

    number: int
    isolator: model.VmId
    until: datetime.datetime
    endpoints: tuple[model.EndpointId, ...] = ()

    def merged(self, other: "Trial") -> "Trial":
        """Return the claim that wins."""
        return min(self, other, key=_claim_order)


def _claim_order(
    trial: Trial,
) -> tuple[int, str, float, bool, tuple[model.EndpointId, ...]]:
    return (
        -trial.number,
        trial.isolator,
        -trial.until.timestamp(),
        not trial.endpoints,
        trial.endpoints,
    )


class Rumour(msgspec.Struct, frozen=True):
    """Knowledge about a request that was in flight when endpoints died.

    It is valid until the instant ``until``.

    ``acquitted`` deaths no longer count against the request.  ``cleared``
    deaths need no further trial: the request has since run past the point at
    which the endpoint died, or the death had another cause.  The endpoints of
    ``disproved`` deaths were silent and went on.
    """

    fingerprint: Fingerprint
    until: datetime.datetime
    deaths: tuple[DeathMark, ...] = ()
    acquitted: frozenset[DeathId] = frozenset()
    cleared: frozenset[DeathId] = frozenset()
    trial: Trial | None = None
    disproved: frozenset[DeathId] = frozenset()

    @property
    def counted_deaths(self) -> dict[DeathId, DeathMark]:
        """Return the deaths that count against the request, by id."""
        return {
            mark.death: mark
            for mark in self.deaths
            if mark.death not in self.acquitted
            and mark.death not in self.disproved
        }

    @property
    def needs_trial(self) -> bool:
        """Return whether a death still requires an isolated trial."""
        return any(mark.death not in self.cleared for mark in self.deaths)

    def merged(self, other: "Rumour") -> "Rumour":
        """Return the merge of two rumours of the same request."""
        return Rumour(
            self.fingerprint,
            max(self.until, other.until),
            _merged_marks(self.deaths + other.deaths),
            self.acquitted | other.acquitted,
            self.cleared | other.cleared,
            _merged_trials(self.trial, other.trial),
            self.disproved | other.disproved,
        )

    def with_changes(self, **changes: object) -> "Rumour":
        """Return a copy with the given fields replaced."""
        return msgspec.structs.replace(self, **changes)


def _merged_marks(marks: tuple[DeathMark, ...]) -> tuple[DeathMark, ...]:
    merged: dict[DeathId, DeathMark] = {}
    for mark in marks:
        previous = merged.get(mark.death)
        merged[mark.death] = (
            mark if previous is None else mark.merged(previous)
        )
    return tuple(sorted(merged.values()))


def _merged_trials(first: Trial | None, second: Trial | None) -> Trial | None:
    if first is None or second is None:
        return first or second
    return first.merged(second)
