"""The state of one answer that is being generated for a caller."""

import datetime

from sedgepin import _admission as admission
from sedgepin import _answers as answers
from sedgepin import _crash_causes as crash_causes
from sedgepin._entry import _events
from sedgepin._entry import _prefixes
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _release as release
from sedgepin import _routing as routing
from sedgepin import _service_levels as service_levels
from sedgepin import errors

_CHARACTERS_PER_TOKEN = 4
_TRIAL_TOKENS = 8
# A request that crashes its engines does so at the start of its output.
_SUSTAINED_TOKENS = 32
# Starts of a prompt, each a block longer than the one before.
_MAX_TRAITS = 32


class OpenAnswer:
    """A request, its answer so far and its current attempt.

    No further attempt may use ``excluded_endpoints``; the next attempt should
    reuse ``preferred_endpoints``.  ``failure_detector`` is None while no
    attempt is running.
    """

    __slots__ = (
        "_traits",
        "assembly",
        "awaited_pipeline",
        "awaits_engine",
        "deadline",
        "denied_permits",
        "deprioritized",
        "detours",
        "dispatched",
        "dispatched_at",
        "excluded_endpoints",
        "failed_stream",
        "failure_detector",
        "failure_probe",
        "forwarder",
        "has_survived",
        "is_admitted",
        "model",
        "on_trial",
        "pause_monitor",
        "permit_wait",
        "preferred_endpoints",
        "probe",
        "probe_detours",
        "probe_forwarder",
        "received_at",
        "request",
        "resume_position",
        "service",
        "stalled_stages",
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
        self.received_at = now
        self.request = request
        self.service = service
        self.model = served_model
        self.deadline = deadline
        self.assembly = answers.AnswerAssembly(
            request.request_id, request.limit_tokens
        )
        self.failure_detector: answers.StreamFailureDetector | None = None
        self.is_admitted = False
        self.dispatched = False
        self.dispatched_at: datetime.datetime | None = None
        self.on_trial = False
        self.resume_position = 0
        self.excluded_endpoints: frozenset[model.EndpointId] = frozenset()
        # The engines of attempts whose streams stalled, and engines that fell
        # silent.  One of them, or a link between them, may hang, but no report
        # shows which, so they are used only if no other pipeline is possible.
        self.deprioritized: frozenset[model.EndpointId] = frozenset()
        # The stages that hold tokens back according to the last reports.
        self.stalled_stages: frozenset[model.EndpointId] = frozenset()
        self.preferred_endpoints: frozenset[model.EndpointId] = frozenset()
        # Set while the stages of a failed attempt are probed to find out
        # which of them died.
        self.failed_stream: _events.StreamFailed | None = None
        # The numbers of the last ``ProbeStages`` effect and of the failure
        # detector's last probe, which are counted separately.
        self.probe = 0
        self.failure_probe = 0
        # Set while the next attempt waits for a forwarder to its first stage.
        self.awaited_pipeline: model.Pipeline | None = None
        # Set while an answer that has begun waits for a silent engine, as no
        # other pipeline is possible.
        self.awaits_engine = False
        # How long the next attempt may wait for a permit.
        self.permit_wait: datetime.timedelta | None = datetime.timedelta()
        self.denied_permits = 0
        # Who connects to the first stage of the attempt and to the probed
        # stages, ``None`` for this VM, and the ways tried beside the first.
        self.forwarder: protocol.Forwarder | None = None
        self.detours = 0
        self.probe_forwarder: protocol.Forwarder | None = None
        self.probe_detours = 0
        self.version = served_model.version
        # Whether its output has shown that it crashes no engine.
        self.has_survived = False
        self.pause_monitor: service_levels.PauseMonitor[datetime.datetime] = (
            service_levels.PauseMonitor()
        )
        self._traits: frozenset[crash_causes.Trait] | None = None

    @property
    def fingerprint(self) -> admission.Fingerprint:
        """Return the identity that all copies of the request share."""
        return admission.Fingerprint(
            self.request.customer, self.request.body_digest
        )

    @property
    def traits(self) -> frozenset[crash_causes.Trait]:
        """Return the starts of the prompt, which others may share."""
        if self._traits is None:
            hashes = _prefixes.prefix_hashes(self.request.prompt)
            self._traits = frozenset(
                map(crash_causes.part_trait, hashes[:_MAX_TRAITS])
            )
        return self._traits

    @property
    def is_sustained(self) -> bool:
        """Return whether so much was generated that it crashes no engine."""
        produced = self.assembly.next_position - self.resume_position
        return produced >= _SUSTAINED_TOKENS

    @property
    def prompt_tokens(self) -> int:
        """Return an estimate of the prompt's length in tokens."""
        return len(self.request.prompt) // _CHARACTERS_PER_TOKEN + 1

    @property
    def cost_tokens(self) -> int:
        """Return an upper estimate of the request's cost in tokens."""
        return self.prompt_tokens + self.request.limit_tokens

    @property
    def used_tokens(self) -> int:
        """Return the tokens that the request has cost so far."""
        if not self.dispatched:
            return 0
        return self.prompt_tokens + self.assembly.next_position

    @property
    def has_passed_trial_point(self) -> bool:
        """Return whether the attempt ran well past its start position.

        It starts where the previous attempt stopped, and has to generate
        ``_TRIAL_TOKENS`` tokens or, if that is less, the request's limit.
        """
        produced = self.assembly.next_position - self.resume_position
        return produced >= min(_TRIAL_TOKENS, self.request.limit_tokens)

    @property
    def retry_produced_nothing(self) -> bool:
        """Return whether the attempt is a retry without a token so far."""
        resumed = self.assembly.attempt > 1
        return resumed and self.assembly.next_position == self.resume_position

    def may_await_engine(self, failure: errors.Failure) -> bool:
        """Return whether a silent engine may go on with a begun answer.

        ``failure`` tells why there is no pipeline for the next attempt.
        """
        return (
            isinstance(failure, routing.NoPipeline)
            and bool(self.deprioritized)
            and self.assembly.next_position > 0
        )

    def deprioritize_pipeline(self) -> None:
        """Use the current engines only if no other pipeline is possible."""
        pipeline = self.assembly.pipeline
        if pipeline is not None:
            self.deprioritized |= {
                stage.endpoint_id for stage in pipeline.stages
            }

    @property
    def has_passed_trial(self) -> bool:
        """Return whether the request is on trial and has passed it."""
        return self.on_trial and self.has_passed_trial_point

    def runs_on(self, endpoint_id: model.EndpointId) -> bool:
        """Return whether the current attempt uses an endpoint."""
        pipeline = self.assembly.pipeline
        if pipeline is None or self.failure_detector is None:
            return False
        return any(
            stage.endpoint_id == endpoint_id for stage in pipeline.stages
        )

    def routing_request(self, version: str) -> routing.RoutingRequest:
        """Return the routing input for the next attempt on ``version``."""
        return routing.RoutingRequest(
            request_id=self.request.request_id,
            model=self.model.name,
            service=self.service.name,
            prompt_tokens=self.prompt_tokens + self.assembly.next_position,
            expected_tokens=max(
                1, self.request.limit_tokens - self.assembly.next_position
            ),
            prefix_hashes=_prefixes.prefix_hashes(self.request.prompt),
            excluded_endpoints=self.excluded_endpoints,
            preferred_endpoints=self.preferred_endpoints,
            model_version=version,
        )
