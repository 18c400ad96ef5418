"""What was decided for one caller and is on its way to it."""

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
    """What the reducer decided for one caller and was not yet sent."""

    __slots__ = ("_arrived", "_waiting")

    def __init__(self) -> None:
        self._waiting: list[CallerEffect] = []
        self._arrived = trio.Event()

    def put(self, effect: CallerEffect) -> None:
        """Add an effect for the caller."""
        self._waiting.append(effect)
        self._arrived.set()

    async def take(self) -> list[CallerEffect]:
        """Wait for effects, and return all that came."""
        await self._arrived.wait()
        taken, self._waiting = self._waiting, []
        self._arrived = trio.Event()
        return taken
