"""What a registrar needs of the protocol that its deployment speaks."""

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
    """An operator publishes a configuration that was found valid."""

    version: int
    document: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class ReadCall:
    """An operator reads the configuration."""


@dataclasses.dataclass(slots=True, frozen=True)
class RegisterCall:
    """An endpoint registers."""

    registration: catalog.Registration


@dataclasses.dataclass(slots=True, frozen=True)
class DeregisterCall:
    """An endpoint is about to end."""

    endpoint_id: model.EndpointId


Call: typing.TypeAlias = PublishCall | ReadCall | RegisterCall | DeregisterCall


class ControlDialect(abc.ABC):
    """Turns the deployment's calls into the product's types and back.

    It decides nothing: what a call leads to is the reducer's business.
    """

    @abc.abstractmethod
    def parse_call(
        self, request: web.Request
    ) -> result.Result[Call, errors.Failure]:
        """Return what a request to a control VM asks for."""

    @abc.abstractmethod
    def parse_configuration(
        self, document: bytes
    ) -> result.Result[catalog.Configuration, errors.Failure]:
        """Return the configuration that a document describes."""

    @abc.abstractmethod
    def acknowledgement(self) -> tuple[web.AnswerHead, bytes]:
        """Return the answer to a call that was carried out."""

    @abc.abstractmethod
    def configuration_response(
        self, document: bytes
    ) -> tuple[web.AnswerHead, bytes]:
        """Return the answer to a read."""

    @abc.abstractmethod
    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        """Return the answer that tells a failure."""

    @abc.abstractmethod
    def report_request(self, address: str) -> web.Request:
        """Return the request for an engine's report."""

    @abc.abstractmethod
    def parse_report(
        self, head: web.AnswerHead, body: bytes
    ) -> result.Result[_events.EngineReport, errors.Failure]:
        """Return what an engine reports."""

    @abc.abstractmethod
    def layer_order_request(self, order: _effects.OrderLayers) -> web.Request:
        """Return the request that orders an engine to hold layers."""

    @abc.abstractmethod
    def parse_order_response(
        self, order: _effects.OrderLayers, head: web.AnswerHead
    ) -> _events.LayerOrderAnswered:
        """Return what an engine made of an order."""
