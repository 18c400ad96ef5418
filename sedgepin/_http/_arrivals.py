"""What has come from callers and was not read yet."""

import collections.abc
import select

import trio

from sedgepin._http import _caller_stream

_POLL_SECONDS = 0.01
# What follows an open request on its connection may not be read until the end.
# Polls are counted, not seconds: a process that does not run takes in nothing.
_MAX_POLLS = 100
# Turns of the event loop from bytes that were read to a request's handler.
_TURNS = 20


class Arrivals:
    """Knows the connections of a server and what waits on them."""

    __slots__ = ("_listeners", "_streams")

    def __init__(self) -> None:
        self._listeners: tuple[trio.SocketListener, ...] = ()
        self._streams: set[_caller_stream.CallerStream] = set()

    def add_listeners(
        self, listeners: collections.abc.Iterable[trio.SocketListener]
    ) -> None:
        """State where callers connect."""
        self._listeners = (*self._listeners, *listeners)

    def add_stream(self, stream: _caller_stream.CallerStream) -> None:
        """State that a connection was accepted."""
        self._streams.add(stream)

    def remove_stream(self, stream: _caller_stream.CallerStream) -> None:
        """State that a connection has ended."""
        self._streams.remove(stream)

    async def take_in(self) -> None:
        """Return once each request that has come by now has a handler.

        What comes meanwhile is not waited for, apart from connections.
        """
        for _poll in range(_MAX_POLLS):
            if not self._have_callers_to_accept():
                break
            await trio.sleep(_POLL_SECONDS)
        await _pass_turns()
        behind = {
            stream: stream.received_bytes + stream.unread_bytes
            for stream in self._streams
        }
        for _poll in range(_MAX_POLLS):
            behind = {
                stream: sent_bytes
                for stream, sent_bytes in behind.items()
                if stream in self._streams
                and stream.received_bytes < sent_bytes
            }
            if not behind:
                break
            await trio.sleep(_POLL_SECONDS)
        await _pass_turns()

    def _have_callers_to_accept(self) -> bool:
        poll = select.poll()
        for listener in self._listeners:
            if listener.socket.fileno() >= 0:
                poll.register(listener.socket, select.POLLIN)
        return bool(poll.poll(0))


async def _pass_turns() -> None:
    for _turn in range(_TURNS):
        await trio.lowlevel.checkpoint()
