"""Callers that go on with an entry VM while it stops.

Each stays with one VM until that accepts no connection any more, sends bodies
in one piece, in several or in chunks, has a budget longer than the grace
period, and states the length of the answer rightly or wrongly.
"""

import collections.abc
import dataclasses
import itertools
import math
import random

import trio

from sedgepin.platform.tests.soak import _addresses
from sedgepin.platform.tests.soak import _configurations
from sedgepin.platform.tests.soak import _connections
from sedgepin.platform.tests.soak import _losses
from sedgepin.platform.tests.soak import _record

CALLERS = 24
BUDGET_SECONDS = 20.0
# How long answers take at engines of their usual pace.
_ANSWER_SECONDS = (0.2, 2 * _losses.GRACE_SECONDS)
_EVENT_INTERVALS_MS = (40, 60, 80, 120)
_PAUSE_SECONDS = (0.02, 0.4)
# Share of callers that call the same VM again once it has closed.
_STAYING_SHARE = 0.7
_PROMPT_TOKENS = 10
_BODY_BYTES = (1, 3000)
_CHUNKED_SHARE = 0.4
_MAX_PIECES = 5
_PIECE_PAUSE_SECONDS = 0.05
_LATE_PIECE_SHARE = 0.25
_LATE_PIECE_SECONDS = (0.2, 1.5)
# Share of the streams from a plain service, whose length nobody states.
_FEED_SHARE = 0.25
# Share of the others whose lengths are stated wrongly; one of these is drawn
# for all callers.
_WRONG_SHARES = (0.0, 0.0, 0.3)
_WRONG_FACTORS = (0.1, 0.3, 3.0, 20.0)


class StopCallers:
    """The callers of one span of stops."""

    def __init__(
        self,
        addresses: _addresses.Addresses,
        record: _record.Record,
        ready: collections.abc.Set[int],
        rng: random.Random,
    ) -> None:
        self._addresses = addresses
        self._record = record
        # Entry VMs that passed their last readiness checks.
        self._ready = ready
        self._rng = rng
        self._numbers = itertools.count(1)

    async def run(self, count: int = CALLERS) -> None:
        """Send requests until cancelled."""
        wrong_share = self._rng.choice(_WRONG_SHARES)
        async with trio.open_nursery() as nursery:
            for _number in range(count):
                rng = random.Random(self._rng.getrandbits(64))
                nursery.start_soon(self._run_caller, rng, wrong_share)

    async def _run_caller(
        self, rng: random.Random, wrong_share: float
    ) -> None:
        number = self._choose_entry(rng)
        connection: _connections.Connection | None = None
        try:
            while True:
                await trio.sleep(rng.uniform(*_PAUSE_SECONDS))
                if connection is not None and connection.is_closed():
                    connection.close()
                    connection = None
                    if rng.random() >= _STAYING_SHARE:
                        number = self._choose_entry(rng)
                if connection is None:
                    connection = await _connections.connect(
                        self._addresses.entry_address(number)
                    )
                if connection is None:
                    number = self._choose_entry(rng)
                    continue
                kind = await self._call(
                    connection,
                    number,
                    make_request(rng, next(self._numbers), wrong_share),
                )
                if kind is _record.EndKind.ANSWERED and (
                    connection.start_next_cycle()
                ):
                    continue
                connection.close()
                connection = None
                if (
                    kind is not _record.EndKind.ANSWERED
                    or rng.random() >= _STAYING_SHARE
                ):
                    number = self._choose_entry(rng)
        finally:
            if connection is not None:
                connection.close()

    def _choose_entry(self, rng: random.Random) -> int:
        numbers = sorted(self._ready)
        if not numbers:
            numbers = list(range(1, self._addresses.counts["entry"] + 1))
        return rng.choice(numbers)

    async def _call(
        self,
        connection: _connections.Connection,
        entry_number: int,
        sent: _record.SentRequest,
    ) -> _record.EndKind:
        """Send a request and wait for its end; return how it ended."""
        self._record.sent[sent.request_id] = sent
        idle_since = connection.idle_since
        kind = _record.EndKind.LEFT
        with trio.move_on_after(sent.time_left_ms / 1000) as scope:
            try:
                await connection.send(sent)
                self._record.whole_at[sent.request_id] = trio.current_time()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # A refusal may have come before the last piece was sent.
                pass
            answer = await connection.receive(sent.request_id)
            self._record.answers[sent.request_id] = answer
            kind = _record.EndKind.CUT
            if answer.is_complete:
                kind = _record.EndKind.ANSWERED
        if scope.cancelled_caught:
            self._record.disconnected.add(sent.request_id)
        self._record.caller_ends[sent.request_id] = _record.CallerEnd(
            sent.request_id,
            f"entry-{entry_number}",
            kind,
            trio.current_time(),
            connection.status != 0,
            connection.opened_at,
            idle_since,
        )
        return kind


def make_request(
    rng: random.Random, number: int, wrong_share: float
) -> _record.SentRequest:
    """Draw a request for a stream."""
    seconds = math.exp(rng.uniform(*map(math.log, _ANSWER_SECONDS)))
    interval_ms = rng.choice(_EVENT_INTERVALS_MS)
    event_count = max(1, round(seconds * 1000 / interval_ms))
    route = "feed" if rng.random() < _FEED_SHARE else "long"
    prefix = _configurations.PREFIXES[route]
    sent = _record.SentRequest(
        request_id=f"s{number}",
        route=route,
        target=f"/{prefix}/{number}/{interval_ms}/{event_count}",
        body=rng.randbytes(rng.randint(*_BODY_BYTES)),
        key=rng.choice(_configurations.KEYS),
        at=trio.current_time(),
        time_left_ms=round(BUDGET_SECONDS * 1000),
        usual_seconds=event_count * interval_ms / 1000,
        sending=_draw_sending(rng),
    )
    if route == "feed":
        return sent
    token_usage, length_hint = _state_length(rng, event_count, wrong_share)
    return dataclasses.replace(
        sent,
        parts=("shared", f"book-{number % 4}", f"page-{number}"),
        token_usage=token_usage,
        length_hint=length_hint,
    )


def _state_length(
    rng: random.Random, event_count: int, wrong_share: float
) -> tuple[str, str | None]:
    """Return the most tokens and the expected ones that a caller states.

    The pages have the former with each request for a model.
    """
    if rng.random() >= wrong_share:
        hint = str(event_count) if rng.random() < 0.5 else None
        return f"{_PROMPT_TOKENS},{event_count}", hint
    most = max(1, round(event_count * rng.choice(_WRONG_FACTORS)))
    expected = max(1, round(event_count * rng.choice(_WRONG_FACTORS)))
    if rng.random() < 0.5:
        return f"{_PROMPT_TOKENS},{most}", None
    return f"{_PROMPT_TOKENS},{max(most, expected)}", str(expected)


def _draw_sending(rng: random.Random) -> _record.Sending:
    pieces = rng.randint(1, _MAX_PIECES)
    last_pause_seconds = rng.uniform(0, _PIECE_PAUSE_SECONDS)
    if rng.random() < _LATE_PIECE_SHARE:
        last_pause_seconds = rng.uniform(*_LATE_PIECE_SECONDS)
    return _record.Sending(
        is_chunked=rng.random() < _CHUNKED_SHARE,
        pieces=pieces,
        pause_seconds=rng.uniform(0, _PIECE_PAUSE_SECONDS),
        last_pause_seconds=last_pause_seconds,
    )
