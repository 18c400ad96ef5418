"""An HTTP handler that serves metrics in the Prometheus text format."""

import collections.abc

from sedgepin._web import _exchange
from sedgepin._web import _types
from sedgepin import errors

_CONTENT_TYPE = (b"Content-Type", b"text/plain; version=0.0.4")
_LIMITS = _types.ServerLimits(16_384, 1024, 3.0, 30.0)


class MetricsHandler(_exchange.Handler):
    """Answers every request with the text that a function returns."""

    __slots__ = ("_text",)

    def __init__(self, text: collections.abc.Callable[[], bytes]) -> None:
        self._text = text

    async def handle(self, exchange: _exchange.Exchange) -> None:
        """Answer with the current metrics."""
        head = _types.AnswerHead(200, (_CONTENT_TYPE,))
        await exchange.answer(head, self._text())

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[_types.AnswerHead, bytes]:
        """Return an empty answer with the status of ``failure``."""
        return _types.AnswerHead(failure.http_status), b""

    def limits(self) -> _types.ServerLimits:
        """Return limits for the short requests of a metrics collector."""
        return _LIMITS
