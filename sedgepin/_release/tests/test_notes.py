"""Tests of reading release notes and applying them to the fleet."""

import datetime
import json

import hypothesis
from hypothesis import strategies as st
import pytest

from sedgepin import _model as model
from sedgepin import _release as release
from sedgepin import errors

_NOW = datetime.datetime(2026, 10, 3, tzinfo=datetime.timezone.utc)

_TARE = {"type": "model", "name": "tare", "layer_count": 8, "version": "v1"}
_GATE = {"type": "service", "name": "gate", "kind": "model", "model": "tare"}
_ROLE = {
    "type": "role",
    "name": "low",
    "selector": {"data_centre": "beja"},
    "model": "tare",
    "layers": {"first": 0, "end": 4},
}


def _document(
    number: int, *changes: tuple[str, object], **fields: object
) -> bytes:
    note = {
        "number": number,
        "note_id": f"n{number}",
        "author": "amel",
        "title": "t",
        "changes": [{"change": verb, "item": item} for verb, item in changes],
    }
    return json.dumps({**note, **fields}).encode()


def _parsed(
    number: int, *changes: tuple[str, object], **fields: object
) -> release.ReleaseNote:
    return release.parse_note(_document(number, *changes, **fields)).unwrap()


def _fields(refused: errors.Failure) -> list[str]:
    assert isinstance(refused, errors.DocumentRefused)
    return [fault.field for fault in refused.faults]


_BASE = _parsed(1, ("added", _TARE), ("added", _GATE), ("added", _ROLE))


class TestParseNote:
    """Every fault is listed by its field."""

    def test_all_faults_at_once(self) -> None:
        raw = _document(
            0,
            ("added", {**_TARE, "layer_count": "8", "colour": "red"}),
            ("moved", _GATE),
            ("added", {"type": "lorry"}),
            ("withdrawn", {"type": "adapter", "name": ""}),
            ("added", {**_ROLE, "selector": {"data_centre": 4}}),
            ("added", {**_ROLE, "layers": {"first": -1}}),
            ("added", {**_GATE, "idempotent_paths": ["x", "/ok", 3]}),
            author="",
            urgent=True,
        )
        assert _fields(release.parse_note(raw).unwrap_err()) == [
            "number",
            "author",
            "changes[0].item.layer_count",
            "changes[0].item.colour",
            "changes[1].change",
            "changes[2].item.type",
            "changes[3].item.name",
            "changes[3].item.model",
            "changes[4].item.selector.data_centre",
            "changes[5].item.layers.first",
            "changes[5].item.layers.end",
            "changes[6].item.idempotent_paths[0]",
            "changes[6].item.idempotent_paths[2]",
            "urgent",
        ]

    @pytest.mark.parametrize(
        "raw",
        [
            b"",
            b"[]",
            b"\xff",
            b"[" * 100_000,
            b'{"number": 1' + b" " * 2_000_000 + b"}",
            _document(1),
            _document(1, *[("added", _TARE)] * 2049),
        ],
        ids=["empty", "list", "bytes", "deep", "long", "none", "many"],
    )
    def test_whole_document_refused(self, raw: bytes) -> None:
        assert release.parse_note(raw).is_err()

    @hypothesis.settings(max_examples=60)
    @hypothesis.given(
        st.one_of(
            st.binary(max_size=200),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.text(),
                lambda inner: (
                    st.lists(inner, max_size=3)
                    | st.dictionaries(
                        st.sampled_from(
                            ["number", "changes", "item", "change", "type"]
                        )
                        | st.text(),
                        inner,
                        max_size=5,
                    )
                ),
            ).map(lambda value: json.dumps(value).encode()),
            st.tuples(st.integers(0, 600), st.integers(0, 255)).map(
                lambda cut: _mangled(*cut)
            ),
        )
    )
    def test_no_input_raises(self, raw: bytes) -> None:
        read = release.parse_note(raw)
        if read.is_err():
            assert _fields(read.unwrap_err())


def _mangled(position: int, byte: int) -> bytes:
    raw = bytearray(_document(1, ("added", _TARE), ("added", _ROLE)))
    raw[position % len(raw)] = byte
    return bytes(raw)


