"""Which requests of other entry VMs this VM forwards to endpoints."""

import collections.abc

from sedgepin import _forwarding as forwarding
from sedgepin._gateway import _dialect
from sedgepin._gateway import _events
from sedgepin._gateway import _reducer
from sedgepin import _web as web
from sedgepin import clock
from sedgepin import events

_Submit = collections.abc.Callable[[_events.GatewayEvent], None]
_WriteLog = collections.abc.Callable[[events.LogLine], None]


class GatewayForwardingPolicy(forwarding.ForwardingPolicy):
    """Forwards to the endpoints that this VM itself would use.

    The other VM has decided all else about the request.
    """

    __slots__ = ("_clock", "_dialect", "_reducer", "_submit", "_write_log")

    def __init__(
        self,
        reducer: _reducer.GatewayReducer,
        dialect: _dialect.GatewayDialect,
        own_clock: clock.Clock,
        submit: _Submit,
        write_log: _WriteLog,
    ) -> None:
        self._reducer = reducer
        self._dialect = dialect
        self._clock = own_clock
        self._submit = submit
        self._write_log = write_log

    def refusal(
        self, opening: forwarding.OpenForward
    ) -> forwarding.ForwardRefused | None:
        """Return why an endpoint must get no request, or ``None``."""
        return self._reducer.forwarding_refusal(
            opening.endpoint_id,
            opening.incarnation,
            opening.address,
            self._clock.now(),
        )

    def record_unreached(self, opening: forwarding.OpenForward) -> bool:
        """Learn that no connection to an endpoint could be made."""
        is_sound = self._reducer.has_sound_links(
            opening.endpoint_id, self._clock.now()
        )
        self._submit(_events.ForwardUnreached(opening.endpoint_id))
        return is_sound

    def record_opened(
        self, opening: forwarding.OpenForward, open_count: int
    ) -> None:
        """Log that a connection to an endpoint was made, and learn it."""
        self._submit(_events.EndpointReached(opening.endpoint_id, None))
        line = events.FORWARD_OPENED.line(
            request=opening.request_id,
            endpoint=opening.endpoint_id,
            incarnation=opening.incarnation,
            open=open_count,
        )
        self._write_log(line)

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
        self._write_log(line)

    def record_cut(self, opening: forwarding.OpenForward) -> None:
        """Log that a request gets no whole answer, as this VM stops."""
        line = events.FORWARD_CUT.line(
            request=opening.request_id,
            endpoint=opening.endpoint_id,
            incarnation=opening.incarnation,
            reason="this VM stops",
        )
        self._write_log(line)

    def record_head(
        self, opening: forwarding.OpenForward, head: web.AnswerHead
    ) -> None:
        """Heed what an endpoint asks of this VM, which sent the request."""
        self._submit(
            _events.AnswerHeadReceived(
                opening.endpoint_id,
                self._dialect.parse_answer(head),
                opening.incarnation,
            )
        )
