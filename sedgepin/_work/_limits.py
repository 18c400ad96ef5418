"""The limits of the work that connections may cause."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class WorkLimits:
    """Limits of the work that connections may cause in one process.

    Of the messages in small pieces ``waiting_messages`` wait for their turn;
    the costliest of more is refused.  A message with more than
    ``excess_pieces`` that its bytes do not justify is refused, too.  In a turn
    of the event loop ``arrivals_at_once`` heads begin.  Each listener accepts
    as many connections as they leave of that number, and half of it at least.
    """

    waiting_messages: int = 64
    excess_pieces: int = 4_096
    arrivals_at_once: int = 16
