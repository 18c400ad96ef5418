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


def _issue_tls(
    folder: pathlib.Path, authority: trustme.CA, name: str
) -> settings.Tls:
    certificate_key_pair = authority.issue_cert(name)
    certificate = folder / f"{name}.crt"
    key = folder / f"{name}.key"
    trusted = folder / "authority.crt"
    certificate_key_pair.cert_chain_pems[0].write_to_path(str(certificate))
    certificate_key_pair.private_key_pem.write_to_path(str(key))
    authority.cert_pem.write_to_path(str(trusted))
    return settings.Tls(
        certificate=str(certificate), key=str(key), authority=str(trusted)
    )


class _Node:
    """One transport and the events that it reported."""

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

    def has_received(self, event_type: type[typing.Any]) -> bool:
        return any(isinstance(event, event_type) for event in self.events)

    async def wait_for(self, event_type: type[typing.Any]) -> None:
        with trio.fail_after(5):
            while not self.has_received(event_type):
                await trio.sleep(0.01)


def _make_pair(
    dialler_tls: settings.Tls | None, listener_tls: settings.Tls | None
) -> tuple[_Node, _Node]:
    listener_address = f"127.0.0.1:{processes.free_port()}"
    peer = settings.Peer(id="b", address=listener_address, data_centre="beja")
    dialler_address = f"127.0.0.1:{processes.free_port()}"
    dialler = _Node("a", dialler_address, (peer,), dialler_tls)
    return dialler, _Node("b", listener_address, (), listener_tls)


class TestStreamTransport:
    """Streams connect peers, with TLS only those with a valid certificate."""

    @pytest.mark.parametrize("uses_tls", [False, True])
    async def test_carries_messages_in_both_directions(
        self, uses_tls: bool, tmp_path: pathlib.Path
    ) -> None:
        authority = trustme.CA()
        dialler_tls = (
            _issue_tls(tmp_path, authority, "a") if uses_tls else None
        )
        listener_tls = (
            _issue_tls(tmp_path, authority, "b") if uses_tls else None
        )
        dialler, listener = _make_pair(dialler_tls, listener_tls)
        async with trio.open_nursery() as nursery:
            await nursery.start(listener.transport.run)
            await nursery.start(dialler.transport.run)
            await dialler.wait_for(protocol.PeerConnected)
            await listener.wait_for(protocol.PeerConnected)
            message = protocol.FleetWanted(7)
            dialler.transport.send(model.VmId("b"), message)
            listener.transport.send(model.VmId("a"), message)
            await dialler.wait_for(protocol.PeerMessageReceived)
            await listener.wait_for(protocol.PeerMessageReceived)
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("case", ["other authority", "other id", "none"])
    async def test_peer_without_a_certificate_for_its_id_is_refused(
        self, case: str, tmp_path: pathlib.Path
    ) -> None:
        authority = trustme.CA()
        impostor: settings.Tls | None = None
        if case == "other authority":
            impostor = _issue_tls(tmp_path, trustme.CA(), "a")
        elif case == "other id":
            impostor = _issue_tls(tmp_path, authority, "c")
        listener_tls = _issue_tls(tmp_path, authority, "b")
        dialler, listener = _make_pair(impostor, listener_tls)
        async with trio.open_nursery() as nursery:
            await nursery.start(listener.transport.run)
            await nursery.start(dialler.transport.run)
            await listener.wait_for(protocol.PeerRefused)
            assert not listener.has_received(protocol.PeerConnected)
            nursery.cancel_scope.cancel()
