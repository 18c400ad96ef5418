"""Tests of the direct paths to endpoints, and of the choice of forwarders."""

import datetime
import random

from sedgepin import _forwarding as forwarding
from sedgepin import _model as model
from sedgepin import _protocol as protocol

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_A, _B, _C = (model.EndpointId(name) for name in "abc")
_ONE, _TWO = (
    protocol.Forwarder(model.VmId(name), f"{name}:1", "key")
    for name in ("one", "two")
)
_CONTROL = model.VmId("control")


def _at(milliseconds: float) -> datetime.datetime:
    return _START + datetime.timedelta(milliseconds=milliseconds)


def _cut_off() -> forwarding.EndpointLinks:
    links = forwarding.EndpointLinks(random.Random(1))
    links.record_unreachable(_A, _at(0))
    links.record_unreachable(_B, _at(0))
    return links


class TestCutOff:
    def test_two_endpoints_in_a_row_show_it(self) -> None:
        links = forwarding.EndpointLinks(random.Random(1))
        assert not links.record_unreachable(_A, _at(0))
        assert not links.record_unreachable(_A, _at(0))
        assert links.record_unreachable(_B, _at(0))
        assert links.is_cut_off
        assert links.is_unreachable(_C)

    def test_one_that_is_reached_in_between_rules_it_out(self) -> None:
        links = forwarding.EndpointLinks(random.Random(1))
        links.record_unreachable(_A, _at(0))
        links.record_reached(_C, _at(0))
        assert not links.record_unreachable(_B, _at(0))

    def test_endpoints_that_are_lost_do_not_show_it(self) -> None:
        links = _cut_off()
        assert links.remove(_A)
        assert not links.is_cut_off

    def test_success_of_a_probe_ends_it(self) -> None:
        links = _cut_off()
        assert links.is_probe_due(_at(0))
        assert links.record_reached(_C, _at(0))
        assert not links.is_cut_off
        assert links.is_unreachable(_A)
        links.record_reached(_A, _at(0))
        assert not links.is_unreachable(_A)

    def test_it_is_found_again(self) -> None:
        links = _cut_off()
        links.record_reached(_A, _at(0))
        links.record_unreachable(_A, _at(0))
        assert links.record_unreachable(_C, _at(0))

    def test_paths_known_to_be_broken_do_not_show_it(self) -> None:
        links = _cut_off()
        links.record_reached(_C, _at(0))
        assert not links.record_unreachable(_A, _at(0))
        assert not links.record_unreachable(_B, _at(0))
        assert not links.record_unreachable(_C, _at(0))
        assert not links.is_cut_off


class TestSoundness:
    """Whether a failure can only be the endpoint's."""

    def test_it_takes_another_endpoint_reached_just_now(self) -> None:
        links = forwarding.EndpointLinks(random.Random(1))
        assert not links.are_sound_besides(_A, _at(0))
        links.record_reached(_B, _at(0))
        assert links.are_sound_besides(_A, _at(200))
        assert not links.are_sound_besides(_A, _at(400))

    def test_another_that_failed_since_denies_it(self) -> None:
        links = forwarding.EndpointLinks(random.Random(1))
        links.record_reached(_B, _at(0))
        links.record_unreachable(_A, _at(0))
        assert links.are_sound_besides(_A, _at(1))
        assert not links.are_sound_besides(_C, _at(1))


class TestSingleLink:
    def test_second_failure_shows_a_broken_link(self) -> None:
        links = forwarding.EndpointLinks(random.Random(1))
        links.record_unreachable(_A, _at(0))
        links.record_reached(_B, _at(0))
        assert not links.is_unreachable(_A)
        links.record_unreachable(_A, _at(0))
        assert links.is_unreachable(_A)
        assert not links.is_unreachable(_B)

    def test_others_do_not_restore_it(self) -> None:
        links = forwarding.EndpointLinks(random.Random(1))
        for _ in range(2):
            links.record_unreachable(_A, _at(0))
            links.record_reached(_B, _at(0))
        assert links.is_unreachable(_A)


class TestProbes:
    def test_there_are_none_while_no_path_is_broken(self) -> None:
        links = forwarding.EndpointLinks(random.Random(1))
        links.record_unreachable(_A, _at(0))
        assert not links.is_probe_due(_at(0))

    def test_they_are_spaced(self) -> None:
        links = _cut_off()
        probes = [links.is_probe_due(_at(50 * step)) for step in range(40)]
        assert sum(probes) == 4