class TestFleet:
    """A note is applied whole or refused with every fault."""

    @pytest.mark.parametrize(
        ("changes", "fields"),
        [
            ([("added", _TARE)], ["changes[0].item"]),
            (
                [("changed", {**_TARE, "name": "dry"})],
                ["changes[0].item"],
            ),
            (
                [("withdrawn", {"type": "role", "name": "high"})],
                ["changes[0].item"],
            ),
            (
                [("added", {"type": "adapter", "model": "dry", "name": "a"})],
                ["changes[0].item.model"],
            ),
            (
                [
                    ("changed", {**_ROLE, "layers": {"first": 4, "end": 9}}),
                    ("added", {**_ROLE, "name": "r", "layers": None}),
                    ("added", {**_ROLE, "name": "s", "model": "dry"}),
                    ("added", {**_ROLE, "name": "t", "version": "v9"}),
                    ("added", {**_ROLE, "name": "u", "selector": {}}),
                    (
                        "added",
                        {
                            **_ROLE,
                            "name": "v",
                            "layers": {"first": 2, "end": 2},
                        },
                    ),
                    ("added", {**_ROLE, "name": "w", "model": None}),
                ],
                [
                    "changes[0].item.layers",
                    "changes[2].item.model",
                    "changes[3].item.version",
                    "changes[4].item.selector",
                    "changes[5].item.layers",
                    "changes[6].item.layers",
                ],
            ),
            (
                [("withdrawn", {"type": "model", "name": "tare"})],
                ["fleet.role low.model", "fleet.service gate.model"],
            ),
            (
                [
                    (
                        "withdrawn",
                        {"type": "version", "model": "tare", "name": "v1"},
                    )
                ],
                ["fleet.model tare.version"],
            ),
            (
                [("added", {**_GATE, "name": "g", "kind": "plain"})],
                ["changes[0].item.model"],
            ),
            (
                [
                    ("withdrawn", {"type": "role", "name": "low"}),
                    ("added", _ROLE),
                ],
                ["changes[1].item"],
            ),
            (
                [
                    (
                        "added",
                        {
                            **_ROLE,
                            "name": name,
                            "selector": {"endpoint_id": "e1"},
                        },
                    )
                    for name in ("x", "y")
                ],
                ["changes[1].item.selector.endpoint_id"],
            ),
        ],
    )
    def test_faults(
        self, changes: list[tuple[str, object]], fields: list[str]
    ) -> None:
        fleet = release.Fleet().with_note(_BASE).unwrap()
        refused = fleet.with_note(_parsed(2, *changes)).unwrap_err()
        assert _fields(refused) == fields

    def test_model_lists_its_adapters(self) -> None:
        fleet = release.Fleet().with_note(_BASE).unwrap()
        adapter = {"type": "adapter", "model": "tare", "name": "a"}
        fleet = fleet.with_note(_parsed(2, ("added", adapter))).unwrap()
        assert fleet.models[0].adapters == ("a",)
        other = {**_TARE, "version": "v2", "adapters": ["b"]}
        fleet = fleet.with_note(_parsed(3, ("changed", other))).unwrap()
        assert fleet.models[0].adapters == ("b",)
        assert [each.name for each in fleet.versions] == ["v1", "v2"]
        raw = release.encode_fleet(fleet)
        assert release.decode_fleet(raw).unwrap() == fleet
        assert release.decode_fleet(raw[:-3]).is_err()


class TestService:
    """What is not known to be idempotent is a write."""

    @pytest.mark.parametrize(
        ("method", "path", "is_idempotent"),
        [
            ("GET", "/receipts", True),
            ("POST", "/receipts", False),
            ("POST", "/drafts", True),
            ("POST", "/drafts/7?x=/..", True),
            ("POST", "/drafts-final", False),
            ("POST", "/drafts/../receipts", False),
            ("POST", "/drafts/%2e%2e/receipts", False),
            ("get", "/receipts", False),
        ],
    )
    def test_may_repeat(
        self, method: str, path: str, is_idempotent: bool
    ) -> None:
        service = release.Service(
            name=model.ServiceName("gate"),
            kind=release.ServiceKind.PLAIN,
            idempotent_paths=("/drafts",),
        )
        assert service.is_idempotent(method, path) is is_idempotent


class TestNoteLedger:
    """The first note in the log wins its number."""

    def _publish(
        self, ledger: release.NoteLedger, note: release.ReleaseNote, index: int
    ) -> release.AcceptedNote | errors.Failure:
        told = ledger.publish(note, index, _NOW)
        return told.ok() or told.unwrap_err()

    def test_conflicts_and_resends(self) -> None:
        ledger = release.NoteLedger()
        first = self._publish(ledger, _BASE, 10)
        assert isinstance(first, release.AcceptedNote)
        assert self._publish(ledger, _BASE, 20) == first
        kinds = release.NoteConflictKind
        role = ("withdrawn", {"type": "role", "name": "low"})
        for note, kind in [
            (_parsed(1, role, note_id="other"), kinds.NUMBER_TAKEN),
            (_parsed(2, role, note_id="n1"), kinds.ID_REUSED),
        ]:
            told = self._publish(ledger, note, 30)
            assert isinstance(told, release.NoteConflict)
            assert (told.kind, told.winner) == (kind, first)
            for word in (first.author, first.note_id, first.digest):
                assert word in told.detail()
        ahead = self._publish(ledger, _parsed(3, role), 40)
        assert isinstance(ahead, release.NoteConflict)
        assert (ahead.kind, ahead.next_number) == (kinds.NUMBER_AHEAD, 2)
        assert ledger.fleet.note_number == 1

    def test_a_long_history_never_goes_back(self) -> None:
        ledger = release.NoteLedger()
        first = self._publish(ledger, _BASE, 1)
        for number in range(2, 5000):
            changed = {**_TARE, "version": f"v{number % 7}"}
            note = _parsed(number, ("changed", changed))
            self._publish(ledger, note, number)
            assert ledger.fleet.note_number == number
        told = self._publish(ledger, _BASE, 5000)
        assert isinstance(told, release.NoteConflict)
        assert told.kind is release.NoteConflictKind.NUMBER_PASSED
        assert told.winner is None
        assert first != told
        assert ledger.fleet.note_number == 4999
