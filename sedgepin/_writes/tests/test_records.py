"""Tests of write records, one promise at a time."""

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


def _holder(request: str, vm: str = "e1", life: int = 1) -> writes.WriteHolder:
    return writes.WriteHolder(
        model.VmId(vm), model.Incarnation(life), model.RequestId(request)
    )


_FIRST = _holder("r1")
_SECOND = _holder("r2", "e2")


class _Records(writes.WriteRecords):
    """Records of one customer, with a key and a digest to fall back on."""

    __slots__ = ()

    def ask(
        self,
        holder: writes.WriteHolder,
        key: str = _KEY,
        digest: bytes = b"d",
        at: datetime.datetime = _NOW,
    ) -> writes.BeginReply | type[errors.Failure]:
        told = self.begin(_CUSTOMER, key, digest, holder, at)
        if isinstance(told, result.Err):
            return type(told.err_value)
        return told.ok_value

    def end(
        self,
        holder: writes.WriteHolder,
        answer: writes.StoredAnswer | None = _ANSWER,
        key: str = _KEY,
        at: datetime.datetime = _NOW,
    ) -> bool:
        return self.finish(_CUSTOMER, key, holder, answer, at).is_ok()

    def give_up(self, holder: writes.WriteHolder, key: str = _KEY) -> bool:
        return self.abandon(_CUSTOMER, key, holder, _NOW).is_ok()


class TestWriteRecords:
    """Who is granted a write, and what everybody else is told."""

    def test_only_the_holder_is_granted(self) -> None:
        records = _Records()
        granted = writes.WriteGranted()
        assert records.ask(_FIRST) == granted
        assert records.ask(_FIRST) == granted
        waiting = writes.WriteInProgress(_FIRST)
        for other in (_SECOND, _holder("r9"), _holder("r1", "e1", 2)):
            assert records.ask(other) == waiting
        assert records.ask(_SECOND, digest=b"x") is writes.IdempotencyKeyReused
        assert not records.end(_SECOND)
        assert records.end(_FIRST)
        assert records.ask(_SECOND) == writes.WriteFinished(_ANSWER)

    def test_the_first_answer_stays(self) -> None:
        records = _Records()
        records.ask(_FIRST)
        assert records.end(_FIRST)
        assert records.end(_FIRST, writes.StoredAnswer(500))
        assert not records.give_up(_FIRST)
        assert records.ask(_SECOND) == writes.WriteFinished(_ANSWER)

    def test_a_large_answer_is_not_kept(self) -> None:
        records = _Records()
        records.ask(_FIRST)
        records.end(_FIRST, writes.StoredAnswer(200, (), b"x" * 5000))
        assert records.ask(_SECOND) == writes.WriteFinished(None)

    def test_abandoned_is_granted_again_but_not_to_who_gave_up(self) -> None:
        records = _Records()
        records.ask(_FIRST)
        assert records.give_up(_SECOND), "not its holder, yet never to be"
        assert records.ask(_SECOND) == writes.WriteInProgress(_FIRST)
        assert records.give_up(_FIRST)
        assert not records.end(_FIRST)
        assert records.ask(_FIRST) is writes.WriteAbandoned
        assert records.ask(_SECOND) is writes.WriteAbandoned
        third = _holder("r3")
        assert records.ask(third, digest=b"other") == writes.WriteGranted()

    def test_an_abandon_that_overtakes_its_begin(self) -> None:
        records = _Records()
        assert records.give_up(_FIRST)
        assert records.ask(_FIRST) is writes.WriteAbandoned
        assert records.ask(_SECOND) == writes.WriteGranted()

    @pytest.mark.parametrize("marked", [True, False])
    def test_unknown_until_the_holder_proves_it(self, marked: bool) -> None:
        records = _Records()
        records.ask(_FIRST)
        if marked:
            records.mark_unknown(_CUSTOMER, _KEY, _FIRST, _NOW)
        else:
            records.mark_holder_lost(_FIRST.vm_id, _FIRST.incarnation, _NOW)
        for hours in range(20):
            told = records.ask(_SECOND, at=_NOW + hours * _HOUR)
            assert told is writes.OutcomeUnknown
        if marked:
            assert not records.give_up(_FIRST)
        assert records.end(_FIRST)
        assert records.ask(_SECOND) == writes.WriteFinished(_ANSWER)

    def test_a_lost_holder_is_granted_nothing(self) -> None:
        records = _Records()
        records.mark_holder_lost(_FIRST.vm_id, model.Incarnation(3), _NOW)
        records.mark_holder_lost(_FIRST.vm_id, model.Incarnation(1), _NOW)
        assert records.ask(_holder("r", "e1", 3)) is writes.HolderLost
        assert records.ask(_holder("r", "e1", 4)) == writes.WriteGranted()


class TestRetention:
    """A key is refused from the instant at which its record may be gone."""

    @pytest.mark.parametrize(
        ("key", "told"),
        [
            ("", writes.KeyMalformed),
            ("k" * 256, writes.KeyMalformed),
            (f"{int(_NOW.timestamp()) - 86_401}-x", writes.KeyTooOld),
            (f"{int(_NOW.timestamp()) + 301}-x", writes.KeyFutureDated),
            ("01900000-0000-7000-8000-000000000000", writes.KeyTooOld),
        ],
    )
    def test_keys_refused(self, key: str, told: type[errors.Failure]) -> None:
        assert _Records().ask(_FIRST, key) is told

    @pytest.mark.parametrize(
        "key",
        [
            f"{int(_NOW.timestamp()) - 86_400}-x",
            f"{int(_NOW.timestamp()) + 300}-x",
            "0612345678-telephone",
            "receipt 17",
        ],
    )
    def test_keys_taken(self, key: str) -> None:
        assert _Records().ask(_FIRST, key) == writes.WriteGranted()

    def test_purged_is_never_run_again(self) -> None:
        records = _Records()
        records.ask(_FIRST)
        records.end(_FIRST)
        day = 24 * _HOUR
        assert records.ask(_SECOND, at=_NOW + day) == writes.WriteFinished(
            _ANSWER
        )
        later = _NOW + day + datetime.timedelta(milliseconds=1)
        assert records.ask(_SECOND, at=later) is writes.KeyTooOld
        assert len(records) == 1, "purged by whole minutes"
        later += datetime.timedelta(minutes=1)
        assert records.ask(_SECOND, at=later) is writes.KeyTooOld
        assert len(records) == 0
        records.configure(writes.WritePolicy(retention=9 * day), later)
        assert records.ask(_SECOND, at=_NOW) is writes.KeyTooOld

    def test_undated_keys_are_kept_for_good_up_to_a_number(self) -> None:
        records = _Records()
        records.configure(
            writes.WritePolicy(undated_keys_per_customer=2), _NOW
        )
        records.ask(_FIRST, "a")
        records.end(_FIRST, key="a")
        records.ask(_FIRST, "b")
        assert records.ask(_FIRST, "c") is writes.UndatedKeysFull
        year = _NOW + 365 * 24 * _HOUR
        assert records.ask(_SECOND, "a", at=year) == writes.WriteFinished(None)
        waiting = writes.WriteInProgress(_FIRST)
        assert records.ask(_SECOND, "b", at=year) == waiting
