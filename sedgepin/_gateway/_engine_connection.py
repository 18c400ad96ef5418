"""Connections to endpoints, direct or through a forwarder."""

import datetime
import math

import result
import trio

from sedgepin import _forwarding as forwarding
from sedgepin._gateway import _events
from sedgepin import _memory as memory
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import _web as web

_Answer = tuple[web.AnswerHead, bytes]

# The round trip to an engine takes less than a millisecond.  A connection that
# takes this long leads to a VM that is down or over a link that is cut.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=250)
# A forwarder waits as long for the endpoint.
_FORWARD_TIMEOUT_SECONDS = 0.4
_ANSWER_LIMIT_BYTES = 65_536
_ENDED_FOR_MEMORY = "the memory for answers was used up"


async def connect(
    endpoint_id: model.EndpointId,
    incarnation: int | None,
    address: str,
    forwarder: protocol.Forwarder | None,
    request_id: str = "",
    account: memory.Account | None = None,
    deadline: float = math.inf,
) -> result.Result[
    web.AnswerConnection, web.ConnectFailed | forwarding.ForwardFailed
]:
    """Connect to an endpoint on the path that the reducer has chosen.

    The connection holds what it has not passed on in ``account``, whose end
    must end the reading.  A forwarder gives up after ``deadline``, by trio's
    clock.
    """
    if forwarder is None:
        direct = await web.ClientConnection.open(
            address, CONNECT_TIMEOUT.total_seconds(), account
        )
        return direct.map(lambda conn: conn)
    forwarded = await forwarding.ForwardedConnection.open(
        forwarder,
        endpoint_id,
        incarnation,
        address,
        _FORWARD_TIMEOUT_SECONDS,
        request_id,
        account,
    )
    if isinstance(forwarded, result.Ok):
        forwarded.ok_value.deadline = deadline
    return forwarded.map(lambda conn: conn)


async def call(
    endpoint_id: model.EndpointId,
    incarnation: int | None,
    address: str,
    forwarder: protocol.Forwarder | None,
    request: web.Request,
    timeout: datetime.timedelta,
    budget: memory.MemoryBudget | None = None,
) -> result.Result[
    _Answer, web.ConnectFailed | forwarding.ForwardFailed | web.AnswerBroken
]:
    """Send a request of this VM's own and return the whole answer.

    ``timeout`` limits the exchange after the connection was made.  What comes
    of the answer is held in an account of ``budget``.
    """
    scope = trio.CancelScope()
    account: memory.Account | None = None
    if budget is not None:
        account = budget.open(memory.HolderKind.CALL, address, scope.cancel)
    deadline = trio.current_time() + timeout.total_seconds()
    connected = await connect(
        endpoint_id,
        incarnation,
        address,
        forwarder,
        account=account,
        deadline=deadline,
    )
    if isinstance(connected, result.Err):
        return connected
    conn = connected.ok_value
    try:
        with trio.move_on_after(timeout.total_seconds()), scope:
            return await conn.exchange(request, _ANSWER_LIMIT_BYTES)
    finally:
        conn.close()
    if account is not None and account.is_ended:
        return result.Err(
            web.AnswerBroken(address, _ENDED_FOR_MEMORY, has_data=True)
        )
    reason = f"no answer within {timeout.total_seconds()} s"
    return result.Err(web.AnswerBroken(address, reason, True))


def link_failure(
    failure: web.ConnectFailed | forwarding.ForwardFailed | web.AnswerBroken,
) -> _events.LinkFailure | None:
    """Return where the path to an endpoint was broken, if it was."""
    match failure:
        case web.ConnectFailed():
            return _events.LinkFailure.DIRECT
        case forwarding.ForwardFailed(is_beyond=True, is_sound=True):
            return _events.LinkFailure.ENDPOINT
        case forwarding.ForwardFailed(is_beyond=True, is_sound=False):
            return _events.LinkFailure.UNPROVEN
        case forwarding.ForwardFailed(is_beyond=True):
            return _events.LinkFailure.BEYOND
        case forwarding.ForwardFailed():
            return _events.LinkFailure.FORWARDER
    return None
