"""Sends orders to engines over HTTP."""

import collections.abc
import typing

import httpcore
import msgspec
import trio

from sedgepin import _http_client as http_client
from sedgepin import _release as release

_ORDER_TIMEOUT_SECONDS = 2.0
_MAX_ANSWER_BYTES = 65_536
_CONFLICT_STATUS = 409
_FIRST_ERROR_STATUS = 400
_BEFORE_FIRST_BYTE = "http11.send_request_headers.started"

HoldsLease: typing.TypeAlias = collections.abc.Callable[[], bool]


class _LeaseExpired(Exception):
    """The lease expired while the connection was being opened."""


class OrderClient:
    """Sends orders, but none after the leader's lease has expired.

    The lease is checked once more on the open connection, just before the
    first byte: connecting may take longer than the lease lasts.
    """

    __slots__ = ("_credential", "_holds_lease", "_pool")

    def __init__(self, credential: str, holds_lease: HoldsLease) -> None:
        self._credential = credential
        self._holds_lease = holds_lease
        self._pool = httpcore.AsyncConnectionPool(
            max_keepalive_connections=0,
            network_backend=http_client.CheckedAsyncBackend(),
        )

    async def send(self, order: release.Order) -> release.OrderOutcome:
        """Send ``order`` and return its outcome.

        Status 409 means that the engine has seen a higher fencing token.
        Other error statuses, timeouts, connection errors, an expired lease,
        an invalid answer and one without end count as failed.
        """
        headers = [("content-type", "application/json")]
        if self._credential:
            headers.append(("authorization", f"Bearer {self._credential}"))
        try:
            with trio.fail_after(_ORDER_TIMEOUT_SECONDS):
                async with self._pool.stream(
                    "POST",
                    f"{order.address}/v1/orders",
                    headers=headers,
                    content=msgspec.json.encode(order),
                    extensions={"trace": self._check_lease},
                ) as response:
                    status = response.status
                    received_bytes = 0
                    async for piece in response.aiter_stream():
                        received_bytes += len(piece)
                        if received_bytes > _MAX_ANSWER_BYTES:
                            return release.OrderOutcome.FAILED
        except (
            _LeaseExpired,
            trio.TooSlowError,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            # The address of the engine is invalid.
            ValueError,
        ):
            return release.OrderOutcome.FAILED
        if status == _CONFLICT_STATUS:
            return release.OrderOutcome.REFUSED_FENCING
        if status >= _FIRST_ERROR_STATUS:
            return release.OrderOutcome.FAILED
        return release.OrderOutcome.ACCEPTED

    async def _check_lease(
        self, event: str, _details: dict[str, typing.Any]
    ) -> None:
        if event == _BEFORE_FIRST_BYTE and not self._holds_lease():
            raise _LeaseExpired
