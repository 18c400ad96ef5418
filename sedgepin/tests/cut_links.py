"""Runs a program with links to endpoints that can be cut.

``python -m sedgepin.tests.cut_links FILE PORTS MODULE ARGUMENT...``: while the
file exists, new connections to the comma-separated ports of the loopback are
refused in this process alone.
"""

import errno
import pathlib
import runpy
import socket
import sys
import typing


def _cut_links(path: pathlib.Path, ports: frozenset[int]) -> None:
    """Refuse connections in the calls that all libraries here go through."""
    connect, connect_ex = socket.socket.connect, socket.socket.connect_ex

    def is_cut(address: typing.Any) -> bool:
        return address[1] in ports and path.exists()

    def connect_unless_cut(self: socket.socket, address: typing.Any) -> None:
        if is_cut(address):
            raise ConnectionRefusedError(errno.ECONNREFUSED, "cut")
        connect(self, address)

    def connect_ex_unless_cut(self: socket.socket, address: typing.Any) -> int:
        if is_cut(address):
            return errno.ECONNREFUSED
        return connect_ex(self, address)

    setattr(socket.socket, "connect", connect_unless_cut)
    setattr(socket.socket, "connect_ex", connect_ex_unless_cut)


if __name__ == "__main__":
    _cut_links(
        pathlib.Path(sys.argv[1]),
        frozenset(map(int, sys.argv[2].split(","))),
    )
    module = sys.argv[3]
    sys.argv = sys.argv[3:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)
