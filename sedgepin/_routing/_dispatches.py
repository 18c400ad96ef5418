"""Requests that this entry VM has dispatched and that have not ended."""

import dataclasses
import datetime

from sedgepin import _model as model
from sedgepin._routing import _load
from sedgepin._routing import _request

# Weight of a new sample in the moving average of answer lengths.
_LENGTH_RATIO_WEIGHT = 0.02


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointShare:
    """The load of one endpoint and the layers a request runs there."""

    load: _load.EndpointLoad
    layers: int


@dataclasses.dataclass(slots=True)
class _Dispatch:
    """One dispatched request; ``request`` is None for a service call."""

    shares: list[EndpointShare]
    request: _request.RoutingRequest | None
    generated_tokens: int = 0


class DispatchTracker:
    """Counts each dispatched request in its endpoints' loads until it ends.

    It also learns, for each model, the ratio of generated to expected
    tokens.
    """

    __slots__ = ("_length_ratios", "_running")

    def __init__(self) -> None:
        self._running: dict[model.RequestId, _Dispatch] = {}
        self._length_ratios: dict[model.ModelName, float] = {}

    def record(
        self,
        request_id: model.RequestId,
        shares: list[EndpointShare],
        request: _request.RoutingRequest | None,
        now: datetime.datetime,
    ) -> None:
        """Count a dispatch; it replaces an earlier one of the same request."""
        self.finish(request_id, 0, False, now)
        prompt_tokens = 0
        generated_tokens = 0.0
        if request is not None:
            prompt_tokens = request.prompt_tokens
            length_ratio = self.length_ratio(request.model)
            generated_tokens = request.expected_tokens * length_ratio
        for share in shares:
            share.load.add_request(
                share.layers, prompt_tokens, now, generated_tokens
            )
        self._running[request_id] = _Dispatch(shares, request)

    def record_progress(
        self, request_id: model.RequestId, tokens: int
    ) -> None:
        """Add generated tokens to a request; ignore unknown requests."""
        dispatch = self._running.get(request_id)
        if dispatch is not None:
            dispatch.generated_tokens += tokens

    def finish(
        self,
        request_id: model.RequestId,
        generated_tokens: int,
        succeeded: bool,
        now: datetime.datetime,
    ) -> None:
        """Remove a request from its endpoints' loads; ignore unknown ones.

        If it succeeded, the larger of ``generated_tokens`` and the recorded
        progress updates the length ratio of its model.
        """
        dispatch = self._running.pop(request_id, None)
        if dispatch is None:
            return
        for share in dispatch.shares:
            share.load.remove_request(share.layers, now)
        if succeeded and dispatch.request is not None:
            generated = max(generated_tokens, dispatch.generated_tokens)
            self._update_length_ratio(dispatch.request, generated)

    def length_ratio(self, model_name: model.ModelName) -> float:
        """Return the average ratio of generated to expected tokens."""
        return self._length_ratios.get(model_name, 1.0)

    def _update_length_ratio(
        self, request: _request.RoutingRequest, generated_tokens: int
    ) -> None:
        if request.expected_tokens <= 0:
            return
        ratio = generated_tokens / request.expected_tokens
        previous = self.length_ratio(request.model)
        updated = previous + _LENGTH_RATIO_WEIGHT * (ratio - previous)
        self._length_ratios[request.model] = updated
