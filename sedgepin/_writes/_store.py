"""Compact storage of write records, with purging by age."""

import collections
import collections.abc
import hashlib
import typing

import msgspec

from sedgepin import _model as model
from sedgepin._writes import _key
from sedgepin._writes import _record

_MINUTE_MILLISECONDS = 60_000
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_record.WriteRecord)

_RecordId = typing.NewType("_RecordId", bytes)


class RecordStore:
    """Write records by customer and key.

    Records are stored encoded, which takes less than half of the memory of
    decoded ones, and are purged in batches, one for each whole minute.  A
    record with a dated key is purged when the horizon passes that date,
    because the key is refused from then on.  A record with an undated key is
    due when the horizon passes its last change.  It is purged whole if the
    write was abandoned; otherwise only its answer is.

    Raises ``msgspec.MsgspecError`` if ``contents`` are not encoded records.
    """

    __slots__ = (
        "_purged_minute",
        "_records",
        "_records_by_minute",
        "_undated_counts",
    )

    def __init__(
        self,
        horizon_milliseconds: int,
        contents: collections.abc.Iterable[msgspec.Raw],
    ) -> None:
        self._purged_minute = horizon_milliseconds // _MINUTE_MILLISECONDS
        self._records_by_minute: dict[int, list[_RecordId]] = {}
        self._records: dict[_RecordId, bytes] = {}
        self._undated_counts: collections.Counter[model.CustomerId] = (
            collections.Counter()
        )
        for raw in contents:
            self.put(_DECODER.decode(raw))

    def __len__(self) -> int:
        return len(self._records)

    def contents(self) -> tuple[msgspec.Raw, ...]:
        """Return all records, encoded, in order of insertion."""
        return tuple(map(msgspec.Raw, self._records.values()))

    def find(
        self, customer: model.CustomerId, key: str
    ) -> _record.WriteRecord | None:
        """Return the record of a customer's key, if there is one."""
        return self._get(_record_id(customer, key))

    def undated_count(self, customer: model.CustomerId) -> int:
        """Return the number of a customer's records with undated keys."""
        return self._undated_counts[customer]

    def put(self, record: _record.WriteRecord) -> None:
        """Store a record, replacing any record of the same key."""
        record_id = _record_id(record.customer, record.key)
        is_new = record_id not in self._records
        self._records[record_id] = _encoded(record)
        date = _key.key_date_milliseconds(record.key)
        if date is None:
            self._undated_counts[record.customer] += is_new
            self._schedule_purge(record.changed_milliseconds, record_id)
        elif is_new:
            self._schedule_purge(date, record_id)

    def purge_before(self, horizon_milliseconds: int) -> None:
        """Purge the records of all minutes that end before the horizon."""
        horizon_minute = horizon_milliseconds // _MINUTE_MILLISECONDS
        if horizon_minute == self._purged_minute:
            return
        self._purged_minute = horizon_minute
        for minute in [
            minute
            for minute in self._records_by_minute
            if minute < horizon_minute
        ]:
            for record_id in self._records_by_minute.pop(minute):
                self._purge(record_id)

    def _get(self, record_id: _RecordId) -> _record.WriteRecord | None:
        raw = self._records.get(record_id)
        return None if raw is None else _DECODER.decode(raw)

    def _schedule_purge(self, milliseconds: int, record_id: _RecordId) -> None:
        minute = milliseconds // _MINUTE_MILLISECONDS
        self._records_by_minute.setdefault(minute, []).append(record_id)

    def _purge(self, record_id: _RecordId) -> None:
        record = self._get(record_id)
        if record is None:
            return
        if _key.key_date_milliseconds(record.key) is not None:
            del self._records[record_id]
            return
        changed_minute = record.changed_milliseconds // _MINUTE_MILLISECONDS
        if changed_minute >= self._purged_minute:
            return
        if record.state is _record.WriteState.ABANDONED:
            del self._records[record_id]
            self._undated_counts[record.customer] -= 1
        elif record.answer is not None:
            without_answer = msgspec.structs.replace(record, answer=None)
            self._records[record_id] = _encoded(without_answer)


def _encoded(record: _record.WriteRecord) -> bytes:
    """Encode a record without wasting memory.

    The encoder shrinks an oversized buffer in place, which fragments memory
    between records.  The copy has exactly the required size.
    """
    return bytes(memoryview(_ENCODER.encode(record)))


def _record_id(customer: model.CustomerId, key: str) -> _RecordId:
    """Return a digest that identifies a record.

    With 128 bits, accidental collisions are too unlikely to matter.
    """
    text = f"{len(customer)} {customer} {key}"
    raw = text.encode("utf-8", "surrogatepass")
    return _RecordId(hashlib.blake2b(raw, digest_size=16).digest())
