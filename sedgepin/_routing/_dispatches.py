"""The requests that this entry has dispatched and not seen end."""

import dataclasses
import datetime

from sedgepin import _model as model
from sedgepin._routing import _load
from sedgepin._routing import _request

_SMOOTHING = 0.02


@dataclasses.dataclass(slots=True, frozen=True)
class Share:
    """What one endpoint runs of a dispatched request."""

    load: _load.EndpointLoad
    layers: int


@dataclasses.dataclass(slots=True)
class _Dispatch:
    """One dispatched request; plain services have no work."""

    shares: list[Share]
    work: _request.RoutingRequest | None
    generated_tokens: int = 0


class Dispatches:
    """Own dispatches, counted into the endpoints' loads while they last."""

    __slots__ = ("_generated_shares", "_running")

    def __init__(self) -> None:
        self._running: dict[model.RequestId, _Dispatch] = {}
        self._generated_shares: dict[model.ModelName, float] = {}

    def visit(
        self,
        request_id: model.RequestId,
        shares: list[Share],
        work: _request.RoutingRequest | None,
        now: datetime.datetime,
    ) -> None:
        """Count a request in; a second dispatch replaces the first."""
        self.leave(request_id, 0, False, now)
        prompt_tokens = 0
        generated_tokens = 0.0
        if work is not None:
            prompt_tokens = work.prompt_tokens
            usual = self.generated_share(work.model)
            generated_tokens = work.expected_tokens * usual
        for share in shares:
            share.load.visit(
                share.layers, prompt_tokens, now, generated_tokens
            )
        self._running[request_id] = _Dispatch(shares, work)

    def record_progress(
        self, request_id: model.RequestId, tokens: int
    ) -> None:
        """Note generated tokens; unknown requests are ignored."""
        dispatch = self._running.get(request_id)
        if dispatch is not None:
            dispatch.generated_tokens += tokens

    def leave(
        self,
        request_id: model.RequestId,
        generated_tokens: int,
        succeeded: bool,
        now: datetime.datetime,
    ) -> None:
        """Count a request out, once."""
        dispatch = self._running.pop(request_id, None)
        if dispatch is None:
            return
        for share in dispatch.shares:
            share.load.leave(share.layers, now)
        if succeeded and dispatch.work is not None:
            generated = max(generated_tokens, dispatch.generated_tokens)
            self._learn(dispatch.work, generated)

    def generated_share(self, model_name: model.ModelName) -> float:
        """Return the usual length of answers over what was expected."""
        return self._generated_shares.get(model_name, 1.0)

    def _learn(
        self, work: _request.RoutingRequest, generated_tokens: int
    ) -> None:
        if work.expected_tokens <= 0:
            return
        share = generated_tokens / work.expected_tokens
        known = self.generated_share(work.model)
        learned = known + _SMOOTHING * (share - known)
        self._generated_shares[work.model] = learned
