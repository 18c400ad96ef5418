"""Fake plain service that counts executions by idempotency key.

Run as ``python -m sedgepin.tests.fake_service JSON`` with the fields of
``fake_engine.Options``.  ``POST /receipts`` records a receipt under its
``Idempotency-Key`` and answers how often that key was executed; the service
itself doesn't deduplicate.  ``GET /counts`` answers all counts.
"""

import collections
import sys
import typing

import msgspec
import trio

from sedgepin import _model as model
from sedgepin.tests import fake_engine


class Service(fake_engine.Engine):
    """State of one fake service."""

    def __init__(self, options: fake_engine.Options) -> None:
        super().__init__(options)
        self.execution_counts: collections.Counter[str] = collections.Counter()

    def announcement(self, entry: str) -> bytes:
        """Return the next announcement for one entry VM, as JSON."""
        raw = super().announcement(entry)
        announcement = msgspec.json.decode(raw, type=model.Announcement)
        return msgspec.json.encode(
            msgspec.structs.replace(
                announcement,
                kind=model.EndpointKind.SERVICE,
                model=None,
                layers=None,
                accelerator=None,
            )
        )

    async def app(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Handle one HTTP request, as an ASGI application."""
        path = scope["path"]
        if path == "/v1/leave":
            self.leaving = True
            await fake_engine.send_json(send, 200, {})
            return
        if scope["method"] == "GET":
            await fake_engine.send_json(send, 200, dict(self.execution_counts))
            return
        headers = dict(scope["headers"])
        key = headers.get(b"idempotency-key", b"").decode()
        self.execution_counts[key] += 1
        options = self.options
        await trio.sleep(options.token_seconds + options.call_seconds)
        body = {"key": key, "executions": self.execution_counts[key]}
        await fake_engine.send_json(send, 201, body)


async def run(options: fake_engine.Options) -> None:
    """Serve requests and announce the service until cancelled."""
    service = Service(options)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fake_engine.serve, service.app, options.port)
        for entry in options.entries:
            nursery.start_soon(service.announce, entry)


if __name__ == "__main__":
    decoded = msgspec.json.decode(sys.argv[1], type=fake_engine.Options)
    trio.run(run, decoded)
