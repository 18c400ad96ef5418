"""Tests of entry VMs that lose their paths to endpoints."""

import dataclasses

import pytest

from sedgepin.tests import cut_day
from sedgepin.tests import cut_paths
from sedgepin.tests import cut_plan
from sedgepin.tests import cut_record
from sedgepin.tests import cut_run

_Cut = cut_plan.Cut
_Group = cut_plan.Group
_Mode = cut_plan.CutMode

# From the users' rules: first tries at a VM that is cut off are served 0.95
# as often as at the others, with one hop's delay.
_MIN_SERVED_RATIO = 0.95
_MAX_LATER_SECONDS = cut_paths.HOP_SECONDS + cut_run.STEP_SECONDS
# Each VM that is cut off asks the control VMs it is connected to once a
# second at most.
_MAX_ASKED_PER_SECOND = 2
# What VMs send each other while nothing is wrong.
_CALM_KINDS = {
    "ConfigurationPublished",
    "ConfigurationWanted",
    "ControlsKnown",
    "LoadReported",
    "LoadShared",
    "LoadSummed",
    "RaftCarried",
    "ReadIndexAnswered",
    "ReadIndexAsked",
    "RegistrationsSeen",
}


def _play(plan: cut_plan.Plan) -> cut_record.DayRecord:
    day = cut_day.CutDay(plan)
    day.play()
    return day.record


def _check_answers(record: cut_record.DayRecord) -> None:
    assert record.unanswered() == []
    assert record.run_too_often() == []
    assert record.falsely_not_run() == []
    assert record.with_gaps() == []


def _check(record: cut_record.DayRecord) -> None:
    _check_answers(record)
    others = record.served_share(False)
    assert others > 0.9
    assert record.others_share_since() >= 0.99 * record.others_share_before()
    assert record.served_share(True) >= _MIN_SERVED_RATIO * others
    assert record.first_output_later(50) <= _MAX_LATER_SECONDS
    assert record.first_output_later(95) <= _MAX_LATER_SECONDS


def _make_plan(
    group: _Group,
    mode: _Mode = _Mode.RESET,
    entry_count: int = 7,
    seconds: float = 5.0,
) -> cut_plan.Plan:
    cut = _Cut(3.0, 3.0 + seconds, group, mode)
    return cut_plan.make_plan(entry_count, group, cut)


class TestCutOffVms:
    @pytest.mark.parametrize("entry_count", [7, 40, 195])
    @pytest.mark.parametrize(
        "group",
        [
            _Group.ONE,
            _Group.HALF_DATA_CENTRE,
            _Group.DATA_CENTRE,
            _Group.MOST,
        ],
    )
    def test_their_callers_are_served(
        self, group: _Group, entry_count: int
    ) -> None:
        _check(_play(_make_plan(group, entry_count=entry_count)))

    @pytest.mark.parametrize("group", [_Group.ONE, _Group.MOST])
    @pytest.mark.parametrize(
        "mode", [_Mode.SILENT, _Mode.REFUSED, _Mode.ONE_WAY]
    )
    def test_paths_that_fail_in_other_ways(
        self, mode: _Mode, group: _Group
    ) -> None:
        _check(_play(_make_plan(group, mode)))

    @pytest.mark.parametrize("mode", [_Mode.SILENT, _Mode.RESET])
    def test_short_cut(self, mode: _Mode) -> None:
        _check(_play(_make_plan(_Group.DATA_CENTRE, mode, seconds=1.0)))

    @pytest.mark.parametrize("group", [_Group.DATA_CENTRE, _Group.MOST])
    def test_reset_of_open_connections_only(self, group: _Group) -> None:
        """What was running may run again at once, over direct paths."""
        plan = _make_plan(group, seconds=0.001)
        record = _play(dataclasses.replace(plan, cut_per_second=100.0))
        assert any(request.runs > 1 for request in record.requests)
        _check(record)

    @pytest.mark.parametrize("entry_count", [7, 40])
    @pytest.mark.parametrize("mode", [_Mode.SILENT, _Mode.RESET])
    def test_long_cut(self, mode: _Mode, entry_count: int) -> None:
        _check(_play(_make_plan(_Group.DATA_CENTRE, mode, entry_count, 60.0)))

    @pytest.mark.parametrize("mode", [_Mode.SILENT, _Mode.RESET])
    def test_cut_again_before_direct_paths_are_in_use(
        self, mode: _Mode
    ) -> None:
        group = _Group.DATA_CENTRE
        cuts = (_Cut(3.0, 8.0, group, mode), _Cut(8.3, 13.0, group, mode))
        _check(_play(cut_plan.make_plan(7, group, *cuts)))

    @pytest.mark.parametrize("mode", [_Mode.SILENT, _Mode.RESET])
    def test_wider_cut_before_the_first_has_ended(self, mode: _Mode) -> None:
        cuts = (
            _Cut(3.0, 9.0, _Group.ONE, mode),
            _Cut(5.0, 12.0, _Group.DATA_CENTRE, mode),
        )
        _check(_play(cut_plan.make_plan(7, _Group.DATA_CENTRE, *cuts)))

    @pytest.mark.parametrize("mode", [_Mode.SILENT, _Mode.RESET])
    def test_two_groups_in_turn(self, mode: _Mode) -> None:
        """The forwarders of the first group are cut off next."""
        cuts = (
            _Cut(3.0, 8.0, _Group.DATA_CENTRE, mode),
            _Cut(8.0, 13.0, _Group.OTHER_DATA_CENTRE, mode),
        )
        _check(_play(cut_plan.make_plan(7, _Group.DATA_CENTRE, *cuts)))

    @pytest.mark.parametrize("mode", list(_Mode))
    def test_two_endpoints_left_of_forty(self, mode: _Mode) -> None:
        cut = _Cut(3.0, 10.0, _Group.ONE, mode, cut_plan.SOME_LEFT)
        _check(_play(cut_plan.make_plan(7, _Group.ONE, cut)))

    @pytest.mark.parametrize("mode", list(_Mode))
    def test_streams_open_when_the_cut_begins(self, mode: _Mode) -> None:
        """They break off or go on, and never seem complete too early."""
        plan = _make_plan(_Group.DATA_CENTRE, mode)
        _check_answers(_play(dataclasses.replace(plan, cut_per_second=100.0)))

    @pytest.mark.parametrize("group", [_Group.ONE, _Group.DATA_CENTRE])
    @pytest.mark.parametrize("fault", list(cut_plan.FaultMode))
    def test_forwarder_that_fails(
        self, fault: cut_plan.FaultMode, group: _Group
    ) -> None:
        cut = _Cut(3.0, 12.0, group)
        plan = cut_plan.make_plan(7, group, cut)
        faults = (cut_plan.ForwarderFault(6.51, 9.52, fault),)
        _check(_play(dataclasses.replace(plan, faults=faults)))


