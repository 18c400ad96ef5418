"""The body of a request as it arrives, and what a handler leaves of it."""

import typing

import trio

from sedgepin._http import _messages

_DISCARD_SECONDS = 2.0


class BodyIntake:
    """Passes the parts of a request's body on, and knows their end."""

    __slots__ = ("_receive", "is_complete")

    def __init__(self, receive: _messages.Receive) -> None:
        self._receive = receive
        self.is_complete = False

    async def receive(self) -> typing.Any:
        """Return the next part of the body, or the caller's disconnection."""
        event = await self._receive()
        if not event.get("more_body", False):
            self.is_complete = True
        return event

    async def discard(self) -> None:
        """Discard what comes until the end of the body, for up to 2 s."""
        with trio.move_on_after(_DISCARD_SECONDS):
            while not self.is_complete:
                await self.receive()
