"""Interface to the HTTP API of a deployment."""

import abc
import dataclasses
import typing

import result

from sedgepin import _catalog as catalog
from sedgepin import _model as model
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin import _web as web
from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class PublishCall:
    """An operator publishes a configuration, which has been validated."""

    version: int
    document: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class ReadCall:
    """An operator reads the configuration in force."""


@dataclasses.dataclass(slots=True, frozen=True)
class RegisterCall:
    """An endpoint registers, or renews its registration."""

    registration: catalog.Registration


@dataclasses.dataclass(slots=True, frozen=True)
class DeregisterCall:
    """An endpoint deregisters because it is about to stop."""

    endpoint_id: model.EndpointId


Call: typing.TypeAlias = PublishCall | ReadCall | RegisterCall | DeregisterCall


class ControlDialect(abc.ABC):
    """Translates the HTTP API of a deployment to the types of this project.

    It makes no decisions; those are made by the reducer.
    """

    @abc.abstractmethod
    def parse_call(
        self, request: web.Request
    ) -> result.Result[Call, errors.Failure]:
        """Parse a request to a control VM."""

    @abc.abstractmethod
    def parse_configuration(
        self, document: bytes
    ) -> result.Result[catalog.Configuration, errors.Failure]:
        """Parse and validate a configuration document."""

    @abc.abstractmethod
    def acknowledgement(self) -> tuple[web.AnswerHead, bytes]:
        """Return the response to a successful call without a result."""

    @abc.abstractmethod
    def configuration_answer(
        self, document: bytes
    ) -> tuple[web.AnswerHead, bytes]:
        """Return the response to a read of the configuration."""

    @abc.abstractmethod
    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        """Return the response for a failure."""

    @abc.abstractmethod
    def report_request(self, address: str) -> web.Request:
        """Return the request for the report of the engine at an address."""

    @abc.abstractmethod
    def parse_report(
        self, head: web.AnswerHead, body: bytes
    ) -> result.Result[_events.EngineReport, errors.Failure]:
        """Parse an engine's response to a report request."""

    @abc.abstractmethod
    def parse_notice(self, head: web.AnswerHead) -> catalog.EndpointNotice:
        """Parse what an engine says of itself in the head of an answer."""

    @abc.abstractmethod
    def layer_order_request(self, order: _effects.OrderLayers) -> web.Request:
        """Return the request that orders an engine to load layers."""

    @abc.abstractmethod
    def parse_order_answer(
        self, order: _effects.OrderLayers, head: web.AnswerHead
    ) -> _events.LayerOrderAnswered:
        """Parse an engine's response to an order."""
