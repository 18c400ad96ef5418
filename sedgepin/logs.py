"""Writes log lines through loguru, as text or JSON, without blocking."""

import collections.abc
import datetime
import enum
import os
import stat
import sys
import time
import typing

import loguru
import msgspec

from sedgepin import events
from sedgepin import settings

if typing.TYPE_CHECKING:
    Message = loguru.Message


# Buffer of unwritten lines.  At the highest load it lasts for some seconds
# without a reader.
_BUFFER_LIMIT_BYTES = 1_048_576
# Ordinary lines are those below WARNING.  They leave the rest of the buffer to
# warnings and errors.
_ORDINARY_BUFFER_LIMIT_BYTES = _BUFFER_LIMIT_BYTES // 2
# Rate limit of ordinary lines (token bucket).  An entry VM of the first
# deployments writes up to 100 lines per second.  Writing as many as the limit
# allows takes about 1 % of a core.
_ORDINARY_LINES_PER_SECOND = 1_000.0
_ORDINARY_BURST_LINES = 2_000.0
# While lines are being dropped, their number is logged at this interval.
_DROP_REPORT_INTERVAL_SECONDS = 0.1
_WARNING_LEVEL = loguru.logger.level("WARNING").no


class Output(enum.Enum):
    """The stream that log lines are written to."""

    STDOUT = "stdout"
    STDERR = "stderr"


class _BoundedOutput:
    """Writes lines to a file descriptor without blocking on a pipe.

    Lines that the reader of a pipe has not taken yet are buffered up to a
    limit.  Lines beyond it are dropped, and ordinary lines also beyond a
    rate.  The number of dropped lines is logged once there is space again.
    That line bypasses loguru, whose handlers must not log.
    """

    __slots__ = (
        "_available_tokens",
        "_refilled_at",
        "_reported_at",
        "_describe_dropped",
        "_dropped_count",
        "_fd",
        "_buffer",
    )

    def __init__(
        self, fd: int, describe_dropped: collections.abc.Callable[[int], bytes]
    ) -> None:
        self._fd = fd
        self._describe_dropped = describe_dropped
        self._buffer = b""
        self._dropped_count = 0
        self._available_tokens = _ORDINARY_BURST_LINES
        self._refilled_at = time.monotonic()
        self._reported_at = self._refilled_at
        if stat.S_ISFIFO(os.fstat(fd).st_mode):
            os.set_blocking(fd, False)

    def write(self, line: bytes, is_ordinary: bool) -> None:
        now = time.monotonic()
        limit = _BUFFER_LIMIT_BYTES
        if is_ordinary:
            limit = _ORDINARY_BUFFER_LIMIT_BYTES
        if len(self._buffer) + len(line) > limit:
            self._flush()
        has_room = len(self._buffer) + len(line) <= limit
        if is_ordinary and not self._acquire_token(now):
            has_room = False
        if has_room:
            self._append_dropped_count(now)
            self._buffer += line
        else:
            self._dropped_count += 1
            if now - self._reported_at >= _DROP_REPORT_INTERVAL_SECONDS:
                self._append_dropped_count(now)
        self._flush()

    def _append_dropped_count(self, now: float) -> None:
        """Append a line with the number of dropped lines, if there are any."""
        if not self._dropped_count:
            return
        self._buffer += self._describe_dropped(self._dropped_count)
        self._dropped_count = 0
        self._reported_at = now

    def _acquire_token(self, now: float) -> bool:
        """Refill the token bucket; return whether it had a token to take."""
        refilled = (now - self._refilled_at) * _ORDINARY_LINES_PER_SECOND
        self._refilled_at = now
        self._available_tokens = min(
            _ORDINARY_BURST_LINES, self._available_tokens + refilled
        )
        if self._available_tokens < 1.0:
            return False
        self._available_tokens -= 1.0
        return True

    def _flush(self) -> None:
        try:
            while self._buffer:
                written = os.write(self._fd, self._buffer)
                self._buffer = self._buffer[written:]
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe: drop the lines and count them.
            self._buffer = b""
            self._dropped_count += 1


def configure(
    cfg: settings.Log, process_id: str, output: Output = Output.STDERR
) -> None:
    """Configure the format, the level and the output of log lines.

    ``process_id`` appears in every line.  To be called before ``write``; a
    later call replaces the configuration.
    """
    loguru.logger.remove()
    format_line = _format_text
    if cfg.format is settings.LogFormat.JSON:
        format_line = _format_json
    loguru.logger.configure(extra={"process": process_id})
    stream = sys.stdout if output is Output.STDOUT else sys.stderr

    def describe_dropped(count: int) -> bytes:
        fields = {
            "time": datetime.datetime.now(datetime.timezone.utc).isoformat(),
            "level": events.LOG_LINES_DROPPED.level,
            "process": process_id,
            "event": events.LOG_LINES_DROPPED.name,
            "number": events.LOG_LINES_DROPPED.number,
            "count": count,
        }
        return msgspec.json.encode(fields) + b"\n"

    bounded = _BoundedOutput(stream.fileno(), describe_dropped)
    loguru.logger.add(
        lambda message: bounded.write(
            format_line(message), message.record["level"].no < _WARNING_LEVEL
        ),
        level=cfg.level.value,
        format="{message}",
    )


def write(line: events.LogLine) -> None:
    """Write a log line; never blocks on a slow reader."""
    definition = line.definition
    loguru.logger.bind(line=line).log(definition.level, definition.name)


def _format_text(message: "Message") -> bytes:
    record = message.record
    line = record["extra"].get("line")
    fields = ""
    number = 0
    if isinstance(line, events.LogLine):
        number = line.definition.number
        fields = " ".join(
            f"{field.name}={field.value}" for field in line.fields
        )
    return (
        f"{record['time']:YYYY-MM-DDTHH:mm:ss.SSS} {record['level'].name:<7} "
        f"{record['extra']['process']} {number} {record['message']} {fields}\n"
    ).encode()


def _format_json(message: "Message") -> bytes:
    record = message.record
    line = record["extra"].get("line")
    body: dict[str, object] = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "process": record["extra"]["process"],
        "event": record["message"],
    }
    if isinstance(line, events.LogLine):
        body["number"] = line.definition.number
        body.update({field.name: field.value for field in line.fields})
    return msgspec.json.encode(body, enc_hook=str) + b"\n"
