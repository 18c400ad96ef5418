"""A link that can lose track of the connections it carries.

Connections open at that moment stay open and carry nothing more, as when a
device between two ends forgets them; new ones work.
"""

import contextlib
import socket
import threading


class StallingProxy:
    """Carries TCP connections from a port of its own to another."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self._listener.getsockname()[1])
        self._forgotten: set[int] = set()
        self._carried: list[socket.socket] = []
        self.opened = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def stall_open_connections(self) -> None:
        """Carry nothing more on the connections that are open now."""
        self._forgotten.update(range(self.opened))

    def close(self) -> None:
        """Close everything."""
        for carried in (self._listener, *self._carried):
            with contextlib.suppress(OSError):
                carried.shutdown(socket.SHUT_RDWR)
            carried.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _address = self._listener.accept()
                far = socket.create_connection(
                    ("127.0.0.1", self._target_port)
                )
                self._carried += [near, far]
                number = self.opened
                self.opened += 1
                for ends in ((near, far), (far, near)):
                    threading.Thread(
                        target=self._carry, args=(number, *ends), daemon=True
                    ).start()

    def _carry(
        self, number: int, source: socket.socket, sink: socket.socket
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                data = source.recv(65536)
                if number in self._forgotten:
                    continue
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
