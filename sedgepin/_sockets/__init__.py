"""TCP connections that cost few system calls."""

from sedgepin._sockets._direct_stream import DirectStream

__all__ = ["DirectStream"]
