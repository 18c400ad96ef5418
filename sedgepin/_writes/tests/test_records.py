"""Tests of the guarantees of write records."""

import datetime

import pytest
import result

from sedgepin import _model as model
from sedgepin import _writes as writes
from sedgepin import errors

_NOW = datetime.datetime(2026, 10, 3, tzinfo=datetime.timezone.utc)
_HOUR = datetime.timedelta(hours=1)
_CUSTOMER = model.CustomerId("beja")
_KEY = f"{int(_NOW.timestamp())}-receipt"
_ANSWER = writes.StoredAnswer(201, (writes.Header("etag", "1"),), b"done")


def _holder(
    request: str, vm: str = "e1", incarnation: int = 1
) -> writes.WriteHolder:
    return writes.WriteHolder(
        model.VmId(vm),
        model.Incarnation(incarnation),
        model.RequestId(request),
    )


_FIRST = _holder("r1")
_SECOND = _holder("r2", "e2")


class _Records(writes.WriteRecords):
    """Records of one customer, with defaults for key, digest and answer."""

    __slots__ = ()

    def try_begin(
        self,
        holder: writes.WriteHolder,
        key: str = _KEY,
        digest: bytes = b"d",
        at: datetime.datetime = _NOW,
    ) -> writes.BeginReply | type[errors.Failure]:
        reply = self.begin(_CUSTOMER, key, digest, holder, at)
        if isinstance(reply, result.Err):
            return type(reply.err_value)
        return reply.ok_value

    def try_finish(
        self,
        holder: writes.WriteHolder,
        answer: writes.StoredAnswer | None = _ANSWER,
        key: str = _KEY,
        at: datetime.datetime = _NOW,
    ) -> bool:
        return self.finish(_CUSTOMER, key, holder, answer, at).is_ok()

    def try_abandon(self, holder: writes.WriteHolder, key: str = _KEY) -> bool:
        return self.abandon(_CUSTOMER, key, holder, _NOW).is_ok()


class TestWriteRecords:
    """Which holder is granted a write, and the replies to the others."""

    def test_only_the_first_holder_is_granted(self) -> None:
        records = _Records()
        granted = writes.WriteGranted()
        assert records.try_begin(_FIRST) == granted
        assert records.try_begin(_FIRST) == granted
        in_progress = writes.WriteInProgress(_FIRST)
        for holder in (_SECOND, _holder("r9"), _holder("r1", "e1", 2)):
            assert records.try_begin(holder) == in_progress
        assert (
            records.try_begin(_SECOND, digest=b"x")
            is writes.IdempotencyKeyReused
        )
        assert not records.try_finish(_SECOND)
        assert records.try_finish(_FIRST)
        assert records.try_begin(_SECOND) == writes.WriteFinished(_ANSWER)

    def test_first_recorded_answer_is_kept(self) -> None:
        records = _Records()
        records.try_begin(_FIRST)
        assert records.try_finish(_FIRST)
        assert records.try_finish(_FIRST, writes.StoredAnswer(500))
        assert not records.try_abandon(_FIRST)
        assert records.try_begin(_SECOND) == writes.WriteFinished(_ANSWER)

    def test_answer_above_the_limit_is_not_kept(self) -> None:
        records = _Records()
        records.try_begin(_FIRST)
        records.try_finish(_FIRST, writes.StoredAnswer(200, (), b"x" * 5000))
        assert records.try_begin(_SECOND) == writes.WriteFinished(None)

    def test_abandoned_key_is_granted_only_to_other_holders(self) -> None:
        records = _Records()
        records.try_begin(_FIRST)
        assert records.try_abandon(_SECOND), (
            "a request that never held the key may abandon it"
        )
        assert records.try_begin(_SECOND) == writes.WriteInProgress(_FIRST)
        assert records.try_abandon(_FIRST)
        assert not records.try_finish(_FIRST)
        assert records.try_begin(_FIRST) is writes.WriteAbandoned
        assert records.try_begin(_SECOND) is writes.WriteAbandoned
        third = _holder("r3")
        assert (
            records.try_begin(third, digest=b"other") == writes.WriteGranted()
        )

    def test_begin_after_its_abandon_is_refused(self) -> None:
        records = _Records()
        assert records.try_abandon(_FIRST)
        assert records.try_begin(_FIRST) is writes.WriteAbandoned
        assert records.try_begin(_SECOND) == writes.WriteGranted()

    @pytest.mark.parametrize("marked_unknown", [True, False])
    def test_outcome_stays_unknown_until_the_holder_finishes(
        self, marked_unknown: bool
    ) -> None:
        records = _Records()
        records.try_begin(_FIRST)
        if marked_unknown:
            records.mark_unknown(_CUSTOMER, _KEY, _FIRST, _NOW)
        else:
            records.mark_holder_lost(_FIRST.vm_id, _FIRST.incarnation, _NOW)
        for hours in range(20):
            reply = records.try_begin(_SECOND, at=_NOW + hours * _HOUR)
            assert reply is writes.OutcomeUnknown
        if marked_unknown:
            assert not records.try_abandon(_FIRST)
        assert records.try_finish(_FIRST)
        assert records.try_begin(_SECOND) == writes.WriteFinished(_ANSWER)

    def test_lost_incarnation_is_not_granted(self) -> None:
        records = _Records()
        records.mark_holder_lost(_FIRST.vm_id, model.Incarnation(3), _NOW)
        records.mark_holder_lost(_FIRST.vm_id, model.Incarnation(1), _NOW)
        assert records.try_begin(_holder("r", "e1", 3)) is writes.HolderLost
        assert (
            records.try_begin(_holder("r", "e1", 4)) == writes.WriteGranted()
        )


