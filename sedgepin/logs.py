"""Writing log lines through loguru, as text or as JSON lines."""

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


# Lines that wait for a reader; some seconds of them at the highest load.
_WAITING_LIMIT_BYTES = 1_048_576
# Ordinary lines leave the rest of it to warnings and errors.
_ORDINARY_LIMIT_BYTES = _WAITING_LIMIT_BYTES // 2
# Ordinary lines a second, and at once. An entry VM of the first deployments
# writes up to 100 a second; at this rate they take a hundredth of a core.
_ORDINARY_PER_SECOND = 1_000.0
_ORDINARY_AT_ONCE = 2_000.0
# In a storm, how many were dropped is told this often.
_COUNT_INTERVAL_SECONDS = 0.1
_WARNING_LEVEL = loguru.logger.level("WARNING").no


class Output(enum.Enum):
    """Where log lines go."""

    STDOUT = "stdout"
    STDERR = "stderr"


class _BoundedOutput:
    """A file descriptor that is written to without ever waiting.

    What a slow reader leaves behind waits here up to a limit.  Lines beyond
    it are dropped, and ordinary ones also beyond a rate; their number is
    logged when there is room again.  That line does not go through loguru,
    whose handlers must not log.
    """

    __slots__ = (
        "_allowance",
        "_allowed_at",
        "_counted_at",
        "_describe_dropped",
        "_dropped",
        "_fd",
        "_waiting",
    )

    def __init__(
        self, fd: int, describe_dropped: collections.abc.Callable[[int], bytes]
    ) -> None:
        self._fd = fd
        self._describe_dropped = describe_dropped
        self._waiting = b""
        self._dropped = 0
        self._allowance = _ORDINARY_AT_ONCE
        self._allowed_at = time.monotonic()
        self._counted_at = self._allowed_at
        if stat.S_ISFIFO(os.fstat(fd).st_mode):
            os.set_blocking(fd, False)

    def write(self, line: bytes, is_ordinary: bool) -> None:
        now = time.monotonic()
        limit = _WAITING_LIMIT_BYTES
        if is_ordinary:
            limit = _ORDINARY_LIMIT_BYTES
        if len(self._waiting) + len(line) > limit:
            self._flush()
        has_room = len(self._waiting) + len(line) <= limit
        if is_ordinary and not self._may_write_ordinary(now):
            has_room = False
        if has_room:
            self._add_count(now)
            self._waiting += line
        else:
            self._dropped += 1
            if now - self._counted_at >= _COUNT_INTERVAL_SECONDS:
                self._add_count(now)
        self._flush()

    def _add_count(self, now: float) -> None:
        """Write how many lines are missing, if any are."""
        if not self._dropped:
            return
        self._waiting += self._describe_dropped(self._dropped)
        self._dropped = 0
        self._counted_at = now

    def _may_write_ordinary(self, now: float) -> bool:
        """Take one line out of what ordinary lines may take."""
        gained = (now - self._allowed_at) * _ORDINARY_PER_SECOND
        self._allowed_at = now
        self._allowance = min(_ORDINARY_AT_ONCE, self._allowance + gained)
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True

    def _flush(self) -> None:
        try:
            while self._waiting:
                written = os.write(self._fd, self._waiting)
                self._waiting = self._waiting[written:]
        except BlockingIOError:
            return
        except OSError:
            # Nobody will ever read: counting is all that is left to do.
            self._waiting = b""
            self._dropped += 1


def configure(
    cfg: settings.Log, process_id: str, output: Output = Output.STDERR
) -> None:
    """Send log lines out in the form that ``cfg`` asks for."""
    loguru.logger.remove()
    write_line = _as_text
    if cfg.format is settings.LogFormat.JSON:
        write_line = _as_json
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
            write_line(message), message.record["level"].no < _WARNING_LEVEL
        ),
        level=cfg.level.value,
        format="{message}",
    )


def write(line: events.LogLine) -> None:
    """Write one line."""
    definition = line.definition
    loguru.logger.bind(line=line).log(definition.level, definition.name)


def _as_text(message: "Message") -> bytes:
    record = message.record
    line = record["extra"].get("line")
    fields = ""
    number = 0
    if isinstance(line, events.LogLine):
        number = line.definition.number
        fields = " ".join(f"{one.name}={one.value}" for one in line.fields)
    return (
        f"{record['time']:YYYY-MM-DDTHH:mm:ss.SSS} {record['level'].name:<7} "
        f"{record['extra']['process']} {number} {record['message']} {fields}\n"
    ).encode()


def _as_json(message: "Message") -> bytes:
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
        body.update({one.name: one.value for one in line.fields})
    return msgspec.json.encode(body, enc_hook=str) + b"\n"
