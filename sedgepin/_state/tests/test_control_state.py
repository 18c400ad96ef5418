"""Tests of ``ControlState``: snapshots, incarnations and indices."""

import datetime
import random
import zlib

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from sedgepin import _model as model
from sedgepin import _release as release
from sedgepin import _state as state
from sedgepin import _writes as writes

_START = datetime.datetime(2026, 10, 3, tzinfo=datetime.timezone.utc)
_SECOND = datetime.timedelta(seconds=1)
_WRITE_CHANGE_COMMANDS = ("FinishWrite", "AbandonWrite", "MarkWriteUnknown")


def _end_vm(
    command_type: type[state.LeaveVm | state.DeclareVmLost],
    vm_id: str,
    incarnation: int,
) -> state.Command:
    return command_type(
        at=_START,
        actor="leader",
        vm_id=model.VmId(vm_id),
        incarnation=model.Incarnation(incarnation),
    )


def _register(vm_id: str, incarnation: int) -> state.Command:
    return state.RegisterVm(
        at=_START,
        actor=vm_id,
        vm_id=model.VmId(vm_id),
        incarnation=model.Incarnation(incarnation),
        data_centre=model.DataCentreId("beja"),
        roles=("entry",),
        address="127.0.0.1:1",
    )


def _publish(number: int, author: str) -> state.Command:
    item = release.Model(
        name=model.ModelName(f"m{number}"), layer_count=4, version=author
    )
    note = release.ReleaseNote(
        number=number,
        note_id=f"{author}-{number}",
        author=author,
        title="t",
        changes=(release.Added(item),),
    )
    return state.PublishNote(at=_START, actor=author, note=note)


def _write(rng: random.Random, command_name: str) -> state.Command:
    incarnation = rng.randint(1, 3)
    seconds = int(_START.timestamp()) + rng.randint(-100, 400)
    fields = {
        "type": command_name,
        "at": _START,
        "actor": "e1",
        "customer": "c",
        "key": rng.choice(
            [f"{seconds // 50 * 50}-k", f"undated-{incarnation}"]
        ),
        "holder": [rng.choice("ab"), incarnation, str(rng.randint(1, 3))],
        "digest": rng.choice([b"1", b"2"]),
        "answer": [200, [], b"x"],
    }
    command: state.Command = msgspec.convert(fields, writes.WriteCommand)
    return command


def _command(rng: random.Random, fleet: release.Fleet) -> state.Command:
    policy = writes.WritePolicy(
        retention=rng.randint(100, 200) * _SECOND,
        undated_keys_per_customer=rng.randint(1, 3),
    )
    audit_kind = state.AuditKind.ENDPOINT_QUARANTINED
    vm_id = rng.choice("ab")
    incarnation = rng.randint(1, 3)
    choices: list[state.Command] = [
        _publish(max(1, fleet.note_number + rng.randint(-1, 1)), "amel"),
        _publish(max(1, fleet.note_number + rng.randint(0, 1)), "idir"),
        _register(vm_id, incarnation),
        _end_vm(state.LeaveVm, vm_id, incarnation),
        _end_vm(state.DeclareVmLost, vm_id, incarnation),
        state.ConfigureWrites(at=_START, actor="amel", policy=policy),
        state.RecordEvent(at=_START, actor="l", kind=audit_kind, subject="e"),
    ]
    choices += [_write(rng, "BeginWrite") for _ in range(6)]
    choices += [
        _write(rng, rng.choice(_WRITE_CHANGE_COMMANDS)) for _ in range(4)
    ]
    return rng.choice(choices)


def _random_state(seed: int, command_count: int) -> state.ControlState:
    rng = random.Random(seed)
    control = state.ControlState()
    for index in range(1, command_count + 1):
        at = _START + index * _SECOND
        control.apply(index, state.stamp(_command(rng, control.fleet), at))
    return control


