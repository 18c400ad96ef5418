"""Keeps write records in little memory, and purges the old ones."""

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

    Records are kept encoded, which takes less than half of the memory, and
    purged by whole minutes: a dated one by its key's date, from which on the
    key is refused; of an undated one only the answer goes, or the whole
    record where it was abandoned.

    Raises ``msgspec.MsgspecError`` when made from contents that are not
    records.
    """

    __slots__ = ("_purged_minute", "_purges", "_records", "_undated")

    def __init__(
        self,
        horizon_milliseconds: int,
        contents: collections.abc.Iterable[msgspec.Raw],
    ) -> None:
        self._purged_minute = horizon_milliseconds // _MINUTE_MILLISECONDS
        self._purges: dict[int, list[_RecordId]] = {}
        self._records: dict[_RecordId, bytes] = {}
        self._undated: collections.Counter[model.CustomerId] = (
            collections.Counter()
        )
        for raw in contents:
            self.put(_DECODER.decode(raw))

    def __len__(self) -> int:
        return len(self._records)

    def contents(self) -> tuple[msgspec.Raw, ...]:
        """Return all records, encoded, in the order in which they came."""
        return tuple(map(msgspec.Raw, self._records.values()))

    def find(
        self, customer: model.CustomerId, key: str
    ) -> _record.WriteRecord | None:
        """Return the record of a customer's key."""
        return self._get(_record_id(customer, key))

    def undated_count(self, customer: model.CustomerId) -> int:
        """Return how many records of a customer have undated keys."""
        return self._undated[customer]

    def put(self, record: _record.WriteRecord) -> None:
        """Keep a record, in place of any before it."""
        record_id = _record_id(record.customer, record.key)
        is_new = record_id not in self._records
        self._records[record_id] = _encoded(record)
        date = _key.key_date_milliseconds(record.key)
        if date is None:
            self._undated[record.customer] += is_new
            self._purge_from(record.changed_milliseconds, record_id)
        elif is_new:
            self._purge_from(date, record_id)

    def purge_before(self, horizon_milliseconds: int) -> None:
        """Purge the minutes that lie wholly before an instant."""
        horizon_minute = horizon_milliseconds // _MINUTE_MILLISECONDS
        if horizon_minute == self._purged_minute:
            return
        self._purged_minute = horizon_minute
        for minute in [each for each in self._purges if each < horizon_minute]:
            for record_id in self._purges.pop(minute):
                self._purge(record_id)

    def _get(self, record_id: _RecordId) -> _record.WriteRecord | None:
        raw = self._records.get(record_id)
        return None if raw is None else _DECODER.decode(raw)

    def _purge_from(self, milliseconds: int, record_id: _RecordId) -> None:
        minute = milliseconds // _MINUTE_MILLISECONDS
        self._purges.setdefault(minute, []).append(record_id)

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
            self._undated[record.customer] -= 1
        elif record.answer is not None:
            kept = msgspec.structs.replace(record, answer=None)
            self._records[record_id] = _encoded(kept)


def _encoded(record: _record.WriteRecord) -> bytes:
    """Return the record in as many bytes as it needs.

    The encoder shrinks a larger buffer in place, which leaves the rest of it
    unusable between records; the copy does not.
    """
    return bytes(memoryview(_ENCODER.encode(record)))


def _record_id(customer: model.CustomerId, key: str) -> _RecordId:
    """Return a short name of a record; 128 bits do not collide by chance."""
    named = f"{len(customer)} {customer} {key}"
    raw = named.encode("utf-8", "surrogatepass")
    return _RecordId(hashlib.blake2b(raw, digest_size=16).digest())
