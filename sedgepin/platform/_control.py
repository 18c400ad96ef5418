"""HTTP messages that control VMs receive and send."""

import result

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _registrar as registrar
from sedgepin import _web as web
from sedgepin import errors
from sedgepin.platform import _answers
from sedgepin.platform import _configuration
from sedgepin.platform import _endpoints

_INSTANCES_PREFIX = "/v1/instances/"
_CONFIGURATION_PATH = "/v1/config"
_ACCEPTED_STATUSES = (200, 202)
# The engine refused the order because of a stale fencing token.
_STALE_FENCE_STATUS = 412


class ControlDialect(registrar.ControlDialect):
    """Converts HTTP messages of operators and endpoints to calls and back."""

    __slots__ = ()

    def parse_call(
        self, request: web.Request
    ) -> result.Result[registrar.Call, errors.Failure]:
        """Parse a request to a control VM.

        An unknown method or path is a ``NotFound`` failure.
        """
        path = request.target.decode("latin-1").partition("?")[0]
        method = request.method
        if path == _CONFIGURATION_PATH and method == b"GET":
            return result.Ok(registrar.ReadCall())
        if path == _CONFIGURATION_PATH and method == b"PUT":
            return self._parse_publish(request.body)
        endpoint_id = path.removeprefix(_INSTANCES_PREFIX)
        if not path.startswith(_INSTANCES_PREFIX) or "/" in endpoint_id:
            return result.Err(registrar.NotFound())
        if method == b"DELETE" and endpoint_id:
            call = registrar.DeregisterCall(model.EndpointId(endpoint_id))
            return result.Ok(call)
        if method == b"PUT" and endpoint_id:
            registration = _endpoints.parse_check_in(endpoint_id, request.body)
            return registration.map(registrar.RegisterCall)
        return result.Err(registrar.NotFound())

    def _parse_publish(
        self, body: bytes
    ) -> result.Result[registrar.Call, errors.Failure]:
        parsed = _configuration.parse(body)
        if isinstance(parsed, result.Err):
            return parsed
        return result.Ok(registrar.PublishCall(parsed.ok_value.version, body))

    def parse_configuration(
        self, document: bytes
    ) -> result.Result[catalog.Configuration, errors.Failure]:
        """Parse and validate a configuration document."""
        return _configuration.parse(document)

    def acknowledgement(self) -> tuple[web.AnswerHead, bytes]:
        """Return the answer to a successful call without a result."""
        return _answers.json_answer(b"{}")

    def configuration_answer(
        self, document: bytes
    ) -> tuple[web.AnswerHead, bytes]:
        """Return the answer to a read of the configuration."""
        return _answers.json_answer(document)

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        """Return the answer that reports a failure."""
        return _answers.error_response(failure)

    def report_request(self, address: str) -> web.Request:
        """Return the request for the report of the engine at an address."""
        return _answers.report_request(address)

    def parse_report(
        self, head: web.AnswerHead, body: bytes
    ) -> result.Result[registrar.EngineReport, errors.Failure]:
        """Parse an engine's answer to a report request."""
        parsed = _answers.parse_report(head, body)
        if isinstance(parsed, result.Err):
            return parsed
        report = parsed.ok_value
        return result.Ok(
            registrar.EngineReport(
                report.born,
                report.held_layers,
                report.busy,
                report.sequence,
                report.pace,
            )
        )

    def parse_notice(self, head: web.AnswerHead) -> catalog.EndpointNotice:
        """Parse what an engine says of itself in the head of an answer."""
        return _answers.parse_notice(head)

    def layer_order_request(self, order: registrar.OrderLayers) -> web.Request:
        """Return the request that orders an engine to load layers."""
        body: dict[str, object] = {
            "op": "place",
            "from": order.layers.first,
            "to": order.layers.end,
            "strategy": "wait",
            "fence": order.fencing_token,
            "precondition": order.order_count,
        }
        return _answers.order_request(order.address, body, order.endpoint_id)

    def parse_order_answer(
        self, order: registrar.OrderLayers, head: web.AnswerHead
    ) -> registrar.LayerOrderAnswered:
        """Parse an engine's answer to an order.

        Only the status counts: 200 and 202 accept the order, and 412 refuses
        it because of a stale fencing token.
        """
        return registrar.LayerOrderAnswered(
            order.endpoint_id,
            order.incarnation,
            head.status in _ACCEPTED_STATUSES,
            head.status == _STALE_FENCE_STATUS,
        )
