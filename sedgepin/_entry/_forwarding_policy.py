"""Which requests of other entry VMs this VM forwards to endpoints."""

import collections.abc

from sedgepin._entry import _events
from sedgepin._entry import _reducer
from sedgepin import _forwarding as forwarding
from sedgepin import _web as web
from sedgepin import clock
from sedgepin import events
from sedgepin import logs

_Submit = collections.abc.Callable[[_events.EntryEvent], None]


class EntryForwardingPolicy(forwarding.ForwardingPolicy):
    """Forwards to the endpoints that this VM knows.

    The other VM has decided all else about the request.
    """

    __slots__ = ("_clock", "_reducer", "_submit")

    def __init__(
        self,
        reducer: _reducer.EntryReducer,
        own_clock: clock.Clock,
        submit: _Submit,
    ) -> None:
        self._reducer = reducer
        self._clock = own_clock
        self._submit = submit

    def knows(self, opening: forwarding.OpenForward) -> bool:
        """Return whether this VM knows the endpoint at its address."""
        return self._reducer.knows_endpoint(opening)

    def refusal(
        self, opening: forwarding.OpenForward
    ) -> forwarding.ForwardRefused | None:
        """Return ``None``: the connection shows what is true of endpoints."""
        return None

    def record_unreached(self, opening: forwarding.OpenForward) -> bool:
        """Learn that no connection to an endpoint could be made."""
        is_sound = self._reducer.has_sound_links(
            opening.endpoint_id, self._clock.now()
        )
        self._submit(_events.PathProbed(opening.endpoint_id, False))
        return is_sound

    def record_opened(
        self, opening: forwarding.OpenForward, open_count: int
    ) -> None:
        """Log that a connection to an endpoint was made, and learn it."""
        self._submit(_events.PathProbed(opening.endpoint_id, True))
        line = events.FORWARD_OPENED.line(
            request=opening.request_id,
            endpoint=opening.endpoint_id,
            incarnation=opening.incarnation,
            open=open_count,
        )
        logs.write(line)

    def record_refused(
        self,
        opening: forwarding.OpenForward,
        refusal: forwarding.ForwardRefused,
    ) -> None:
        """Log that a request is not forwarded."""
        line = events.FORWARD_REFUSED.line(
            request=opening.request_id,
            endpoint=opening.endpoint_id,
            incarnation=opening.incarnation,
            reason=refusal.reason,
            beyond=refusal.is_beyond,
        )
        logs.write(line)

    def record_cut(self, opening: forwarding.OpenForward) -> None:
        """Log that a request gets no whole answer, as this VM stops."""
        line = events.FORWARD_CUT.line(
            request=opening.request_id,
            endpoint=opening.endpoint_id,
            incarnation=opening.incarnation,
            reason="this VM stops",
        )
        logs.write(line)

    def record_head(
        self, opening: forwarding.OpenForward, head: web.AnswerHead
    ) -> None:
        """Do nothing: heads tell entry VMs nothing about an endpoint."""
