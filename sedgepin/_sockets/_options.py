"""Options of TCP sockets that decide when a vanished peer is found.

On Linux, keep-alive probes are sent only while all sent bytes are
acknowledged.  Otherwise the retransmission decides, which gives up after some
15 minutes, or after ``TCP_USER_TIMEOUT`` if that is set.  If it is set, it
also decides when probes give up, whatever their count, and it ends a
connection whose peer runs but reads nothing for as long.
"""

import array
import fcntl
import socket
import struct
import termios

import trio

# States of a connection (``tcp_states.h``) whose peer has closed its side.
_TIME_WAIT = 6
_CLOSED = 7
_CLOSE_WAIT = 8
_LAST_ACK = 9
_CLOSING = 11
_PEER_CLOSED = (_TIME_WAIT, _CLOSED, _CLOSE_WAIT, _LAST_ACK, _CLOSING)


def enable_keepalive(
    sock: socket.socket,
    idle_seconds: int,
    interval_seconds: int,
    probe_count: int,
) -> None:
    """Find a vanished peer while all sent bytes are acknowledged.

    It takes ``idle_seconds`` and ``probe_count`` intervals, unless
    ``limit_unacknowledged_time`` is called with more.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, idle_seconds)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, interval_seconds)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, probe_count)


def limit_unacknowledged_time(sock: socket.socket, milliseconds: int) -> None:
    """Find a vanished peer while sent bytes are not acknowledged.

    Only for connections on which a running peer takes all bytes at once.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def count_unread_bytes(
    sock: socket.socket | trio.socket.SocketType,
) -> int:
    """Return how many received bytes wait to be read."""
    return _count_bytes(sock, termios.FIONREAD)


def count_unsent_bytes(
    sock: socket.socket | trio.socket.SocketType,
) -> int:
    """Return how many bytes the peer has not acknowledged yet."""
    return _count_bytes(sock, termios.TIOCOUTQ)


def _count_bytes(
    sock: socket.socket | trio.socket.SocketType, request: int
) -> int:
    if sock.fileno() < 0:
        return 0
    count = array.array("i", [0])
    try:
        fcntl.ioctl(sock, request, count)
    except OSError:
        return 0
    return count[0]


def peek_unread_bytes(sock: socket.socket, max_bytes: int) -> bytes:
    """Return received bytes that wait to be read, without reading them.

    The socket must be non-blocking.
    """
    if sock.fileno() < 0:
        return b""
    try:
        return sock.recv(max_bytes, socket.MSG_PEEK)
    except OSError:
        return b""


def has_peer_closed(sock: socket.socket | trio.socket.SocketType) -> bool:
    """Return whether the end or the reset by the peer has arrived.

    It is seen behind bytes that were not read.
    """
    return _state(sock) in _PEER_CLOSED


def was_reset(sock: socket.socket | trio.socket.SocketType) -> bool:
    """Return whether a connection that this side keeps open has ended.

    It was reset, or given up after too many retransmissions.  Only one system
    call reports such an error; later ones see an ordinary end.  The state
    stays.
    """
    return _state(sock) == _CLOSED


def _state(sock: socket.socket | trio.socket.SocketType) -> int:
    if sock.fileno() < 0:
        return _CLOSED
    try:
        # The first byte of the structure is the state.
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return _CLOSED


def peer_ip(sock: socket.socket) -> str:
    """Return the address of the peer without its port; "" if it has gone."""
    try:
        return str(sock.getpeername()[0])
    except OSError:
        return ""


def reset_when_closed(sock: socket.socket) -> None:
    """Let the end of a connection be a reset (a linger time of 0)."""
    if sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
