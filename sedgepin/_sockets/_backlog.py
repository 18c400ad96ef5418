"""Connections that the kernel has accepted and no task has taken yet."""

import socket

import trio


def accept_waiting(
    listener: trio.SocketListener, limit: int
) -> list[socket.socket]:
    """Return at most so many connections that wait at a listener.

    Waits for none; a closed listener has none.  ``trio.serve_listeners``
    accepts one in a turn of the event loop, which is long while many
    connections are busy.
    """
    listening = listener.socket
    if listening.fileno() < 0:
        return []
    # A duplicate would need a descriptor, and none may be left.
    waiting = socket.socket(
        listening.family,
        socket.SOCK_STREAM,
        listening.proto,
        listening.fileno(),
    )
    accepted = []
    try:
        for _connection in range(limit):
            try:
                sock, _address = waiting.accept()
            except ConnectionAbortedError:
                continue
            except OSError:
                break
            sock.setblocking(False)
            accepted.append(sock)
    finally:
        waiting.detach()
    return accepted
