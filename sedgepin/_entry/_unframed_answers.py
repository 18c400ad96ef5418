"""Answers that only the end of their connection completes."""

import collections.abc
import urllib.parse

import trio

_CONNECT_TIMEOUT_SECONDS = 0.25
# In this time a process that has begun to end closes its listening socket.
_REPEAT_DELAY_SECONDS = 0.02

ENDED_BY_CRASH = "the answer has no length and its endpoint has ended"


async def has_ended(
    refuses_connection: collections.abc.Callable[
        [], collections.abc.Awaitable[bool]
    ],
) -> bool:
    """Return whether no process serves at an endpoint's address any more.

    The connections of an endpoint that crashes are closed like those of one
    that has finished, but the former refuses a new one.
    """
    if await refuses_connection():
        return True
    await trio.sleep(_REPEAT_DELAY_SECONDS)
    return await refuses_connection()


async def refuses_connection(address: str) -> bool:
    """Return whether an endpoint refuses a direct connection."""
    try:
        url = urllib.parse.urlsplit(address)
        port = url.port or (443 if url.scheme == "https" else 80)
        with trio.move_on_after(_CONNECT_TIMEOUT_SECONDS):
            stream = await trio.open_tcp_stream(url.hostname or "", port)
            await trio.aclose_forcefully(stream)
    except OSError as exc:
        causes = exc.__cause__
        return (
            isinstance(causes, ExceptionGroup)
            and causes.subgroup(ConnectionRefusedError) is not None
        )
    except ValueError:
        return False
    return False
