"""Tests of the sums of what entry VMs report."""

import datetime

from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _effects
from sedgepin._registrar import _load_aggregation

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_OTHER = model.VmId("control:2")


def _report(*are_stopping: bool) -> list[_effects.SendMessage]:
    """Return what is sent once the entry VMs have reported."""
    aggregator = _load_aggregation.LoadAggregator(_START)
    for number, is_stopping in enumerate(are_stopping):
        message = protocol.LoadReported((), is_stopping=is_stopping)
        aggregator.record_report(
            model.VmId(f"entry:{number}"), message, _START
        )
    share = protocol.LoadShared((), entry_count=5, stopping_count=3)
    aggregator.record_share(_OTHER, share, _START)
    now = _START + datetime.timedelta(milliseconds=200)
    return [
        effect
        for effect in aggregator.tick(now, [_OTHER])
        if isinstance(effect, _effects.SendMessage)
    ]


class TestStoppingEntries:
    def test_entry_vms_are_sent_the_count_of_the_whole_fleet(self) -> None:
        summed = [
            effect.message
            for effect in _report(True, False, True)
            if isinstance(effect.message, protocol.LoadSummed)
        ]
        assert len(summed) == 3
        for message in summed:
            assert (message.entry_count, message.stopping_count) == (8, 5)

    def test_other_control_vms_are_sent_the_count_of_their_own(self) -> None:
        (shared,) = [
            effect.message
            for effect in _report(True, False, True)
            if isinstance(effect.message, protocol.LoadShared)
        ]
        assert (shared.entry_count, shared.stopping_count) == (3, 2)