class TestSnapshot:
    """A state loaded from a snapshot behaves like the original."""

    @pytest.mark.parametrize("seed", range(5))
    def test_loaded_state_replies_equally_after_500_commands(
        self, seed: int
    ) -> None:
        original = _random_state(seed, 500)
        loaded = state.ControlState.load(original.dump()).unwrap()
        assert loaded.dump() == original.dump()
        assert loaded.fleet.note_number == original.fleet.note_number > 10
        rng = random.Random(seed + 1000)
        for index in range(501, 1000):
            command = _command(rng, original.fleet)
            command = state.stamp(command, _START + index * _SECOND)
            raw = state.encode_command(command)
            reply = original.apply(index, state.decode_command(raw).unwrap())
            assert loaded.apply(index, command) == reply
            encoded = state.encode_reply(reply)
            assert state.decode_reply(encoded).unwrap() == reply
        assert loaded.dump() == original.dump()
        assert loaded.audit(0, 10**6) == original.audit(0, 10**6)

    @hypothesis.given(
        st.binary(max_size=64),
        st.integers(min_value=0, max_value=10**6),
        st.integers(min_value=1, max_value=255),
    )
    def test_damaged_input_gives_a_typed_failure(
        self, junk: bytes, position: int, flip: int
    ) -> None:
        raw = bytearray(_DUMP)
        raw[position % len(raw)] ^= flip
        checksummed_junk = b"\x01" + zlib.crc32(junk).to_bytes(4, "big") + junk
        contents = msgspec.msgpack.decode(_DUMP[5:])
        contents["writes"]["records"] = [junk]
        wrong_contents = msgspec.msgpack.encode(contents)
        wrong_contents = (
            b"\x01"
            + zlib.crc32(wrong_contents).to_bytes(4, "big")
            + wrong_contents
        )
        truncated = _DUMP[: position % len(_DUMP)]
        for damaged in (
            bytes(raw),
            junk,
            checksummed_junk,
            wrong_contents,
            truncated,
        ):
            failure = state.ControlState.load(damaged).unwrap_err()
            assert isinstance(
                failure, state.SnapshotDamaged | state.SnapshotVersionUnknown
            )
            assert failure.detail()
        assert state.decode_command(junk).is_err()

    def test_unknown_format_version_is_reported(self) -> None:
        for version in (0, 2):
            raw = bytes([version]) + _DUMP[1:]
            failure = state.ControlState.load(raw).unwrap_err()
            assert failure == state.SnapshotVersionUnknown(version, 1)


_DUMP = _random_state(1, 60).dump()


class TestVms:
    """An incarnation that has ended cannot join again."""

    def test_higher_incarnation_replaces_lower(self) -> None:
        control = state.ControlState()
        begin = _write(random.Random(2), "BeginWrite")
        assert isinstance(begin, writes.BeginWrite)
        vm_id = begin.holder.vm_id
        incarnation = begin.holder.incarnation
        replies = [
            control.apply(1, _register(vm_id, incarnation)),
            control.apply(2, begin),
            control.apply(3, _register(vm_id, incarnation)),
            control.apply(4, _register(vm_id, incarnation + 1)),
            control.apply(5, begin),
            control.apply(6, _register(vm_id, incarnation)),
            control.apply(7, _end_vm(state.LeaveVm, vm_id, incarnation + 1)),
            control.apply(8, _register(vm_id, incarnation + 1)),
        ]
        assert replies[1] == writes.WriteGranted()
        assert replies[4] == writes.WriteRefused("holder_lost")
        refused = [isinstance(reply, state.VmRefused) for reply in replies]
        assert refused == [False] * 5 + [True, False, True]
        kinds = [entry.kind.value for entry in control.audit(0, 10)]
        assert kinds == ["vm_joined", "vm_lost", "vm_joined", "vm_left"]
        same_index_entries = control.audit(1, 1)
        assert [entry.index for entry in same_index_entries] == [4, 4]

    def test_index_cannot_be_applied_twice(self) -> None:
        control = state.ControlState()
        control.apply(1, _publish(1, "amel"))
        with pytest.raises(ValueError, match="applied before"):
            control.apply(1, _publish(2, "amel"))
        assert control.fleet.note_number == 1
