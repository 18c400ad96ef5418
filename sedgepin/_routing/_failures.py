"""Why no pipeline or endpoint could be chosen."""

import dataclasses
import datetime
import typing

from sedgepin import _model
from sedgepin import errors


@dataclasses.dataclass(slots=True, frozen=True)
class NoPipeline(errors.Failure):
    """No eligible engines tile the model.

    ``missing`` lists the layers that no eligible engine holds once the
    avoided ones are left out.
    """

    code: typing.ClassVar[str] = "no_pipeline"
    title: typing.ClassVar[str] = "No engines can run the whole model now"
    http_status: typing.ClassVar[int] = 503

    model: _model.ModelName
    missing: tuple[_model.LayerRange, ...]
    wait: datetime.timedelta

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return how long to wait for another announcement."""
        return self.wait

    def detail(self) -> str:
        """Return the layers that are missing."""
        ranges = ", ".join(
            f"{layers.first} to {layers.end}" for layers in self.missing
        )
        return f"model {self.model}: no engine for layers {ranges}"


@dataclasses.dataclass(slots=True, frozen=True)
class NoEndpoint(errors.Failure):
    """No eligible endpoint offers the service."""

    code: typing.ClassVar[str] = "no_endpoint"
    title: typing.ClassVar[str] = "No endpoint offers the service now"
    http_status: typing.ClassVar[int] = 503

    service: _model.ServiceName
    wait: datetime.timedelta

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return how long to wait for another announcement."""
        return self.wait

    def detail(self) -> str:
        """Return the service that nobody offers."""
        return f"service {self.service}: no endpoint"