class TestRetention:
    """A key is refused from the time at which its record may be purged."""

    @pytest.mark.parametrize(
        ("key", "expected"),
        [
            ("", writes.KeyMalformed),
            ("k" * 256, writes.KeyMalformed),
            (f"{int(_NOW.timestamp()) - 86_401}-x", writes.KeyTooOld),
            (f"{int(_NOW.timestamp()) + 301}-x", writes.KeyFutureDated),
            ("01900000-0000-7000-8000-000000000000", writes.KeyTooOld),
        ],
    )
    def test_invalid_key_is_refused(
        self, key: str, expected: type[errors.Failure]
    ) -> None:
        assert _Records().try_begin(_FIRST, key) is expected

    @pytest.mark.parametrize(
        "key",
        [
            f"{int(_NOW.timestamp()) - 86_400}-x",
            f"{int(_NOW.timestamp()) + 300}-x",
            "0612345678-telephone",
            "receipt 17",
        ],
    )
    def test_valid_key_is_granted(self, key: str) -> None:
        assert _Records().try_begin(_FIRST, key) == writes.WriteGranted()

    def test_purged_key_is_never_granted_again(self) -> None:
        records = _Records()
        records.try_begin(_FIRST)
        records.try_finish(_FIRST)
        day = 24 * _HOUR
        assert records.try_begin(
            _SECOND, at=_NOW + day
        ) == writes.WriteFinished(_ANSWER)
        later = _NOW + day + datetime.timedelta(milliseconds=1)
        assert records.try_begin(_SECOND, at=later) is writes.KeyTooOld
        assert len(records) == 1, "records are purged by whole minutes"
        later += datetime.timedelta(minutes=1)
        assert records.try_begin(_SECOND, at=later) is writes.KeyTooOld
        assert len(records) == 0
        records.configure(writes.WritePolicy(retention=9 * day), later)
        assert records.try_begin(_SECOND, at=_NOW) is writes.KeyTooOld

    def test_undated_keys_never_expire_and_are_limited(self) -> None:
        records = _Records()
        records.configure(
            writes.WritePolicy(undated_keys_per_customer=2), _NOW
        )
        records.try_begin(_FIRST, "a")
        records.try_finish(_FIRST, key="a")
        records.try_begin(_FIRST, "b")
        assert records.try_begin(_FIRST, "c") is writes.UndatedKeysFull
        year = _NOW + 365 * 24 * _HOUR
        assert records.try_begin(
            _SECOND, "a", at=year
        ) == writes.WriteFinished(None)
        in_progress = writes.WriteInProgress(_FIRST)
        assert records.try_begin(_SECOND, "b", at=year) == in_progress
