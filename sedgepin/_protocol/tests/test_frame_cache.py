"""Tests of the reuse of encoded frames."""

from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._protocol import _frame_cache


def _message(number: int) -> protocol.EndpointLost:
    return protocol.EndpointLost(model.EndpointId(f"e{number}"), number)


class TestFrameCache:
    def test_batch_for_many_peers_is_encoded_once(self) -> None:
        cache = _frame_cache.FrameCache()
        batch = [_message(1), _message(2)]
        frame = cache.encode(list(batch))
        assert cache.encode(list(batch)) is frame
        assert frame == protocol.encode_messages(batch)

    def test_other_batches_get_their_own_frames(self) -> None:
        """Messages that are gone must not lend their identity to others."""
        cache = _frame_cache.FrameCache()
        for number in range(1000):
            message = _message(number)
            expected = protocol.encode_messages([message])
            assert cache.encode([message]) == expected
        one, two = _message(1), _message(2)
        assert cache.encode([one, two]) != cache.encode([two, one])

    def test_memory_is_bounded(self) -> None:
        cache = _frame_cache.FrameCache()
        for number in range(1000):
            cache.encode([_message(number)])
        assert len(cache._frames) <= 8
