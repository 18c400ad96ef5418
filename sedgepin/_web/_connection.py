"""The interface of a connection for one request to an endpoint."""

import abc

import result
import trio

from sedgepin._web import _failures
from sedgepin._web import _types


class AnswerConnection(abc.ABC):
    """Sends one request and reads its answer.

    Failures mean that the endpoint may have run the request.
    """

    __slots__ = ()

    @abc.abstractmethod
    async def send(
        self, request: _types.Request, nursery: trio.Nursery | None = None
    ) -> result.Result[None, _failures.AnswerBroken]:
        """Send a request; a long body may be sent by a task in ``nursery``."""

    @abc.abstractmethod
    async def read_head(
        self,
    ) -> result.Result[_types.AnswerHead, _failures.AnswerBroken]:
        """Return the head of the final answer."""

    @abc.abstractmethod
    async def read_data(
        self,
    ) -> result.Result[bytes | None, _failures.AnswerBroken]:
        """Return the next bytes of the body, or ``None`` at its end."""

    @abc.abstractmethod
    async def read_body(
        self, limit_bytes: int
    ) -> result.Result[bytes, _failures.AnswerBroken]:
        """Return the whole body, or a failure if it is over the limit."""

    async def exchange(
        self, request: _types.Request, limit_bytes: int
    ) -> result.Result[
        tuple[_types.AnswerHead, bytes], _failures.AnswerBroken
    ]:
        """Send a request and return its answer, of which all is read."""
        sent = await self.send(request)
        if isinstance(sent, result.Err):
            return sent
        head = await self.read_head()
        if isinstance(head, result.Err):
            return head
        body = await self.read_body(limit_bytes)
        if isinstance(body, result.Err):
            return body
        return result.Ok((head.ok_value, body.ok_value))

    def was_reset(self) -> bool:
        """Return whether it is known to be reset, also after its end."""
        return False

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection at once, also during an answer."""
