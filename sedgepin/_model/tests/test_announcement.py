"""Tests of announcements that no VM could use."""

import json
import typing

import pytest

from sedgepin import _model as model
from sedgepin import documents

_VALID: dict[str, typing.Any] = {
    "endpoint_id": "e",
    "incarnation": 1,
    "sequence": 1,
    "kind": "service",
    "address": "http://127.0.0.1:80",
    "data_centre": "beja",
    "services": ["s"],
}


def _decode(**changes: typing.Any) -> model.Announcement | None:
    raw = json.dumps({**_VALID, **changes}).encode()
    return documents.decode_message(raw, model.Announcement, "a").ok()


class TestAnnouncement:
    """One announcement of another writer must not end a VM (review/2)."""

    @pytest.mark.parametrize(
        "address",
        ["http://127.0.0.1:80", "https://[::1]:8443", "http://1.2.3.4"],
    )
    def test_valid_address_has_no_faults(self, address: str) -> None:
        announcement = _decode(address=address)
        assert announcement is not None
        assert model.validate_announcement(announcement) == ()

    @pytest.mark.parametrize(
        "address",
        [
            "http://127.0.0.1:80800",
            "http://127.0.0.1:0",
            "http://[::1",
            "http://:::",
            "http://999.1.1.1:80",
            "http://:80",
        ],
    )
    def test_invalid_address_is_a_fault(self, address: str) -> None:
        announcement = _decode(address=address)
        assert announcement is not None
        (fault,) = model.validate_announcement(announcement)
        assert fault.field == "address"

    def test_layers_that_no_engine_can_hold_are_a_fault(self) -> None:
        announcement = _decode(layers={"first": 0, "end": 10**17})
        assert announcement is not None
        (fault,) = model.validate_announcement(announcement)
        assert fault.field == "layers.end"

    @pytest.mark.parametrize(
        "changes",
        [
            {"incarnation": 10**20},
            {"sequence": 2**63},
            {"load": {"queued_tokens": 10**20}},
            {"cache_events": [{"sequence": 10**20}]},
            {
                "accelerator": {
                    "name": "a",
                    "count": 10**20,
                    "layer_tokens_per_second": 1.0,
                }
            },
        ],
    )
    def test_number_that_no_message_can_carry_is_a_fault(
        self, changes: dict[str, typing.Any]
    ) -> None:
        announcement = _decode(**changes)
        assert announcement is not None
        assert len(model.validate_announcement(announcement)) == 1
