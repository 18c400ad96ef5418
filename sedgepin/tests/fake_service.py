"""A stand-in for a plain service that counts executions by key.

Run as ``python -m sedgepin.tests.fake_service JSON`` with the fields of
``fake_engine.Options``.  ``POST /receipts`` records a receipt under the
``Idempotency-Key`` it came with and answers how often that key ran; it does
nothing itself against doubles.  ``GET /counts`` answers all counts.
"""

import collections
import sys
import typing

import msgspec
import trio

from sedgepin import _model as model
from sedgepin.tests import fake_engine


class Service(fake_engine.Engine):
    """State of one stand-in service."""

    def __init__(self, options: fake_engine.Options) -> None:
        super().__init__(options)
        self.counts: collections.Counter[str] = collections.Counter()

    def announcement(self, entry: str) -> bytes:
        """Return the announcement for one entry."""
        raw = super().announcement(entry)
        told = msgspec.json.decode(raw, type=model.Announcement)
        return msgspec.json.encode(
            msgspec.structs.replace(
                told,
                kind=model.EndpointKind.SERVICE,
                model=None,
                layers=None,
                accelerator=None,
            )
        )

    async def app(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Serve one HTTP request."""
        path = scope["path"]
        if path == "/v1/leave":
            self.leaving = True
            await fake_engine.reply(send, 200, {})
            return
        if scope["method"] == "GET":
            await fake_engine.reply(send, 200, dict(self.counts))
            return
        headers = dict(scope["headers"])
        key = headers.get(b"idempotency-key", b"").decode()
        self.counts[key] += 1
        await trio.sleep(self.options.token_seconds)
        body = {"key": key, "executions": self.counts[key]}
        await fake_engine.reply(send, 201, body)


async def run(options: fake_engine.Options) -> None:
    """Serve and announce for ever."""
    service = Service(options)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fake_engine.serve, service.app, options.port)
        for entry in options.entries:
            nursery.start_soon(service.announce, entry)


if __name__ == "__main__":
    decoded = msgspec.json.decode(sys.argv[1], type=fake_engine.Options)
    trio.run(run, decoded)
