"""Tests of idle timeouts that configurations change."""

import trio

from sedgepin.platform.tests import running_system

_REQUEST = (
    b"POST /post/x HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: r\r\n"
    b"X-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
)
_SHORT_MS = 1_000
_LONG_MS = 8_000
# Shorter than the interval at which a server looks at its limits by itself.
_BETWEEN_SECONDS = 0.4


async def _publish(version: int, idle_timeout_ms: int) -> None:
    await running_system.poll_until(
        200,
        running_system.CONTROL,
        running_system.CALL_PORT,
        b"PUT",
        b"/v1/config",
        body={
            **running_system.CONFIGURATION,
            "version": version,
            "limits": {"idleTimeoutMs": idle_timeout_ms},
        },
    )


async def _wait_until_in_force(
    system: running_system.System, version: int
) -> None:
    with trio.fail_after(running_system.TIMEOUT_SECONDS):
        while version not in {
            line.get("version")
            for line in system.log_lines("entry")
            if line["event"] == "configuration_in_force"
        }:
            await trio.sleep(0.02)


class TestIdleConnection:
    async def test_request_under_a_timeout_that_held_in_between_is_answered(
        self, system: running_system.System, nursery: trio.Nursery
    ) -> None:
        """Its caller may have heard of the longer timeout only."""
        await running_system.start_system(system, nursery)
        await _publish(2, _SHORT_MS)
        await _wait_until_in_force(system, 2)
        stream = await trio.open_tcp_stream(
            running_system.ENTRY, running_system.CALL_PORT
        )
        await stream.send_all(_REQUEST)
        assert (await stream.receive_some()).startswith(b"HTTP/1.1 200")
        for version, idle_timeout_ms in ((3, _LONG_MS), (4, _SHORT_MS)):
            await _publish(version, idle_timeout_ms)
            await _wait_until_in_force(system, version)
            await trio.sleep(_BETWEEN_SECONDS)
        await trio.sleep(3 * _SHORT_MS / 1_000)
        await stream.send_all(_REQUEST)
        with trio.fail_after(4.0):
            assert (await stream.receive_some()).startswith(b"HTTP/1.1 200")
