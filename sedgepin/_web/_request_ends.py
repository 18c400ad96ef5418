"""How a request ended on its caller's connection."""

import dataclasses
import enum

from sedgepin import events


class EndKind(enum.Enum):
    """What the caller of a request received."""

    # A complete answer with a status below 400.
    ANSWERED = "answered"
    # A complete answer with a status of 400 or above.
    FAILED = "failed"
    # The connection ended before the answer began.
    UNANSWERED = "unanswered"
    # The connection ended within the answer.
    INCOMPLETE = "incomplete"
    # The connection ended before the request was read.
    UNREAD = "unread"

    @property
    def is_complete(self) -> bool:
        """Return whether the caller received a complete answer."""
        return self in (EndKind.ANSWERED, EndKind.FAILED)


class Closer(enum.Enum):
    """Who closed the connection first."""

    NOBODY = "nobody"
    CALLER = "caller"
    SERVER = "server"


@dataclasses.dataclass(slots=True, frozen=True)
class RequestEnd:
    """The end of one request on its connection.

    ``label`` names the request, if its handler has set it.  ``reason`` says
    why the server closed the connection.  ``unread_bytes`` are those that
    were received and belong to no request that was read.
    """

    kind: EndKind
    closed_by: Closer = Closer.NOBODY
    reason: str = ""
    label: str = ""
    milliseconds: int = 0
    unread_bytes: int = 0

    def log_line(self) -> events.LogLine | None:
        """Return the log line of an end without a complete answer."""
        if self.kind.is_complete:
            return None
        if self.kind is EndKind.UNREAD:
            return events.REQUEST_UNREAD.line(
                closed_by=self.closed_by.value,
                reason=self.reason,
                unread_bytes=self.unread_bytes,
                milliseconds=self.milliseconds,
            )
        begun = self.kind is EndKind.INCOMPLETE
        if self.closed_by is Closer.CALLER:
            return events.CALLER_CLOSED.line(
                request=self.label,
                begun=begun,
                milliseconds=self.milliseconds,
            )
        return events.ANSWER_CUT.line(
            request=self.label,
            begun=begun,
            reason=self.reason,
            milliseconds=self.milliseconds,
        )