class TestForwarders:
    def test_change_of_what_is_said_is_told_at_once(self) -> None:
        links = forwarding.EndpointLinks(random.Random(1))
        links.record_unreachable(_A, _at(0))
        links.record_question((_CONTROL,), _at(0))
        assert not links.is_question_due(_at(10))
        links.record_unreachable(_B, _at(0))
        assert not links.is_question_due(_at(90))
        assert links.is_question_due(_at(100))
        links.record_question((_CONTROL,), _at(100))
        links.record_reached(_C, _at(120))
        assert links.is_question_due(_at(120))

    def test_cut_that_a_probe_disproves_is_not_told(self) -> None:
        links = _cut_off()
        links.record_question((_CONTROL,), _at(0))
        links.record_reached(_C, _at(5))
        assert not links.is_question_due(_at(150))

    def test_they_are_asked_for_sooner_while_there_is_none(self) -> None:
        links = _cut_off()
        links.record_question((_CONTROL,), _at(0))
        links.record_offer(_CONTROL, (), _at(5))
        assert links.is_question_due(_at(300))
        links.record_question((_CONTROL,), _at(300))
        links.record_offer(_CONTROL, (_ONE,), _at(305))
        assert not links.is_question_due(_at(700))

    def test_unproven_one_is_passed_over_for_a_moment(self) -> None:
        links = _cut_off()
        links.record_offer(_CONTROL, (_ONE, _TWO), _at(0))
        assert links.record_unproven(_ONE, _at(0))
        assert links.forwarder_counts(_at(20)) == (2, 1)
        assert links.forwarder_counts(_at(40)) == (2, 2)

    def test_they_are_asked_for_at_most_once_a_second(self) -> None:
        links = forwarding.EndpointLinks(random.Random(1))
        assert not links.is_question_due(_at(0))
        links.record_unreachable(_A, _at(0))
        asked_count = 0
        for step in range(60):
            if links.is_question_due(_at(50 * step)):
                links.record_question((_CONTROL,), _at(50 * step))
                asked_count += 1
        assert asked_count == 3

    def test_they_are_awaited_until_all_have_answered(self) -> None:
        links = _cut_off()
        other = model.VmId("other")
        links.record_question((_CONTROL, other), _at(0))
        links.record_offer(_CONTROL, (), _at(2))
        assert links.awaits_forwarders(_at(10))
        assert not links.awaits_forwarders(_at(400))
        links.record_offer(other, (), _at(20))
        assert not links.awaits_forwarders(_at(20))

    def test_failed_one_is_passed_over_for_a_while(self) -> None:
        links = _cut_off()
        links.record_offer(_CONTROL, (_ONE, _TWO), _at(0))
        links.record_forwarder_failure(_ONE, _at(0))
        chosen = {links.choose_forwarder(_at(100)) for _ in range(20)}
        assert chosen == {_TWO}
        links.record_offer(_CONTROL, (_ONE, _TWO), _at(2000))
        chosen = {links.choose_forwarder(_at(2100)) for _ in range(20)}
        assert chosen == {_ONE, _TWO}

    def test_one_that_reaches_no_endpoint_is_passed_over(self) -> None:
        links = _cut_off()
        links.record_offer(_CONTROL, (_ONE,), _at(0))
        assert not links.record_beyond(_ONE, _at(0))
        assert links.record_beyond(_ONE, _at(0))
        assert links.choose_forwarder(_at(100)) is None

    def test_one_that_is_offered_no_more_is_not_used(self) -> None:
        links = _cut_off()
        links.record_offer(_CONTROL, (_ONE, _TWO), _at(0))
        links.record_offer(_CONTROL, (_TWO,), _at(100))
        chosen = {links.choose_forwarder(_at(100)) for _ in range(20)}
        assert chosen == {_TWO}

    def test_one_that_reaches_an_endpoint_is_not_passed_over(self) -> None:
        links = _cut_off()
        links.record_offer(_CONTROL, (_ONE,), _at(0))
        for _ in range(4):
            assert not links.record_beyond(_ONE, _at(0))
            links.record_forwarded(_ONE, _C, _at(0))

    def test_one_that_leaves_a_question_open_is_avoided(self) -> None:
        links = _cut_off()
        links.record_offer(_CONTROL, (_ONE, _TWO), _at(0))
        first = links.choose_forwarder(_at(0))
        other = _TWO if first == _ONE else _ONE
        chosen = {links.choose_forwarder(_at(120)) for _ in range(20)}
        assert chosen == {other}
        assert first is not None
        links.record_forwarded(first, _C, _at(130))
        links.record_forwarded(other, _C, _at(130))
        chosen = {links.choose_forwarder(_at(140)) for _ in range(20)}
        assert chosen == {_ONE, _TWO}

    def test_only_one_is_used_though_its_question_is_open(self) -> None:
        links = _cut_off()
        links.record_offer(_CONTROL, (_ONE,), _at(0))
        for milliseconds in (0, 150, 500):
            assert links.choose_forwarder(_at(milliseconds)) == _ONE

    def test_offer_expires(self) -> None:
        links = _cut_off()
        links.record_offer(_CONTROL, (_ONE,), _at(0))
        assert links.choose_forwarder(_at(6000)) is None

    def test_restarted_one_is_known_by_its_new_key(self) -> None:
        links = _cut_off()
        links.record_offer(_CONTROL, (_ONE,), _at(0))
        links.record_forwarder_failure(_ONE, _at(0))
        new = protocol.Forwarder(_ONE.vm_id, _ONE.address, "another")
        links.record_offer(_CONTROL, (new,), _at(100))
        assert links.choose_forwarder(_at(100)) == new
