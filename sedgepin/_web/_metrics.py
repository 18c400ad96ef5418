"""An HTTP handler that serves metrics and JSON documents."""

import collections.abc

import msgspec

from sedgepin._web import _exchange
from sedgepin._web import _types
from sedgepin import errors

_CONTENT_TYPE = (b"Content-Type", b"text/plain; version=0.0.4")
_JSON_CONTENT_TYPE = (b"Content-Type", b"application/json")
_LIMITS = _types.ServerLimits(16_384, 1024, 3.0, 30.0)


class MetricsHandler(_exchange.Handler):
    """Answers every request with the text that a function returns.

    ``documents`` has functions for the paths with a JSON document instead.
    """

    __slots__ = ("_documents", "_text")

    def __init__(
        self,
        text: collections.abc.Callable[[], bytes],
        documents: (
            collections.abc.Mapping[str, collections.abc.Callable[[], object]]
            | None
        ) = None,
    ) -> None:
        self._text = text
        self._documents = documents or {}

    async def handle(self, exchange: _exchange.Exchange) -> None:
        """Answer with a document, or the current metrics."""
        target = exchange.request.target.decode("latin-1")
        document = self._documents.get(target.partition("?")[0])
        if document is not None:
            head = _types.AnswerHead(200, (_JSON_CONTENT_TYPE,))
            await exchange.answer(head, msgspec.json.encode(document()))
            return
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
