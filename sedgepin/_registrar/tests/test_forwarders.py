"""Tests of the forwarders that a control VM offers."""

import datetime

from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin._registrar import _forwarders

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


def _hello(name: str, data_centre: str, address: str = "x") -> protocol.Hello:
    return protocol.Hello(
        model.VmId(name),
        "entry",
        model.DataCentreId(data_centre),
        model.Incarnation(1),
        address,
        f"key-{name}",
    )


def _directory(count: int) -> _forwarders.ForwarderDirectory:
    directory = _forwarders.ForwarderDirectory()
    for number in range(count):
        directory.add(_hello(f"e{number}", f"d{number % 3}"))
    return directory


def _names(offer: protocol.ForwardersOffered) -> list[str]:
    return [forwarder.vm_id for forwarder in offer.forwarders]


class TestOffer:
    def test_it_is_bounded_and_without_the_asker(self) -> None:
        directory = _directory(40)
        names = _names(directory.offer(model.VmId("e0"), None, _START))
        assert len(names) == 8
        assert "e0" not in names

    def test_own_data_centre_comes_first(self) -> None:
        names = _names(_directory(12).offer(model.VmId("e0"), None, _START))
        assert set(names[:3]) == {"e3", "e6", "e9"}

    def test_half_are_of_other_data_centres(self) -> None:
        """A data centre may lose its paths as a whole."""
        names = _names(_directory(40).offer(model.VmId("e0"), None, _START))
        near = [name for name in names if int(name[1:]) % 3 == 0]
        assert len(near) == 4
        assert len(names) == 8

    def test_those_that_are_cut_off_are_left_out_for_a_while(self) -> None:
        directory = _directory(3)
        directory.offer(model.VmId("e1"), True, _START)
        asker = model.VmId("e0")
        assert _names(directory.offer(asker, True, _START)) == ["e2"]
        later = _START + datetime.timedelta(seconds=3)
        names = _names(directory.offer(asker, True, later))
        assert sorted(names) == ["e1", "e2"]

    def test_they_are_offered_again_once_they_say_so(self) -> None:
        directory = _directory(2)
        directory.offer(model.VmId("e1"), True, _START)
        directory.offer(model.VmId("e1"), False, _START)
        asker = model.VmId("e0")
        assert _names(directory.offer(asker, True, _START)) == ["e1"]

    def test_those_that_miss_some_endpoints_come_last(self) -> None:
        """All VMs miss an endpoint that has crashed."""
        directory = _directory(4)
        directory.offer(model.VmId("e3"), None, _START)
        directory.offer(model.VmId("e1"), False, _START)
        names = _names(directory.offer(model.VmId("e0"), True, _START))
        assert names == ["e2", "e1", "e3"]

    def test_vm_that_has_left_or_does_not_forward_is_left_out(self) -> None:
        directory = _directory(3)
        directory.remove(model.VmId("e2"))
        directory.add(_hello("old", "d0", ""))
        assert _names(directory.offer(model.VmId("e0"), None, _START)) == [
            "e1"
        ]
