"""What a gateway needs of the protocol that its deployment speaks."""

import abc

import result

from sedgepin._gateway import _calls
from sedgepin import _model as model
from sedgepin import _web as web
from sedgepin import errors


class GatewayDialect(abc.ABC):
    """Turns the deployment's messages into the product's types and back.

    It decides nothing: what a message leads to is the reducer's business.
    """

    @abc.abstractmethod
    def read_request(
        self, message: web.Request
    ) -> result.Result[_calls.CallerRequest, errors.Failure]:
        """Return what a caller asks for."""

    @abc.abstractmethod
    def endpoint_request(
        self, request: _calls.CallerRequest, dispatch: _calls.Dispatch
    ) -> web.Request:
        """Return the request as an endpoint gets it."""

    @abc.abstractmethod
    def read_answer(self, head: web.AnswerHead) -> _calls.AnswerMetadata:
        """Return what the head of an endpoint's answer says."""

    @abc.abstractmethod
    def failure_answer(
        self, request_id: str | None, failure: errors.Failure
    ) -> _calls.Answer:
        """Return the answer that tells a caller of a failure."""

    @abc.abstractmethod
    def report_request(self, address: str) -> web.Request:
        """Return the request for an engine's report."""

    @abc.abstractmethod
    def read_stalls(
        self, head: web.AnswerHead, body: bytes
    ) -> result.Result[_calls.StallReport, errors.Failure]:
        """Return what an engine's report says of stalled requests."""

    @abc.abstractmethod
    def reroute_request(
        self, request_id: str, pipeline: model.Pipeline
    ) -> web.Request:
        """Return the order to go on with a request on another pipeline."""

    @abc.abstractmethod
    def read_reroute_answer(
        self, head: web.AnswerHead, body: bytes
    ) -> result.Result[None, str]:
        """Return whether the order holds, or the address of who refused."""