class TestEndpointsThatFailBesideACut:
    """Sound VMs that miss an endpoint still forward for cut ones."""

    def _play(
        self,
        fault: cut_plan.EndpointFault,
        group: _Group = _Group.DATA_CENTRE,
        mode: _Mode = _Mode.RESET,
        entry_count: int = 7,
        seed: int = 1,
    ) -> cut_record.DayRecord:
        cut = _Cut(5.0, 12.0, group, mode)
        plan = cut_plan.make_plan(entry_count, group, cut, seed=seed)
        plan = dataclasses.replace(
            plan,
            endpoint_faults=(fault,),
            engine_pairs=18,
            seconds=14.0,
            cut_per_second=60.0,
            other_per_second=60.0,
        )
        return _play(plan)

    def _check(self, record: cut_record.DayRecord) -> None:
        _check_answers(record)
        assert record.wrongly_refused() == []
        others = record.served_share(False)
        assert others > 0.9
        assert record.served_share(True) >= _MIN_SERVED_RATIO * others

    @pytest.mark.parametrize("seed", [1, 2])
    @pytest.mark.parametrize("entry_count", [7, 40, 66, 195])
    def test_every_third_refuses_connections(
        self, entry_count: int, seed: int
    ) -> None:
        fault = cut_plan.EndpointFault(3.0, 12.0)
        self._check(self._play(fault, entry_count=entry_count, seed=seed))

    @pytest.mark.parametrize("mode", list(_Mode))
    @pytest.mark.parametrize("fault_mode", list(_Mode))
    def test_other_ways_to_fail(self, fault_mode: _Mode, mode: _Mode) -> None:
        fault = cut_plan.EndpointFault(3.0, 12.0, mode=fault_mode)
        self._check(self._play(fault, mode=mode, entry_count=40))

    @pytest.mark.parametrize(
        "group", [_Group.ONE, _Group.HALF_DATA_CENTRE, _Group.MOST]
    )
    @pytest.mark.parametrize("entry_count", [7, 66])
    def test_other_groups(self, entry_count: int, group: _Group) -> None:
        fault = cut_plan.EndpointFault(3.0, 12.0)
        self._check(self._play(fault, group, entry_count=entry_count))

    @pytest.mark.parametrize("fault_mode", [_Mode.RESET, _Mode.SILENT])
    @pytest.mark.parametrize("entry_count", [7, 66])
    def test_every_third_crashes(
        self, entry_count: int, fault_mode: _Mode
    ) -> None:
        fault = cut_plan.EndpointFault(
            6.5, 10.0, mode=fault_mode, is_crash=True, hits_ledger=True
        )
        self._check(self._play(fault, entry_count=entry_count))


class TestMessages:
    @pytest.mark.parametrize("entry_count", [7, 40, 195])
    def test_nothing_more_is_sent_while_nothing_is_wrong(
        self, entry_count: int
    ) -> None:
        plan = _make_plan(_Group.ONE, entry_count=entry_count, seconds=1.0)
        assert set(_play(plan).calm_messages) <= _CALM_KINDS

    @pytest.mark.parametrize("entry_count", [7, 40, 195])
    @pytest.mark.parametrize("group", [_Group.ONE, _Group.MOST])
    def test_forwarders_are_asked_for_at_times_only(
        self, group: _Group, entry_count: int
    ) -> None:
        plan = _make_plan(group, entry_count=entry_count)
        counts = _play(plan).cut_messages
        limit = _MAX_ASKED_PER_SECOND * len(plan.members(group)) * 6
        assert counts["ForwardersAsked"] <= limit
        assert counts["ForwardersOffered"] <= limit
