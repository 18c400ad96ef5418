"""The interface between the gateway and a deployment's HTTP dialect."""

import abc

import result

from sedgepin._gateway import _calls
from sedgepin import _model as model
from sedgepin import _web as web
from sedgepin import errors


class GatewayDialect(abc.ABC):
    """Converts between the deployment's HTTP messages and gateway types.

    A dialect makes no decisions; the reducer handles what it parses.
    """

    @abc.abstractmethod
    def parse_request(
        self, message: web.Request
    ) -> result.Result[_calls.CallerRequest, errors.Failure]:
        """Parse a caller's request, or return why it is malformed."""

    @abc.abstractmethod
    def endpoint_request(
        self, request: _calls.CallerRequest, dispatch: _calls.Dispatch
    ) -> web.Request:
        """Return the request to send to the endpoint of ``dispatch``."""

    @abc.abstractmethod
    def parse_answer(self, head: web.AnswerHead) -> _calls.AnswerMetadata:
        """Parse the metadata in the head of an endpoint's answer."""

    @abc.abstractmethod
    def error_response(
        self, request_id: str | None, failure: errors.Failure
    ) -> _calls.Answer:
        """Return the answer that reports a failure to a caller."""

    @abc.abstractmethod
    def report_request(self, address: str) -> web.Request:
        """Return the request that asks an engine for its report."""

    @abc.abstractmethod
    def parse_stall_report(
        self, head: web.AnswerHead, body: bytes
    ) -> result.Result[_calls.StallReport, errors.Failure]:
        """Parse the stalled requests out of an engine's report."""

    @abc.abstractmethod
    def reroute_request(
        self, request_id: str, pipeline: model.Pipeline
    ) -> web.Request:
        """Return the order to continue a request on another pipeline."""

    @abc.abstractmethod
    def parse_reroute_answer(
        self, head: web.AnswerHead, body: bytes
    ) -> result.Result[None, str]:
        """Return success, or the address of the engine that refused.

        The address is empty if the answer names none.
        """
