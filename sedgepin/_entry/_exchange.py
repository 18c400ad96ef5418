"""The queue of effects that the reducer has returned for one caller."""

import typing

import trio

from sedgepin._entry import _effects
from sedgepin import _http as http

CallerEffect: typing.TypeAlias = (
    _effects.DeliverPieces
    | _effects.EndAnswer
    | _effects.AnswerCall
    | _effects.RefuseCaller
)


class Exchange:
    """One request and the effects for its caller that are not sent yet.

    The reducer's side calls ``put``; one task of the server calls
    ``receive``.  What waits, and what was received last, counts as held for
    the request; with ``keeps_answer``, all that was received.
    """

    __slots__ = (
        "_answer_bytes",
        "_effect_added",
        "_holder",
        "_keeps_answer",
        "_pending",
        "_request_bytes",
    )

    def __init__(
        self,
        holder: http.RequestHolder,
        request_bytes: int,
        keeps_answer: bool,
    ) -> None:
        self._holder = holder
        self._request_bytes = request_bytes
        self._keeps_answer = keeps_answer
        self._answer_bytes = 0
        self._pending: list[CallerEffect] = []
        self._effect_added = trio.Event()
        self._state_held_bytes()

    def put(self, effect: CallerEffect) -> None:
        """Queue an effect for the caller."""
        self._pending.append(effect)
        self._effect_added.set()
        self._answer_bytes += _held_bytes(effect)
        self._state_held_bytes()

    async def receive(self) -> list[CallerEffect]:
        """Wait until an effect is queued; remove and return all of them."""
        if not self._keeps_answer:
            self._answer_bytes = sum(map(_held_bytes, self._pending))
            self._state_held_bytes()
        await self._effect_added.wait()
        effects, self._pending = self._pending, []
        self._effect_added = trio.Event()
        return effects

    def _state_held_bytes(self) -> None:
        self._holder.hold(self._request_bytes + self._answer_bytes)


def _held_bytes(effect: CallerEffect) -> int:
    if isinstance(effect, _effects.DeliverPieces):
        return sum(map(len, effect.texts))
    if isinstance(effect, _effects.AnswerCall):
        return len(effect.body)
    return 0
