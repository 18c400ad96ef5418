"""A request on a connection of its own, with its whole answer."""

import result
import trio

from sedgepin import _memory as memory
from sedgepin._web import _client
from sedgepin._web import _failures
from sedgepin._web import _types

_BODY_LIMIT_BYTES = 65_536


async def send_request(
    address: str,
    request: _types.Request,
    timeout_seconds: float,
    limit_bytes: int = _BODY_LIMIT_BYTES,
    budget: memory.MemoryBudget | None = None,
) -> result.Result[
    tuple[_types.AnswerHead, bytes],
    _failures.ConnectFailed | _failures.AnswerBroken,
]:
    """Send a request on a new connection and return the whole answer.

    ``timeout_seconds`` limits the connecting and, once more, the exchange.
    ``limit_bytes`` limits the answer's body, which counts in ``budget``.
    """
    scope = trio.CancelScope()
    account: memory.Account | None = None
    if budget is not None:
        account = budget.open(memory.HolderKind.CALL, address, scope.cancel)
    connected = await _client.ClientConnection.open(
        address, timeout_seconds, account
    )
    if isinstance(connected, result.Err):
        return connected
    conn = connected.ok_value
    try:
        with trio.fail_after(timeout_seconds), scope:
            return await conn.exchange(request, limit_bytes)
    except trio.TooSlowError:
        return result.Err(conn.timed_out(timeout_seconds))
    finally:
        conn.close()
    return result.Err(conn.released())
