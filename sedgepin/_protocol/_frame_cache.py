"""Reuse of the frames of messages that are sent to many peers."""

import collections
import collections.abc

from sedgepin._protocol import _framing
from sedgepin._protocol import _messages

# Batches that are sent to all peers at about the same time: loads, heartbeats
# and changes of endpoints, in few combinations.
_MAX_FRAMES = 8

_Messages = collections.abc.Sequence[_messages.PeerMessage]


class FrameCache:
    """Encodes batches of messages, each different batch only once.

    A control VM sends the same message objects to each of its entry VMs, so
    that a frame is encoded and compressed once, however many receive it.

    >>> cache = FrameCache()
    >>> cache.encode([message]) is cache.encode([message])
    True
    """

    __slots__ = ("_frames",)

    def __init__(self) -> None:
        # The batch is kept with its frame, so that no other message gets the
        # same identity.
        self._frames: collections.OrderedDict[
            tuple[int, ...], tuple[_Messages, bytes]
        ] = collections.OrderedDict()

    def encode(self, messages: _Messages) -> bytes:
        """Return the frame of a batch, from the cache if it was sent before.

        Batches are the same if they contain the same objects in one order.
        """
        key = tuple(map(id, messages))
        cached = self._frames.get(key)
        if cached is not None:
            return cached[1]
        frame = _framing.encode_messages(messages)
        self._frames[key] = (messages, frame)
        if len(self._frames) > _MAX_FRAMES:
            self._frames.popitem(last=False)
        return frame
