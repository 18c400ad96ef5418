"""One answer that this VM is bringing to a caller."""

import datetime

from sedgepin import _admission as admission
from sedgepin import _answers as answers
from sedgepin._entry import _events
from sedgepin._entry import _prefixes
from sedgepin import _model as model
from sedgepin import _release as release
from sedgepin import _routing as routing

_CHARACTERS_PER_TOKEN = 4
_TRIAL_TOKENS = 8


class OpenAnswer:
    """A request, its answer so far and the attempt under way."""

    __slots__ = (
        "asked_at",
        "assembly",
        "avoid",
        "deadline",
        "dispatched",
        "dispatched_at",
        "doubted",
        "is_admitted",
        "lost",
        "model",
        "on_trial",
        "prefer",
        "probe",
        "request",
        "resumed_at",
        "service",
        "silence",
        "silence_probe",
        "stuck",
        "version",
    )

    def __init__(
        self,
        request: _events.GenerateRequest,
        service: release.Service,
        served_model: release.Model,
        deadline: datetime.datetime,
        now: datetime.datetime,
    ) -> None:
        self.asked_at = now
        self.request = request
        self.service = service
        self.model = served_model
        self.deadline = deadline
        self.assembly = answers.AnswerAssembly(
            request.request_id, request.limit_tokens
        )
        self.silence: answers.StreamFailureDetector | None = None
        self.is_admitted = False
        self.dispatched = False
        self.dispatched_at: datetime.datetime | None = None
        self.on_trial = False
        self.resumed_at = 0
        self.avoid: frozenset[model.EndpointId] = frozenset()
        # Engines of an attempt that fell silent: one of them hangs, or a link
        # between them does, and none said which.
        self.doubted: frozenset[model.EndpointId] = frozenset()
        # What the stages' last reports say is stuck.
        self.stuck: frozenset[model.EndpointId] = frozenset()
        self.prefer: frozenset[model.EndpointId] = frozenset()
        # Set while the stages of a broken attempt are asked who died.
        self.lost: _events.StreamFailed | None = None
        self.probe = 0
        self.silence_probe = 0
        self.version = served_model.version

    @property
    def fingerprint(self) -> admission.Fingerprint:
        """Return what stays the same when the request is sent again."""
        return admission.Fingerprint(
            self.request.customer, self.request.body_digest
        )

    @property
    def prompt_tokens(self) -> int:
        """Return an estimate of the prompt's length."""
        return len(self.request.prompt) // _CHARACTERS_PER_TOKEN + 1

    @property
    def cost_tokens(self) -> int:
        """Return an estimate of what the whole request takes."""
        return self.prompt_tokens + self.request.limit_tokens

    @property
    def used_tokens(self) -> int:
        """Return what the request has taken so far."""
        if not self.dispatched:
            return 0
        return self.prompt_tokens + self.assembly.next_position

    @property
    def has_outrun_trial(self) -> bool:
        """Tell whether the request ran well past where it stopped last."""
        produced = self.assembly.next_position - self.resumed_at
        return produced >= min(_TRIAL_TOKENS, self.request.limit_tokens)

    @property
    def has_tried_afresh(self) -> bool:
        """Tell whether a second attempt in a row brought nothing."""
        resumed = self.assembly.attempt > 1
        return resumed and self.assembly.next_position == self.resumed_at

    def doubt_pipeline(self) -> None:
        """Use the engines of the attempt under way only as a last resort."""
        pipeline = self.assembly.pipeline
        if pipeline is not None:
            self.doubted |= {one.endpoint_id for one in pipeline.stages}

    @property
    def may_be_cleared(self) -> bool:
        """Tell whether a trial went well past where the attempt began."""
        return self.on_trial and self.has_outrun_trial

    def runs_on(self, endpoint_id: model.EndpointId) -> bool:
        """Tell whether the attempt under way uses an endpoint."""
        pipeline = self.assembly.pipeline
        if pipeline is None or self.silence is None:
            return False
        return any(
            stage.endpoint_id == endpoint_id for stage in pipeline.stages
        )

    def work(self, version: str) -> routing.RoutingRequest:
        """Return what the next attempt needs."""
        return routing.RoutingRequest(
            request_id=self.request.request_id,
            model=self.model.name,
            service=self.service.name,
            prompt_tokens=self.prompt_tokens + self.assembly.next_position,
            expected_tokens=max(
                1, self.request.limit_tokens - self.assembly.next_position
            ),
            prefix_hashes=_prefixes.prefix_hashes(self.request.prompt),
            excluded_endpoints=self.avoid,
            preferred_endpoints=self.prefer,
            model_version=version,
        )
