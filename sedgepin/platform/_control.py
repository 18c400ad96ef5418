"""The calls that control VMs take, and those that they make."""

import result

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin import _registrar as registrar
from sedgepin import _web as web
from sedgepin import errors
from sedgepin.platform import _answers
from sedgepin.platform import _configuration
from sedgepin.platform import _endpoints

_INSTANCES = "/v1/instances/"
_CONFIGURATION = "/v1/config"
_ACCEPTED = (200, 202)
_STALE_FENCE = 412


class ControlDialect(registrar.ControlDialect):
    """What operators and endpoints of the platform say to control VMs."""

    __slots__ = ()

    def parse_call(
        self, request: web.Request
    ) -> result.Result[registrar.Call, errors.Failure]:
        """Return what a request to a control VM asks for."""
        path = request.target.decode("latin-1").partition("?")[0]
        method = request.method
        if path == _CONFIGURATION and method == b"GET":
            return result.Ok(registrar.ReadCall())
        if path == _CONFIGURATION and method == b"PUT":
            return self._read_publish(request.body)
        endpoint_id = path.removeprefix(_INSTANCES)
        if not path.startswith(_INSTANCES) or "/" in endpoint_id:
            return result.Err(registrar.NotFound())
        if method == b"DELETE" and endpoint_id:
            call = registrar.DeregisterCall(model.EndpointId(endpoint_id))
            return result.Ok(call)
        if method == b"PUT" and endpoint_id:
            read = _endpoints.read_check_in(endpoint_id, request.body)
            return read.map(registrar.RegisterCall)
        return result.Err(registrar.NotFound())

    def _read_publish(
        self, body: bytes
    ) -> result.Result[registrar.Call, errors.Failure]:
        read = _configuration.read(body)
        if isinstance(read, result.Err):
            return read
        return result.Ok(registrar.PublishCall(read.ok_value.version, body))

    def parse_configuration(
        self, document: bytes
    ) -> result.Result[catalog.Configuration, errors.Failure]:
        """Return the configuration that a document describes."""
        return _configuration.read(document)

    def acknowledgement(self) -> tuple[web.AnswerHead, bytes]:
        """Return the answer to a call that was carried out."""
        return _answers.document(b"{}")

    def configuration_answer(
        self, document: bytes
    ) -> tuple[web.AnswerHead, bytes]:
        """Return the answer to a read."""
        return _answers.document(document)

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        """Return the answer that tells a failure."""
        return _answers.refusal(failure)

    def report_request(self, address: str) -> web.Request:
        """Return the request for an engine's report."""
        return _answers.report_request(address)

    def parse_report(
        self, head: web.AnswerHead, body: bytes
    ) -> result.Result[registrar.EngineReport, errors.Failure]:
        """Return what an engine reports."""
        read = _answers.read_report(head, body)
        if isinstance(read, result.Err):
            return read
        report = read.ok_value
        return result.Ok(
            registrar.EngineReport(
                report.born,
                report.held_layers,
                report.busy,
                report.sequence,
                report.pace,
            )
        )

    def layer_order_request(self, order: registrar.OrderLayers) -> web.Request:
        """Return the request that orders an engine to hold layers."""
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
        """Return what an engine made of an order."""
        return registrar.LayerOrderAnswered(
            order.endpoint_id,
            order.incarnation,
            head.status in _ACCEPTED,
            head.status == _STALE_FENCE,
        )
