"""Tests of streams between processes, with mutual TLS."""

import pathlib
import typing

import pytest
import trio
import trustme

from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import settings
from sedgepin.tests import processes


def _tls(
    folder: pathlib.Path, authority: trustme.CA, name: str
) -> settings.Tls:
    issued = authority.issue_cert(name)
    certificate = folder / f"{name}.crt"
    key = folder / f"{name}.key"
    trusted = folder / "authority.crt"
    issued.cert_chain_pems[0].write_to_path(str(certificate))
    issued.private_key_pem.write_to_path(str(key))
    authority.cert_pem.write_to_path(str(trusted))
    return settings.Tls(
        certificate=str(certificate), key=str(key), authority=str(trusted)
    )


class _Node:
    """One end, and what it was told."""

    def __init__(
        self,
        name: str,
        listen: str,
        dials: tuple[settings.Peer, ...],
        tls: settings.Tls | None,
    ) -> None:
        self.events: list[protocol.PeerEvent] = []
        hello = protocol.Hello(
            model.VmId(name),
            "entry",
            model.DataCentreId("beja"),
            model.Incarnation(1),
        )
        self.transport = protocol.StreamTransport(
            hello, listen, dials, tls, self.events.append
        )

    def saw(self, kind: type[typing.Any]) -> bool:
        return any(isinstance(event, kind) for event in self.events)

    async def wait_for(self, kind: type[typing.Any]) -> None:
        with trio.fail_after(5):
            while not self.saw(kind):
                await trio.sleep(0.01)


def _pair(
    first_tls: settings.Tls | None, second_tls: settings.Tls | None
) -> tuple[_Node, _Node]:
    address = f"127.0.0.1:{processes.free_port()}"
    peer = settings.Peer(id="b", address=address, data_centre="beja")
    own = f"127.0.0.1:{processes.free_port()}"
    first = _Node("a", own, (peer,), first_tls)
    return first, _Node("b", address, (), second_tls)


class TestStreamTransport:
    """Messages go both ways between peers that prove who they are."""

    @pytest.mark.parametrize("secured", [False, True])
    async def test_messages_go_both_ways(
        self, secured: bool, tmp_path: pathlib.Path
    ) -> None:
        authority = trustme.CA()
        first_tls = _tls(tmp_path, authority, "a") if secured else None
        second_tls = _tls(tmp_path, authority, "b") if secured else None
        first, second = _pair(first_tls, second_tls)
        async with trio.open_nursery() as nursery:
            await nursery.start(second.transport.run)
            await nursery.start(first.transport.run)
            await first.wait_for(protocol.PeerConnected)
            await second.wait_for(protocol.PeerConnected)
            wanted = protocol.FleetWanted(7)
            first.transport.send(model.VmId("b"), wanted)
            second.transport.send(model.VmId("a"), wanted)
            await first.wait_for(protocol.PeerMessageReceived)
            await second.wait_for(protocol.PeerMessageReceived)
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("case", ["other authority", "other id", "none"])
    async def test_an_impostor_is_refused(
        self, case: str, tmp_path: pathlib.Path
    ) -> None:
        authority = trustme.CA()
        impostor: settings.Tls | None = None
        if case == "other authority":
            impostor = _tls(tmp_path, trustme.CA(), "a")
        elif case == "other id":
            impostor = _tls(tmp_path, authority, "c")
        second_tls = _tls(tmp_path, authority, "b")
        first, second = _pair(impostor, second_tls)
        async with trio.open_nursery() as nursery:
            await nursery.start(second.transport.run)
            await nursery.start(first.transport.run)
            await second.wait_for(protocol.PeerRefused)
            assert not second.saw(protocol.PeerConnected)
            nursery.cancel_scope.cancel()
