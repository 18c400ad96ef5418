"""Connecting to a peer whose machine may not answer yet."""

import trio

_CONNECT_TIMEOUT_SECONDS = 1.0
# A machine without power answers no SYN, and the kernel repeats one only after
# a second.  So eager attempts overlap: one starts at each interval, and each
# runs until the connect timeout, for peers across slow links.
_EAGER_INTERVAL_SECONDS = 0.1
# Longer than the time in which the machines of a site get their power back.
EAGER_SECONDS = 3.0


async def connect(
    host: str, port: int, is_eager: bool
) -> trio.SocketStream | None:
    """Return a connection to a peer, or ``None`` if that failed.

    With ``is_eager`` attempts are repeated for some seconds; the first that
    succeeds ends the others.
    """
    streams: list[trio.SocketStream] = []

    async def attempt() -> None:
        try:
            with trio.move_on_after(_CONNECT_TIMEOUT_SECONDS):
                streams.append(await trio.open_tcp_stream(host, port))
                nursery.cancel_scope.cancel()
        except (OSError, OverflowError, ValueError):
            # The peer is down, or its address is invalid.
            pass

    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(attempt)
            if is_eager:
                end = trio.current_time() + EAGER_SECONDS
                while trio.current_time() < end:
                    await trio.sleep(_EAGER_INTERVAL_SECONDS)
                    nursery.start_soon(attempt)
    except BaseException:
        await _close_all(streams)
        raise
    await _close_all(streams[1:])
    return streams[0] if streams else None


async def _close_all(streams: list[trio.SocketStream]) -> None:
    with trio.CancelScope(shield=True):
        for stream in streams:
            await trio.aclose_forcefully(stream)
