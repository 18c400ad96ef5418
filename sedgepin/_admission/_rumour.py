"""What entry VMs tell each other of requests that crash endpoints.

Two rumours of one request merge into the same rumour in any order and any
number of times: sets are united, and the latest instant or the highest
trial wins.
"""

import datetime

import msgspec

from sedgepin import _model as model


class Fingerprint(msgspec.Struct, frozen=True, order=True):
    """What stays the same when a request is sent again."""

    customer: model.CustomerId
    body_digest: str


class DeathId(msgspec.Struct, frozen=True, order=True):
    """One life of an endpoint, by its end."""

    endpoint_id: model.EndpointId
    incarnation: model.Incarnation


class DeathMark(msgspec.Struct, frozen=True, order=True):
    """A death with the request aboard.

    ``proven`` tells that the endpoint was seen alive after it had been
    given the request.
    """

    death: DeathId
    at: datetime.datetime
    proven: bool

    def merged(self, other: "DeathMark") -> "DeathMark":
        """Return what both marks of the same death say."""
        return DeathMark(
            self.death, min(self.at, other.at), self.proven or other.proven
        )


class Trial(msgspec.Struct, frozen=True):
    """Which VM alone may run the request, and until when.

    A higher ``number`` replaces a lower; of two claims to one number the
    lower VM identity wins.  ``endpoints`` run the request now and are to
    run no other suspect.
    """

    number: int
    isolator: model.VmId
    until: datetime.datetime
    endpoints: tuple[model.EndpointId, ...] = ()

    def merged(self, other: "Trial") -> "Trial":
        """Return the claim that holds."""
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
    """All that is known of one request that was aboard dying endpoints.

    ``acquitted`` deaths no longer count against it.  ``cleared`` deaths
    need no further trial: the request has since run past the point of its
    death, or the death has another cause.
    """

    fingerprint: Fingerprint
    until: datetime.datetime
    deaths: tuple[DeathMark, ...] = ()
    acquitted: frozenset[DeathId] = frozenset()
    cleared: frozenset[DeathId] = frozenset()
    trial: Trial | None = None

    @property
    def effective(self) -> dict[DeathId, DeathMark]:
        """Return the deaths that count against the request."""
        return {
            mark.death: mark
            for mark in self.deaths
            if mark.death not in self.acquitted
        }

    @property
    def needs_trial(self) -> bool:
        """Tell whether the request has yet to run alone after a death."""
        return any(mark.death not in self.cleared for mark in self.deaths)

    def merged(self, other: "Rumour") -> "Rumour":
        """Return what both rumours of one request say together."""
        return Rumour(
            self.fingerprint,
            max(self.until, other.until),
            _merged_marks(self.deaths + other.deaths),
            self.acquitted | other.acquitted,
            self.cleared | other.cleared,
            _merged_trials(self.trial, other.trial),
        )

    def with_changes(self, **changes: object) -> "Rumour":
        """Return a copy in which the named fields are replaced."""
        return msgspec.structs.replace(self, **changes)


def _merged_marks(marks: tuple[DeathMark, ...]) -> tuple[DeathMark, ...]:
    merged: dict[DeathId, DeathMark] = {}
    for mark in marks:
        known = merged.get(mark.death)
        merged[mark.death] = mark if known is None else mark.merged(known)
    return tuple(sorted(merged.values()))


def _merged_trials(first: Trial | None, second: Trial | None) -> Trial | None:
    if first is None or second is None:
        return first or second
    return first.merged(second)
