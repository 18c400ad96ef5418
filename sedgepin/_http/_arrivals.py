"""What has come from callers and was not read yet."""

import collections.abc

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

    __slots__ = ("_accept", "_streams")

    def __init__(self) -> None:
        self._accept: collections.abc.Callable[[], object] = bool
        self._streams: set[_caller_stream.CallerStream] = set()

    def set_accept(self, accept: collections.abc.Callable[[], None]) -> None:
        """Set the function that accepts pending connections."""
        self._accept = accept

    def add_stream(self, stream: _caller_stream.CallerStream) -> None:
        """State that a connection was accepted."""
        self._streams.add(stream)

    def remove_stream(self, stream: _caller_stream.CallerStream) -> None:
        """State that a connection has ended."""
        self._streams.remove(stream)

    async def take_in(self) -> None:
        """Return once each request that has come by now has a handler.

        What comes meanwhile is not waited for.  Connections are accepted at
        once: callers that reconnect again and again would hold it up for as
        long as it waited for the last one.
        """
        self._accept()
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


async def _pass_turns() -> None:
    for _turn in range(_TURNS):
        await trio.lowlevel.checkpoint()
