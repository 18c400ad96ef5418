"""A TCP proxy that can silently stop forwarding on open connections.

The connections stay open and carry no more data, as when a NAT or firewall
drops their state; new connections work.
"""

import contextlib
import socket
import threading


class StallingProxy:
    """Forwards TCP connections from a port of its own to ``target_port``."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self._listener.getsockname()[1])
        self._stalled_connections: set[int] = set()
        self._sockets: list[socket.socket] = []
        self.connection_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def stall_open_connections(self) -> None:
        """Stop forwarding on the open connections without closing them."""
        self._stalled_connections.update(range(self.connection_count))

    def close(self) -> None:
        """Close the listener and all connections."""
        for open_socket in (self._listener, *self._sockets):
            with contextlib.suppress(OSError):
                open_socket.shutdown(socket.SHUT_RDWR)
            open_socket.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                client, _address = self._listener.accept()
                server = socket.create_connection(
                    ("127.0.0.1", self._target_port)
                )
                self._sockets += [client, server]
                number = self.connection_count
                self.connection_count += 1
                for direction in ((client, server), (server, client)):
                    threading.Thread(
                        target=self._forward,
                        args=(number, *direction),
                        daemon=True,
                    ).start()

    def _forward(
        self, number: int, source: socket.socket, sink: socket.socket
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                data = source.recv(65536)
                if number in self._stalled_connections:
                    continue
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
