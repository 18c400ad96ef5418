"""Replicated records that ensure that each write runs at most once.

A begin is committed before the write is dispatched and names the only request
that may dispatch it.  A begun write never counts as not run because of a
timeout: only its own holder can report that.
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

# Of the holders that abandoned a key, this many most recent ones are kept.
_MAX_ABANDONED_HOLDERS = 8
# States in which the holder has reported that it sent the write.
_DISPATCHED_STATES = (_record.WriteState.FINISHED, _record.WriteState.UNKNOWN)
_CHANGED_FINISHED = _messages.WriteChanged(_record.WriteState.FINISHED)
_CHANGED_ABANDONED = _messages.WriteChanged(_record.WriteState.ABANDONED)
_CHANGED_UNKNOWN = _messages.WriteChanged(_record.WriteState.UNKNOWN)
_NO_INCARNATION = model.Incarnation(-1)
_MILLISECOND = datetime.timedelta(milliseconds=1)

BeginReply = (
    _messages.WriteGranted
    | _messages.WriteFinished
    | _messages.WriteInProgress
)


class RecordsContents(msgspec.Struct, frozen=True):
    """The contents of write records, for snapshots.

    Keys dated before ``horizon_milliseconds`` are too old.
    ``now_milliseconds`` is the highest time of a command so far.  ``lost``
    maps entry VMs to their latest incarnation that was declared lost.
    """

    policy: _record.WritePolicy
    horizon_milliseconds: int
    now_milliseconds: int
    lost: dict[model.VmId, model.Incarnation]
    records: tuple[msgspec.Raw, ...]


class WriteRecords:
    """Write records by customer and idempotency key, within the retention.

    Time is taken from the commands and never goes backwards, so every replica
    purges the same records at the same log index.
    """

    __slots__ = (
        "_horizon_milliseconds",
        "_lost_incarnations",
        "_now_milliseconds",
        "_policy",
        "_store",
    )

    def __init__(self, contents: RecordsContents | None = None) -> None:
        self._policy = contents.policy if contents else _record.WritePolicy()
        self._horizon_milliseconds = (
            contents.horizon_milliseconds if contents else 0
        )
        self._now_milliseconds = contents.now_milliseconds if contents else 0
        self._lost_incarnations = dict(contents.lost) if contents else {}
        self._store = _store.RecordStore(
            self._horizon_milliseconds, contents.records if contents else ()
        )

    def __len__(self) -> int:
        return len(self._store)

    @property
    def policy(self) -> _record.WritePolicy:
        """Return the current policy."""
        return self._policy

    def contents(self) -> RecordsContents:
        """Return the contents from which these records can be restored."""
        return RecordsContents(
            policy=self._policy,
            horizon_milliseconds=self._horizon_milliseconds,
            now_milliseconds=self._now_milliseconds,
            lost=dict(self._lost_incarnations),
            records=self._store.contents(),
        )

    def configure(
        self, policy: _record.WritePolicy, at: datetime.datetime
    ) -> None:
        """Replace the policy.

        A longer retention does not restore purged records: a key that has
        once been too old stays too old.
        """
        self._policy = policy
        self._advance_time(at)

    def begin(
        self,
        customer: model.CustomerId,
        key: str,
        digest: bytes,
        holder: _record.WriteHolder,
        at: datetime.datetime,
    ) -> result.Result[BeginReply, _failures.WriteFailure]:
        """Grant the write to ``holder``, or return its state.

        Returns a failure if the key or the holder is not accepted.
        """
        self._advance_time(at)
        failure = self._check_key(key)
        if failure is not None:
            return result.Err(failure)
        reply = self.peek(customer, key, digest, holder)
        if reply is not None:
            return reply
        return self._grant(customer, key, digest, holder)

    def peek(
        self,
        customer: model.CustomerId,
        key: str,
        digest: bytes,
        holder: _record.WriteHolder,
    ) -> result.Result[BeginReply, _failures.WriteFailure] | None:
        """Return the reply to a begin, or ``None`` if it changes the record.

        A leader that holds its lease can reply with this without appending to
        the log; most repeated begins find the write in progress.
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
        return self._reply_to_begun(record, holder)

    def finish(
        self,
        customer: model.CustomerId,
        key: str,
        holder: _record.WriteHolder,
        answer: _record.StoredAnswer | None,
        at: datetime.datetime,
    ) -> result.Result[_messages.WriteChanged, _failures.ChangeRefused]:
        """Record that the write ran; the first recorded answer is kept."""
        self._advance_time(at)
        record = self._record_of_holder(customer, key, holder)
        if record is None or record.state is _record.WriteState.ABANDONED:
            return result.Err(_failures.ChangeRefused())
        if record.state is not _record.WriteState.FINISHED:
            limit = self._policy.answer_limit_bytes
            stored_answer = (
                answer if answer and answer.size_bytes <= limit else None
            )
            self._update_state(
                record, _record.WriteState.FINISHED, stored_answer
            )
        return result.Ok(_CHANGED_FINISHED)

    def abandon(
        self,
        customer: model.CustomerId,
        key: str,
        holder: _record.WriteHolder,
        at: datetime.datetime,
    ) -> result.Result[_messages.WriteChanged, _failures.ChangeRefused]:
        """Record that ``holder`` has not dispatched and never will."""
        self._advance_time(at)
        if self._check_key(key) is not None:
            return result.Ok(_CHANGED_ABANDONED)
        record = self._store.find(customer, key)
        if record is None:
            self._store.put(self._abandoned_record(customer, key, holder))
            return result.Ok(_CHANGED_ABANDONED)
        if record.holder != holder:
            self._store.put(_with_abandoned(record, holder))
            return result.Ok(_CHANGED_ABANDONED)
        if record.state in _DISPATCHED_STATES:
            return result.Err(_failures.ChangeRefused())
        if record.state is _record.WriteState.BEGUN:
            record = _with_abandoned(record, holder)
            self._update_state(record, _record.WriteState.ABANDONED, None)
        return result.Ok(_CHANGED_ABANDONED)

    def mark_unknown(
        self,
        customer: model.CustomerId,
        key: str,
        holder: _record.WriteHolder,
        at: datetime.datetime,
    ) -> result.Result[_messages.WriteChanged, _failures.ChangeRefused]:
        """Record that ``holder`` sent the write, with unknown outcome."""
        self._advance_time(at)
        record = self._record_of_holder(customer, key, holder)
        if record is None or record.state is _record.WriteState.ABANDONED:
            return result.Err(_failures.ChangeRefused())
        if record.state is _record.WriteState.BEGUN:
            self._update_state(record, _record.WriteState.UNKNOWN, None)
        return result.Ok(_CHANGED_UNKNOWN)

    def mark_holder_lost(
        self,
        vm_id: model.VmId,
        incarnation: model.Incarnation,
        at: datetime.datetime,
    ) -> None:
        """Mark an incarnation of an entry VM as lost.

        Writes that it or earlier incarnations have begun become unknown.
        """
        self._advance_time(at)
        previous = self._lost_incarnations.get(vm_id, incarnation)
        self._lost_incarnations[vm_id] = max(previous, incarnation)

    def _is_lost(self, holder: _record.WriteHolder) -> bool:
        return (
            self._lost_incarnations.get(holder.vm_id, _NO_INCARNATION)
            >= holder.incarnation
        )

    def _record_of_holder(
        self, customer: model.CustomerId, key: str, holder: _record.WriteHolder
    ) -> _record.WriteRecord | None:
        record = self._store.find(customer, key)
        if record is None or record.holder != holder:
            return None
        return record

    def _check_key(self, key: str) -> _failures.WriteFailure | None:
        if not 0 < len(key) <= _key.MAX_KEY_CHARACTERS:
            return _failures.KeyMalformed()
        date = _key.key_date_milliseconds(key)
        if date is None:
            return None
        if date < self._horizon_milliseconds:
            return _failures.KeyTooOld()
        skew = self._policy.future_skew // _MILLISECOND
        if date > self._now_milliseconds + skew:
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
        if record is None and self._undated_keys_full(customer, key):
            return result.Err(_failures.UndatedKeysFull())
        self._store.put(
            _record.WriteRecord(
                customer=customer,
                key=key,
                digest=digest,
                state=_record.WriteState.BEGUN,
                holder=holder,
                changed_milliseconds=self._now_milliseconds,
                abandoned=abandoned,
            )
        )
        return result.Ok(_messages.WriteGranted())

    def _reply_to_begun(
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

    def _undated_keys_full(self, customer: model.CustomerId, key: str) -> bool:
        if _key.key_date_milliseconds(key) is not None:
            return False
        limit = self._policy.undated_keys_per_customer
        return self._store.undated_count(customer) >= limit

    def _abandoned_record(
        self, customer: model.CustomerId, key: str, holder: _record.WriteHolder
    ) -> _record.WriteRecord:
        return _record.WriteRecord(
            customer=customer,
            key=key,
            digest=b"",
            state=_record.WriteState.ABANDONED,
            holder=holder,
            changed_milliseconds=self._now_milliseconds,
            abandoned=(holder,),
        )

    def _update_state(
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
                changed_milliseconds=self._now_milliseconds,
            )
        )

    def _advance_time(self, at: datetime.datetime) -> None:
        """Move time forward and purge expired records."""
        self._now_milliseconds = max(
            self._now_milliseconds, _key.to_milliseconds(at)
        )
        retention = self._policy.retention // _MILLISECOND
        self._horizon_milliseconds = max(
            self._horizon_milliseconds, self._now_milliseconds - retention
        )
        self._store.purge_before(self._horizon_milliseconds)


def _with_abandoned(
    record: _record.WriteRecord, holder: _record.WriteHolder
) -> _record.WriteRecord:
    if holder in record.abandoned:
        return record
    abandoned = (*record.abandoned, holder)[-_MAX_ABANDONED_HOLDERS:]
    return msgspec.structs.replace(record, abandoned=abandoned)
