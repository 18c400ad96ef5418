"""A small HTTP/1.1 reader and writer over asyncio streams."""

import asyncio
import dataclasses

_MAX_HEAD_BYTES = 65_536


class Broken(Exception):
    """The channel ended, or carried bytes that are no message."""


@dataclasses.dataclass(slots=True)
class Message:
    """A request or an answer; header names are in lower case."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Return the head of the next message."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError) as exc:
        raise Broken("closed" if not getattr(exc, "partial", b"x") else "cut")
    except OSError as exc:
        raise Broken(type(exc).__name__) from exc
    lines = raw.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body that follows a head, by its length or in chunks."""
    try:
        if message.headers.get("transfer-encoding", "") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    return
                message.body += chunk[:-2]
        length = int(message.headers.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    except (
        asyncio.IncompleteReadError,
        asyncio.LimitOverrunError,
        OSError,
        ValueError,
    ) as exc:
        raise Broken(type(exc).__name__) from exc


async def read_message(
    reader: asyncio.StreamReader, is_answer_to_head: bool = False
) -> Message:
    """Return the next message with its whole body."""
    message = await read_head(reader)
    if not is_answer_to_head:
        await read_body(reader, message)
    return message


def encode(
    first_line: str, headers: dict[str, str], body: bytes | None
) -> bytes:
    """Return a message as bytes; without a body it gets no length."""
    lines = [first_line, *(f"{name}: {headers[name]}" for name in headers)]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("utf-8") + b"\r\n\r\n" + (body or b"")


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    timeout_s: float = 1.0,
) -> Message:
    """Send one request on a new channel and return the answer."""
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            sent = {"Host": address, **(headers or {})}
            writer.write(encode(f"{method} {target} HTTP/1.1", sent, body))
            return await read_message(reader, method == "HEAD")
    except (OSError, TimeoutError) as exc:
        raise Broken(type(exc).__name__) from exc
    finally:
        if writer is not None:
            writer.close()
