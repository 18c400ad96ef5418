"""Whether a peer had received a whole request when it closed its side."""

import collections.abc
import socket

import trio

from sedgepin._sockets import _options

# The state of the connection is checked before each piece.
_PIECE_BYTES = 65_536


class RequestDelivery:
    """Follows the sending of a request, for the check at the response's end.

    >>> for piece in delivery.pieces(data):
    ...     await stream.send_all(piece)
    >>> if not await stream.receive_some(65_536):
    ...     gap = delivery.find_gap()
    """

    __slots__ = ("_has_closed_early", "_is_sending", "_sock")

    def __init__(
        self, sock: socket.socket | trio.socket.SocketType | None
    ) -> None:
        # ``None`` if the connection has no socket; nothing is known then.
        self._sock = sock
        # Stays set if the sending fails or is not over.
        self._is_sending = False
        self._has_closed_early = False

    def pieces(
        self, data: bytes | memoryview
    ) -> collections.abc.Iterator[memoryview]:
        """Yield the pieces in which data is to be sent.

        The peer may close its side meanwhile, and acknowledge the rest in its
        buffer without reading it.
        """
        self._is_sending = True
        view = memoryview(data)
        for start in range(0, len(view), _PIECE_BYTES):
            if self._sock is not None and _options.has_peer_closed(self._sock):
                self._has_closed_early = True
            yield view[start : start + _PIECE_BYTES]
        self._is_sending = False

    def find_gap(self) -> str | None:
        """Return why the peer's end is not that of a whole exchange.

        To be called once the peer's side has ended and before this side is
        closed.  ``None`` if the request was acknowledged and no reset came.
        """
        if self._sock is not None and _options.was_reset(self._sock):
            return "the connection was reset"
        if (
            self._is_sending
            or self._has_closed_early
            or (self._sock and _options.count_unsent_bytes(self._sock))
        ):
            return "closed before the whole request was received"
        return None
