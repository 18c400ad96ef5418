"""Tests of parsing release notes and applying them to a fleet."""

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
        "changes": [
            {"change": change, "item": item} for change, item in changes
        ],
    }
    return json.dumps({**note, **fields}).encode()


def _parse(
    number: int, *changes: tuple[str, object], **fields: object
) -> release.ReleaseNote:
    return release.parse_note(_document(number, *changes, **fields)).unwrap()


def _fault_fields(failure: errors.Failure) -> list[str]:
    assert isinstance(failure, errors.DocumentRefused)
    return [fault.field for fault in failure.faults]


_BASE = _parse(1, ("added", _TARE), ("added", _GATE), ("added", _ROLE))


class TestParseNote:
    """Parsing reports every fault with the path of its field."""

    def test_all_faults_are_reported_at_once(self) -> None:
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
        assert _fault_fields(release.parse_note(raw).unwrap_err()) == [
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
    def test_malformed_document_is_refused(self, raw: bytes) -> None:
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
                lambda drawn: _with_byte_replaced(*drawn)
            ),
        )
    )
    def test_no_input_raises(self, raw: bytes) -> None:
        parsed = release.parse_note(raw)
        if parsed.is_err():
            assert _fault_fields(parsed.unwrap_err())


def _with_byte_replaced(position: int, byte: int) -> bytes:
    raw = bytearray(_document(1, ("added", _TARE), ("added", _ROLE)))
    raw[position % len(raw)] = byte
    return bytes(raw)


class TestFleet:
    """A note is applied as a whole or refused with all its faults."""

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
    def test_faulty_note_is_refused(
        self, changes: list[tuple[str, object]], fields: list[str]
    ) -> None:
        fleet = release.Fleet().with_note(_BASE).unwrap()
        failure = fleet.with_note(_parse(2, *changes)).unwrap_err()
        assert _fault_fields(failure) == fields

    def test_changed_model_replaces_its_adapters(self) -> None:
        fleet = release.Fleet().with_note(_BASE).unwrap()
        adapter = {"type": "adapter", "model": "tare", "name": "a"}
        fleet = fleet.with_note(_parse(2, ("added", adapter))).unwrap()
        assert fleet.models[0].adapters == ("a",)
        changed = {**_TARE, "version": "v2", "adapters": ["b"]}
        fleet = fleet.with_note(_parse(3, ("changed", changed))).unwrap()
        assert fleet.models[0].adapters == ("b",)
        assert [version.name for version in fleet.versions] == ["v1", "v2"]
        raw = release.encode_fleet(fleet)
        assert release.decode_fleet(raw).unwrap() == fleet
        assert release.decode_fleet(raw[:-3]).is_err()


class TestService:
    """Calls that are not declared idempotent are writes."""

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
    def test_idempotent_methods_and_paths(
        self, method: str, path: str, is_idempotent: bool
    ) -> None:
        service = release.Service(
            name=model.ServiceName("gate"),
            kind=release.ServiceKind.PLAIN,
            idempotent_paths=("/drafts",),
        )
        assert service.is_idempotent(method, path) is is_idempotent


class TestNoteLedger:
    """Of the notes with one number, the first in the log is accepted."""

    def _publish(
        self, ledger: release.NoteLedger, note: release.ReleaseNote, index: int
    ) -> release.AcceptedNote | errors.Failure:
        published = ledger.publish(note, index, _NOW)
        return published.ok() or published.unwrap_err()

    def test_resent_note_is_accepted_and_other_notes_conflict(self) -> None:
        ledger = release.NoteLedger()
        first = self._publish(ledger, _BASE, 10)
        assert isinstance(first, release.AcceptedNote)
        assert self._publish(ledger, _BASE, 20) == first
        kinds = release.NoteConflictKind
        role = ("withdrawn", {"type": "role", "name": "low"})
        for note, kind in [
            (_parse(1, role, note_id="other"), kinds.NUMBER_TAKEN),
            (_parse(2, role, note_id="n1"), kinds.ID_REUSED),
        ]:
            conflict = self._publish(ledger, note, 30)
            assert isinstance(conflict, release.NoteConflict)
            assert (conflict.kind, conflict.winner) == (kind, first)
            for text in (first.author, first.note_id, first.digest):
                assert text in conflict.detail()
        ahead = self._publish(ledger, _parse(3, role), 40)
        assert isinstance(ahead, release.NoteConflict)
        assert (ahead.kind, ahead.next_number) == (kinds.NUMBER_AHEAD, 2)
        assert ledger.fleet.note_number == 1

    def test_note_older_than_the_kept_ones_is_refused(self) -> None:
        ledger = release.NoteLedger()
        first = self._publish(ledger, _BASE, 1)
        for number in range(2, 5000):
            changed = {**_TARE, "version": f"v{number % 7}"}
            note = _parse(number, ("changed", changed))
            self._publish(ledger, note, number)
            assert ledger.fleet.note_number == number
        conflict = self._publish(ledger, _BASE, 5000)
        assert isinstance(conflict, release.NoteConflict)
        assert conflict.kind is release.NoteConflictKind.NUMBER_PASSED
        assert conflict.winner is None
        assert first != conflict
        assert ledger.fleet.note_number == 4999
