"""The replicated records that make a write run at most once.

A begin is committed before the write is dispatched and names the one request
that may dispatch it.  No passing of time ever turns a begun write into one
that was not run: only its own holder can say so.
"""

import datetime

import msgspec
import result

from sedgepin import _model as model
from sedgepin._writes import _failures
from sedgepin._writes import _key
from sedgepin._writes import _messages
from sedgepin._writes import _record
from sedgepin._writes import _store

# Requests remembered as having given one key up.
_ABANDONED_LIMIT = 8
# States whose holder has said itself that it sent the write.
_SENT = (_record.WriteState.FINISHED, _record.WriteState.UNKNOWN)
_CHANGED_FINISHED = _messages.WriteChanged(_record.WriteState.FINISHED)
_CHANGED_ABANDONED = _messages.WriteChanged(_record.WriteState.ABANDONED)
_CHANGED_UNKNOWN = _messages.WriteChanged(_record.WriteState.UNKNOWN)
_NEVER = model.Incarnation(-1)
_MILLISECOND = datetime.timedelta(milliseconds=1)

BeginReply = (
    _messages.WriteGranted
    | _messages.WriteFinished
    | _messages.WriteInProgress
)


class RecordsContents(msgspec.Struct, frozen=True):
    """What write records hold, for snapshots."""

    policy: _record.WritePolicy
    horizon_milliseconds: int
    now_milliseconds: int
    lost: dict[model.VmId, model.Incarnation]
    records: tuple[msgspec.Raw, ...]


