"""The queue of effects that the reducer has returned for one caller."""

import typing

import trio

from sedgepin._entry import _effects

CallerEffect: typing.TypeAlias = (
    _effects.DeliverPieces
    | _effects.EndAnswer
    | _effects.AnswerCall
    | _effects.RefuseCaller
)


class Exchange:
    """One request and the effects for its caller that are not sent yet.

    The reducer's side calls ``put``; one task of the server calls
    ``receive``.
    """

    __slots__ = ("_effect_added", "_pending")

    def __init__(self) -> None:
        self._pending: list[CallerEffect] = []
        self._effect_added = trio.Event()

    def put(self, effect: CallerEffect) -> None:
        """Queue an effect for the caller."""
        self._pending.append(effect)
        self._effect_added.set()

    async def receive(self) -> list[CallerEffect]:
        """Wait until an effect is queued; remove and return all of them."""
        await self._effect_added.wait()
        effects, self._pending = self._pending, []
        self._effect_added = trio.Event()
        return effects
