"""TCP connections that cost few system calls, and their options."""

from sedgepin._sockets._backlog import accept_waiting
from sedgepin._sockets._delivery import RequestDelivery
from sedgepin._sockets._direct_stream import DirectStream
from sedgepin._sockets._options import count_unread_bytes
from sedgepin._sockets._options import count_unsent_bytes
from sedgepin._sockets._options import enable_keepalive
from sedgepin._sockets._options import has_peer_closed
from sedgepin._sockets._options import limit_unacknowledged_time
from sedgepin._sockets._options import peek_unread_bytes
from sedgepin._sockets._options import peer_ip
from sedgepin._sockets._options import reset_when_closed
from sedgepin._sockets._options import was_reset

__all__ = [
    "DirectStream",
    "RequestDelivery",
    "accept_waiting",
    "count_unread_bytes",
    "count_unsent_bytes",
    "enable_keepalive",
    "has_peer_closed",
    "limit_unacknowledged_time",
    "peek_unread_bytes",
    "peer_ip",
    "reset_when_closed",
    "was_reset",
]
