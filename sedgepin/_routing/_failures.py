"""Failures of routing decisions."""

import dataclasses
import datetime
import typing

from sedgepin import _model
from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class NoPipeline(errors.Failure):
    """The eligible engines do not cover all layers of the model.

    ``missing`` lists the layers that no eligible engine holds, not counting
    the excluded engines.  ``retry_delay`` is the time until the caller should
    retry.
    """

    code: typing.ClassVar[str] = "no_pipeline"
    title: typing.ClassVar[str] = "No engines can run the whole model now"
    http_status: typing.ClassVar[int] = 503

    model: _model.ModelName
    missing: tuple[_model.LayerRange, ...]
    retry_delay: datetime.timedelta

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return the delay, during which new announcements may arrive."""
        return self.retry_delay

    def detail(self) -> str:
        """Return a sentence that names the model and the missing layers."""
        ranges = ", ".join(
            f"{layers.first} to {layers.end}" for layers in self.missing
        )
        return f"model {self.model}: no engine for layers {ranges}"


@dataclasses.dataclass(slots=True, frozen=True)
class NoEndpoint(errors.Failure):
    """No eligible endpoint offers the service.

    ``retry_delay`` is the time until the caller should retry.
    """

    code: typing.ClassVar[str] = "no_endpoint"
    title: typing.ClassVar[str] = "No endpoint offers the service now"
    http_status: typing.ClassVar[int] = 503

    service: _model.ServiceName
    retry_delay: datetime.timedelta

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return the delay, during which new announcements may arrive."""
        return self.retry_delay

    def detail(self) -> str:
        """Return a sentence that names the service."""
        return f"service {self.service}: no endpoint"
