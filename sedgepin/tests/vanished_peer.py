"""Makes one end of a loopback connection vanish, as a host without power."""

import ctypes
import socket
import struct

_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
# A packet filter of one instruction: accept no bytes of any packet.
_DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)


def vanish(sock: socket.socket) -> None:
    """Drop all that arrives for ``sock``, so that nothing is acknowledged."""
    program = ctypes.create_string_buffer(_DROP_ALL)
    header = struct.pack("HL", 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, header)


def reappear(sock: socket.socket) -> None:
    """End the effect of ``vanish``."""
    sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)