class WriteRecords:
    """All writes of the last while, by customer and idempotency key.

    Time comes from the commands and never goes backwards, so every replica
    purges the same records at the same place of the log.
    """

    __slots__ = (
        "_horizon",
        "_lost",
        "_now",
        "_policy",
        "_store",
    )

    def __init__(self, contents: RecordsContents | None = None) -> None:
        self._policy = contents.policy if contents else _record.WritePolicy()
        self._horizon = contents.horizon_milliseconds if contents else 0
        self._now = contents.now_milliseconds if contents else 0
        self._lost = dict(contents.lost) if contents else {}
        self._store = _store.RecordStore(
            self._horizon, contents.records if contents else ()
        )

    def __len__(self) -> int:
        return len(self._store)

    @property
    def policy(self) -> _record.WritePolicy:
        """Return the policy in force."""
        return self._policy

    def contents(self) -> RecordsContents:
        """Return what new records need to go on from here."""
        return RecordsContents(
            policy=self._policy,
            horizon_milliseconds=self._horizon,
            now_milliseconds=self._now,
            lost=dict(self._lost),
            records=self._store.contents(),
        )

    def configure(
        self, policy: _record.WritePolicy, at: datetime.datetime
    ) -> None:
        """Put another policy in force.

        A longer retention does not bring back what was purged: a key that
        was too old once stays too old.
        """
        self._policy = policy
        self._advance(at)

    def begin(
        self,
        customer: model.CustomerId,
        key: str,
        digest: bytes,
        holder: _record.WriteHolder,
        at: datetime.datetime,
    ) -> result.Result[BeginReply, _failures.WriteFailure]:
        """Grant the write to ``holder``, or tell how it stands."""
        self._advance(at)
        refused = self._refuse_key(key)
        if refused is not None:
            return result.Err(refused)
        told = self.peek(customer, key, digest, holder)
        if told is not None:
            return told
        return self._grant(customer, key, digest, holder)

    def peek(
        self,
        customer: model.CustomerId,
        key: str,
        digest: bytes,
        holder: _record.WriteHolder,
    ) -> result.Result[BeginReply, _failures.WriteFailure] | None:
        """Return what a begin would be told, if it would change nothing.

        A leader that holds its lease may answer with this, without adding to
        the log: most of what asks again is told that the write goes on.
        """
        record = self._store.find(customer, key)
        if record is None or record.state is _record.WriteState.ABANDONED:
            return None
        if record.digest != digest:
            return result.Err(_failures.IdempotencyKeyReused())
        if record.state is _record.WriteState.FINISHED:
            return result.Ok(_messages.WriteFinished(record.answer))
        if record.state is _record.WriteState.UNKNOWN:
            return result.Err(_failures.OutcomeUnknown())
        return self._tell_begun(record, holder)

    def finish(
        self,
        customer: model.CustomerId,
        key: str,
        holder: _record.WriteHolder,
        answer: _record.StoredAnswer | None,
        at: datetime.datetime,
    ) -> result.Result[_messages.WriteChanged, _failures.ChangeRefused]:
        """Record that the write ran; the first answer recorded stays."""
        self._advance(at)
        record = self._held(customer, key, holder)
        if record is None or record.state is _record.WriteState.ABANDONED:
            return result.Err(_failures.ChangeRefused())
        if record.state is not _record.WriteState.FINISHED:
            limit = self._policy.answer_limit_bytes
            kept = answer if answer and answer.size_bytes <= limit else None
            self._change(record, _record.WriteState.FINISHED, kept)
        return result.Ok(_CHANGED_FINISHED)

    def abandon(
        self,
        customer: model.CustomerId,
        key: str,
        holder: _record.WriteHolder,
        at: datetime.datetime,
    ) -> result.Result[_messages.WriteChanged, _failures.ChangeRefused]:
        """Record that ``holder`` did not dispatch and never will."""
        self._advance(at)
        if self._refuse_key(key) is not None:
            return result.Ok(_CHANGED_ABANDONED)
        record = self._store.find(customer, key)
        if record is None:
            self._store.put(self._given_up(customer, key, holder))
            return result.Ok(_CHANGED_ABANDONED)
        if record.holder != holder:
            self._store.put(_with_abandoned(record, holder))
            return result.Ok(_CHANGED_ABANDONED)
        if record.state in _SENT:
            return result.Err(_failures.ChangeRefused())
        if record.state is _record.WriteState.BEGUN:
            record = _with_abandoned(record, holder)
            self._change(record, _record.WriteState.ABANDONED, None)
        return result.Ok(_CHANGED_ABANDONED)

    def mark_unknown(
        self,
        customer: model.CustomerId,
        key: str,
        holder: _record.WriteHolder,
        at: datetime.datetime,
    ) -> result.Result[_messages.WriteChanged, _failures.ChangeRefused]:
        """Record that ``holder`` sent the write and cannot tell its end."""
        self._advance(at)
        record = self._held(customer, key, holder)
        if record is None or record.state is _record.WriteState.ABANDONED:
            return result.Err(_failures.ChangeRefused())
        if record.state is _record.WriteState.BEGUN:
            self._change(record, _record.WriteState.UNKNOWN, None)
        return result.Ok(_CHANGED_UNKNOWN)

    def mark_holder_lost(
        self,
        vm_id: model.VmId,
        incarnation: model.Incarnation,
        at: datetime.datetime,
    ) -> None:
        """Make unknown what this and earlier lives of the VM have begun."""
        self._advance(at)
        known = self._lost.get(vm_id, incarnation)
        self._lost[vm_id] = max(known, incarnation)

    def _is_lost(self, holder: _record.WriteHolder) -> bool:
        return self._lost.get(holder.vm_id, _NEVER) >= holder.incarnation

    def _held(
        self, customer: model.CustomerId, key: str, holder: _record.WriteHolder
    ) -> _record.WriteRecord | None:
        record = self._store.find(customer, key)
        if record is None or record.holder != holder:
            return None
        return record

    def _refuse_key(self, key: str) -> _failures.WriteFailure | None:
        if not 0 < len(key) <= _key.MAX_KEY_CHARACTERS:
            return _failures.KeyMalformed()
        date = _key.key_date_milliseconds(key)
        if date is None:
            return None
        if date < self._horizon:
            return _failures.KeyTooOld()
        skew = self._policy.future_skew // _MILLISECOND
        if date > self._now + skew:
            return _failures.KeyFutureDated()
        return None

    def _grant(
        self,
        customer: model.CustomerId,
        key: str,
        digest: bytes,
        holder: _record.WriteHolder,
    ) -> result.Result[BeginReply, _failures.WriteFailure]:
        record = self._store.find(customer, key)
        if self._is_lost(holder):
            return result.Err(_failures.HolderLost())
        abandoned = record.abandoned if record else ()
        if holder in abandoned:
            return result.Err(_failures.WriteAbandoned())
        if record is None and self._undated_full(customer, key):
            return result.Err(_failures.UndatedKeysFull())
        self._store.put(
            _record.WriteRecord(
                customer=customer,
                key=key,
                digest=digest,
                state=_record.WriteState.BEGUN,
                holder=holder,
                changed_milliseconds=self._now,
                abandoned=abandoned,
            )
        )
        return result.Ok(_messages.WriteGranted())

    def _tell_begun(
        self, record: _record.WriteRecord, holder: _record.WriteHolder
    ) -> result.Result[BeginReply, _failures.WriteFailure]:
        lost = self._is_lost(record.holder)
        if record.holder == holder and lost:
            return result.Err(_failures.HolderLost())
        if record.holder == holder:
            return result.Ok(_messages.WriteGranted())
        if lost:
            return result.Err(_failures.OutcomeUnknown())
        return result.Ok(_messages.WriteInProgress(record.holder))

    def _undated_full(self, customer: model.CustomerId, key: str) -> bool:
        if _key.key_date_milliseconds(key) is not None:
            return False
        limit = self._policy.undated_keys_per_customer
        return self._store.undated_count(customer) >= limit

    def _given_up(
        self, customer: model.CustomerId, key: str, holder: _record.WriteHolder
    ) -> _record.WriteRecord:
        return _record.WriteRecord(
            customer=customer,
            key=key,
            digest=b"",
            state=_record.WriteState.ABANDONED,
            holder=holder,
            changed_milliseconds=self._now,
            abandoned=(holder,),
        )

    def _change(
        self,
        record: _record.WriteRecord,
        state: _record.WriteState,
        answer: _record.StoredAnswer | None,
    ) -> None:
        self._store.put(
            msgspec.structs.replace(
                record,
                state=state,
                answer=answer,
                changed_milliseconds=self._now,
            )
        )

    def _advance(self, at: datetime.datetime) -> None:
        """Move time forward and purge what has come to its end."""
        self._now = max(self._now, _key.to_milliseconds(at))
        retention = self._policy.retention // _MILLISECOND
        self._horizon = max(self._horizon, self._now - retention)
        self._store.purge_before(self._horizon)


def _with_abandoned(
    record: _record.WriteRecord, holder: _record.WriteHolder
) -> _record.WriteRecord:
    if holder in record.abandoned:
        return record
    abandoned = (*record.abandoned, holder)[-_ABANDONED_LIMIT:]
    return msgspec.structs.replace(record, abandoned=abandoned)
