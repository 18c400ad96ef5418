"""A caller's request and an endpoint's answer, as the gateway sees them."""

import dataclasses
import datetime
import hashlib
import typing

from sedgepin import _model as model
from sedgepin import _placement as placement
from sedgepin import _web as web


@dataclasses.dataclass(slots=True, frozen=True)
class TokenUsage:
    """How many tokens a request to a model has and may write.

    ``expected_answer_tokens`` is the caller's guess of what will be written.
    """

    prompt_tokens: int
    max_answer_tokens: int
    expected_answer_tokens: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class CallerRequest:
    """A caller's request, read once.

    ``time_left`` counts from the arrival.  ``usage`` is known for requests
    to a model.  ``resume_after`` is the last event of a stream that the
    caller has already.
    """

    request_id: str
    host: str
    path: str
    message: web.Request
    time_left: datetime.timedelta | None = None
    api_key: str | None = None
    usage: TokenUsage | None = None
    resume_after: int | None = None

    @property
    def fingerprint(self) -> str:
        """Return what is the same each time a caller sends a request."""
        digest = hashlib.blake2b(digest_size=12)
        for part in (self.api_key or "", self.host, self.path):
            digest.update(part.encode("latin-1") + b"\0")
        digest.update(self.message.body)
        return digest.hexdigest()

    @property
    def size(self) -> placement.RequestSize | None:
        """Return the size that the request is taken to have."""
        if self.usage is None:
            return None
        answer = self.usage.max_answer_tokens
        if self.usage.expected_answer_tokens is not None:
            answer = min(answer, self.usage.expected_answer_tokens)
        return placement.RequestSize(self.usage.prompt_tokens, answer)


@dataclasses.dataclass(slots=True, frozen=True)
class Dispatch:
    """What an endpoint is told beside the caller's own words.

    ``pipeline`` names the engines of a request to a model; the request goes
    to the first of them.
    """

    endpoint_id: model.EndpointId
    address: str
    time_left: datetime.timedelta | None
    customer: model.CustomerId | None
    pipeline: model.Pipeline | None = None
    resume_after: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerMetadata:
    """What the head of an endpoint's answer says beside its status.

    ``is_not_run`` is the endpoint's word that it did not run the request.
    ``faulty_address`` is the address of the engine that was to blame.
    ``running`` and ``waiting`` are the endpoint's load, of ``slots``.
    """

    request_id: str | None
    is_signed: bool
    is_not_run: bool
    faulty_address: str | None = None
    running: int | None = None
    waiting: int | None = None
    slots: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Stall:
    """A request that waits, and the address of the engine it waits for."""

    request_id: str
    faulty_address: str


@dataclasses.dataclass(slots=True, frozen=True)
class StallReport:
    """What a first engine says of requests that make no progress."""

    stalls: tuple[Stall, ...]
    slowdown: float = 1.0


Answer: typing.TypeAlias = tuple[web.AnswerHead, bytes]
