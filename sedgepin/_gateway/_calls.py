"""Callers' requests and endpoints' answers, independent of the dialect."""

import dataclasses
import datetime
import hashlib
import typing

from sedgepin import _catalog as catalog
from sedgepin import _crash_causes as crash_causes
from sedgepin import _model as model
from sedgepin import _placement as placement
from sedgepin import _protocol as protocol
from sedgepin import _web as web


@dataclasses.dataclass(slots=True, frozen=True)
class TokenUsage:
    """The token counts that a caller states for a request to a model.

    ``expected_answer_tokens`` is the caller's estimate of the answer's length.
    """

    prompt_tokens: int
    max_answer_tokens: int
    expected_answer_tokens: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class CallerRequest:
    """A parsed request of a caller.

    ``time_left`` is the time until the caller's deadline, measured from the
    arrival.  ``usage`` is set for requests to a model.  ``resume_after`` is
    the id of the last event of a stream that the caller has received.
    ``shared_parts`` identifies the parts of the prompt that other requests
    may contain too, and ``prompt_digest`` all parts of it.
    """

    request_id: str
    host: str
    path: str
    message: web.Request
    time_left: datetime.timedelta | None = None
    api_key: str | None = None
    usage: TokenUsage | None = None
    resume_after: int | None = None
    shared_parts: tuple[str, ...] = ()
    prompt_digest: str = ""

    @property
    def fingerprint(self) -> str:
        """Return a hash that is the same for each retry of a request."""
        digest = hashlib.blake2b(digest_size=12)
        for part in (self.api_key or "", self.host, self.path):
            digest.update(part.encode("latin-1") + b"\0")
        digest.update(self.message.body)
        return digest.hexdigest()

    @property
    def digest(self) -> str:
        """Return a hash that also tells requests with equal bodies apart."""
        return f"{self.fingerprint}{self.prompt_digest}"

    @property
    def traits(self) -> frozenset[crash_causes.Trait]:
        """Return what the request may have in common with others."""
        return frozenset(
            (
                crash_causes.request_trait(self.fingerprint),
                *map(crash_causes.part_trait, self.shared_parts),
            )
        )

    def as_suspect(self) -> crash_causes.SuspectRequest:
        """Return what may have crashed an endpoint with the request."""
        return crash_causes.SuspectRequest(self.digest, self.traits)

    @property
    def size(self) -> placement.RequestSize | None:
        """Return the expected token counts, or ``None`` without ``usage``."""
        if self.usage is None:
            return None
        answer_tokens = self.usage.max_answer_tokens
        if self.usage.expected_answer_tokens is not None:
            answer_tokens = min(
                answer_tokens, self.usage.expected_answer_tokens
            )
        return placement.RequestSize(self.usage.prompt_tokens, answer_tokens)


@dataclasses.dataclass(slots=True, frozen=True)
class Dispatch:
    """What the gateway adds to a caller's request for an endpoint.

    ``pipeline`` lists the stages of a request to a model; the request is sent
    to the engine of the first stage.  ``incarnation`` is that of the endpoint
    at the time.  ``forwarder`` is the entry VM through which the request is
    sent, or ``None`` if it is sent directly.
    """

    endpoint_id: model.EndpointId
    address: str
    time_left: datetime.timedelta | None
    customer: model.CustomerId | None
    pipeline: model.Pipeline | None = None
    resume_after: int | None = None
    incarnation: int | None = None
    forwarder: protocol.Forwarder | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerMetadata:
    """Metadata from the headers of an endpoint's answer.

    ``is_signed`` tells whether the answer carries a signature.
    ``is_not_run`` is set when the endpoint states that it did not run the
    request.  ``faulty_address`` is the address of the engine that failed.
    ``running`` and ``waiting`` count the requests on the endpoint, which runs
    up to ``slots`` at a time.  ``notice`` is what it asks of this VM.
    """

    request_id: str | None
    is_signed: bool
    is_not_run: bool
    faulty_address: str | None = None
    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    notice: catalog.EndpointNotice = catalog.EndpointNotice()


@dataclasses.dataclass(slots=True, frozen=True)
class Stall:
    """A stalled request and the address of the engine that it waits for."""

    request_id: str
    faulty_address: str


@dataclasses.dataclass(slots=True, frozen=True)
class StallReport:
    """A first engine's report on its requests that make no progress.

    ``slowdown`` is how many times longer than usual the engine takes.
    """

    stalls: tuple[Stall, ...]
    slowdown: float = 1.0


Answer: typing.TypeAlias = tuple[web.AnswerHead, bytes]
