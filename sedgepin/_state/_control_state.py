"""The replicated state machine of the control VMs."""

import zlib

import msgspec
import result

from sedgepin import _model as model
from sedgepin import _release as release
from sedgepin._state import _audit
from sedgepin._state import _command
from sedgepin._state import _failures
from sedgepin._state import _reply
from sedgepin._state import _vms
from sedgepin import _writes as writes
from sedgepin import errors

FORMAT_VERSION = 1
_CHECKSUM_BYTES = 4


class _Snapshot(msgspec.Struct, frozen=True):
    applied_index: int
    ledger: release.LedgerContents
    writes: writes.RecordsContents
    vms: tuple[_vms.VmRecord, ...]
    audit: tuple[_audit.AuditEntry, ...]


class ControlState:
    """The state that the control VMs replicate.

    ``apply`` is deterministic: replicas that apply the same commands at the
    same indices return the same replies and reach the same state.

    >>> state = ControlState()
    >>> state.apply(1, PublishNote(at=now, actor="amel", note=note))
    NoteAccepted(...)
    >>> ControlState.load(state.dump()).unwrap().applied_index
    1
    """

    __slots__ = ("_applied_index", "_audit", "_ledger", "_vms", "_writes")

    def __init__(self) -> None:
        self._applied_index = 0
        self._ledger = release.NoteLedger()
        self._writes = writes.WriteRecords()
        self._vms = _vms.VmRegistry()
        self._audit = _audit.AuditTrail()

    @property
    def applied_index(self) -> int:
        """Return the index of the last applied command."""
        return self._applied_index

    @property
    def fleet(self) -> release.Fleet:
        """Return the fleet in force."""
        return self._ledger.fleet

    @property
    def write_policy(self) -> writes.WritePolicy:
        """Return the policy for write records in force."""
        return self._writes.policy

    @property
    def write_count(self) -> int:
        """Return the number of write records."""
        return len(self._writes)

    def accepted_note(self, number: int) -> release.AcceptedNote | None:
        """Return the acceptance of a note, or ``None`` if it is not kept."""
        return self._ledger.accepted(number)

    def vms(self) -> tuple[_vms.VmRecord, ...]:
        """Return every VM that ever joined, in its latest incarnation."""
        return self._vms.contents()

    def vm(self, vm_id: model.VmId) -> _vms.VmRecord | None:
        """Return a VM, or ``None`` if it has never joined."""
        return self._vms.get(vm_id)

    def audit(
        self, after_index: int, limit: int
    ) -> tuple[_audit.AuditEntry, ...]:
        """Return entries of the audit trail after an index, oldest first."""
        return self._audit.after(after_index, limit)

    def peek(self, command: writes.BeginWrite) -> _reply.Reply | None:
        """Return the reply to a command that would change nothing.

        Return ``None`` if the command must go through the log.  Only a
        leader that holds its lease may use the reply.
        """
        outcome = self._writes.peek(
            command.customer, command.key, command.digest, command.holder
        )
        return None if outcome is None else _write_reply(outcome)

    def apply(self, index: int, command: _command.Command) -> _reply.Reply:
        """Apply the command at ``index`` and return the reply to it.

        Raises ``ValueError`` unless ``index`` is greater than that of the
        last applied command.
        """
        if index <= self._applied_index:
            raise ValueError(
                f"index {index} was applied before, "
                f"the last applied index is {self._applied_index}"
            )
        self._applied_index = index
        match command:
            case _command.PublishNote():
                return self._publish(index, command)
            case writes.BeginWrite():
                return self._begin_write(command)
            case (
                writes.FinishWrite()
                | writes.AbandonWrite()
                | writes.MarkWriteUnknown()
            ):
                return self._change_write(index, command)
            case _command.ConfigureWrites():
                return self._configure_writes(index, command)
            case _command.RegisterVm():
                return self._register_vm(index, command)
            case _command.LeaveVm():
                return self._end_vm(index, command, _vms.VmState.LEFT)
            case _command.DeclareVmLost():
                return self._end_vm(index, command, _vms.VmState.LOST)
            case _command.RecordOrder():
                return self._record_order(index, command)
            case _command.RecordEvent():
                return self._record_event(index, command)

    def dump(self) -> bytes:
        """Return a snapshot: version byte, checksum and encoded contents."""
        snapshot = _Snapshot(
            applied_index=self._applied_index,
            ledger=self._ledger.contents(),
            writes=self._writes.contents(),
            vms=self._vms.contents(),
            audit=self._audit.contents(),
        )
        body = msgspec.msgpack.encode(snapshot)
        checksum = zlib.crc32(body).to_bytes(_CHECKSUM_BYTES, "big")
        return bytes([FORMAT_VERSION]) + checksum + body

    @classmethod
    def load(
        cls, raw: bytes
    ) -> result.Result[
        "ControlState",
        _failures.SnapshotVersionUnknown | _failures.SnapshotDamaged,
    ]:
        """Decode a snapshot made by ``dump``, or report why it is invalid."""
        if len(raw) <= 1 + _CHECKSUM_BYTES:
            return result.Err(
                _failures.SnapshotDamaged(f"it has only {len(raw)} bytes")
            )
        if raw[0] != FORMAT_VERSION:
            failure = _failures.SnapshotVersionUnknown(raw[0], FORMAT_VERSION)
            return result.Err(failure)
        body = raw[1 + _CHECKSUM_BYTES :]
        checksum = int.from_bytes(raw[1 : 1 + _CHECKSUM_BYTES], "big")
        if zlib.crc32(body) != checksum:
            return result.Err(_failures.SnapshotDamaged("checksum differs"))
        try:
            snapshot = msgspec.msgpack.decode(body, type=_Snapshot)
            records = writes.WriteRecords(snapshot.writes)
        except (msgspec.MsgspecError, RecursionError) as exc:
            return result.Err(_failures.SnapshotDamaged(str(exc)))
        state = cls()
        state._applied_index = snapshot.applied_index
        state._ledger = release.NoteLedger(snapshot.ledger)
        state._writes = records
        state._vms = _vms.VmRegistry(snapshot.vms)
        state._audit = _audit.AuditTrail(snapshot.audit)
        return result.Ok(state)

    def _publish(
        self, index: int, command: _command.PublishNote
    ) -> _reply.Reply:
        note = command.note
        before = self.fleet.note_number
        outcome = self._ledger.publish(note, index, command.at)
        if isinstance(outcome, result.Err):
            failure = outcome.err_value
            if isinstance(failure, errors.DocumentRefused):
                return _reply.NoteFaulty(failure)
            return _reply.NoteConflicted(failure)
        if self.fleet.note_number != before:
            kind = _command.AuditKind.NOTE_ACCEPTED
            subject = f"note {note.number}"
            detail = f"{note.note_id}: {note.title}"
            self._audit.add(index, command, kind, subject, detail)
        return _reply.NoteAccepted(outcome.ok_value)

    def _begin_write(self, command: writes.BeginWrite) -> _reply.Reply:
        return _write_reply(
            self._writes.begin(
                command.customer,
                command.key,
                command.digest,
                command.holder,
                command.at,
            )
        )

    def _change_write(
        self,
        index: int,
        command: writes.FinishWrite
        | writes.AbandonWrite
        | writes.MarkWriteUnknown,
    ) -> _reply.Reply:
        reply = _write_reply(self._apply_change(command))
        if isinstance(reply, writes.WriteRefused):
            kind = _command.AuditKind.WRITE_CHANGE_REFUSED
            subject = f"{command.customer} {command.key}"
            holder = command.holder
            detail = f"{type(command).__name__} by {holder.request_id}"
            self._audit.add(index, command, kind, subject, detail)
        return reply

    def _apply_change(
        self,
        command: writes.FinishWrite
        | writes.AbandonWrite
        | writes.MarkWriteUnknown,
    ) -> result.Result[writes.WriteChanged, writes.ChangeRefused]:
        customer = command.customer
        key = command.key
        holder = command.holder
        at = command.at
        match command:
            case writes.FinishWrite():
                answer = command.answer
                return self._writes.finish(customer, key, holder, answer, at)
            case writes.AbandonWrite():
                return self._writes.abandon(customer, key, holder, at)
            case writes.MarkWriteUnknown():
                return self._writes.mark_unknown(customer, key, holder, at)

    def _configure_writes(
        self, index: int, command: _command.ConfigureWrites
    ) -> _reply.Reply:
        if command.policy != self._writes.policy:
            kind = _command.AuditKind.WRITES_CONFIGURED
            self._audit.add(index, command, kind, "writes")
        self._writes.configure(command.policy, command.at)
        return _reply.Recorded(index)

    def _register_vm(
        self, index: int, command: _command.RegisterVm
    ) -> _reply.Reply:
        record = self._vms.get(command.vm_id)
        outcome = self._vms.register(command)
        if isinstance(outcome, result.Err):
            return _reply.VmRefused(outcome.err_value)
        if not outcome.ok_value:
            return _reply.Recorded(index)
        if record is not None and record.state is _vms.VmState.JOINED:
            kind = _command.AuditKind.VM_LOST
            detail = f"incarnation {record.incarnation}"
            self._audit.add(index, command, kind, command.vm_id, detail)
        previous_incarnation = model.Incarnation(command.incarnation - 1)
        self._writes.mark_holder_lost(
            command.vm_id, previous_incarnation, command.at
        )
        kind = _command.AuditKind.VM_JOINED
        detail = f"incarnation {command.incarnation}"
        self._audit.add(index, command, kind, command.vm_id, detail)
        return _reply.Recorded(index)

    def _end_vm(
        self,
        index: int,
        command: _command.LeaveVm | _command.DeclareVmLost,
        state: _vms.VmState,
    ) -> _reply.Reply:
        vm_id = command.vm_id
        incarnation = command.incarnation
        self._writes.mark_holder_lost(vm_id, incarnation, command.at)
        if self._vms.end(vm_id, incarnation, state):
            kind = _command.AuditKind.VM_LOST
            if state is _vms.VmState.LEFT:
                kind = _command.AuditKind.VM_LEFT
            detail = f"incarnation {incarnation}"
            self._audit.add(index, command, kind, vm_id, detail)
        return _reply.Recorded(index)

    def _record_order(
        self, index: int, command: _command.RecordOrder
    ) -> _reply.Reply:
        order = command.order
        kind = _command.AuditKind.ORDER_GIVEN
        detail = f"{order.epoch}.{order.sequence} {order}"
        self._audit.add(index, command, kind, order.endpoint_id, detail)
        return _reply.Recorded(index)

    def _record_event(
        self, index: int, command: _command.RecordEvent
    ) -> _reply.Reply:
        self._audit.add(
            index, command, command.kind, command.subject, command.detail
        )
        return _reply.Recorded(index)


def _write_reply(
    outcome: result.Result[writes.BeginReply, writes.WriteFailure]
    | result.Result[writes.WriteChanged, writes.ChangeRefused],
) -> _reply.Reply:
    if isinstance(outcome, result.Err):
        return writes.WriteRefused(outcome.err_value.code)
    return outcome.ok_value
