"""Writing log lines through loguru, as text or as JSON lines."""

import collections.abc
import datetime
import enum
import os
import stat
import sys
import typing

import loguru
import msgspec

from sedgepin import events
from sedgepin import settings

if typing.TYPE_CHECKING:
    Message = loguru.Message


# Lines that wait for a reader; some seconds of them at the highest load.
_WAITING_LIMIT_BYTES = 1_048_576


class Output(enum.Enum):
    """Where log lines go."""

    STDOUT = "stdout"
    STDERR = "stderr"


class _BoundedOutput:
    """A file descriptor that is written to without ever waiting.

    What a slow reader leaves behind waits here up to a limit; lines beyond
    it are dropped, and their number is logged when there is room again.
    That line does not go through loguru, whose handlers must not log.
    """

    __slots__ = ("_describe_dropped", "_dropped", "_fd", "_waiting")

    def __init__(
        self, fd: int, describe_dropped: collections.abc.Callable[[int], bytes]
    ) -> None:
        self._fd = fd
        self._describe_dropped = describe_dropped
        self._waiting = b""
        self._dropped = 0
        if stat.S_ISFIFO(os.fstat(fd).st_mode):
            os.set_blocking(fd, False)

    def write(self, line: bytes) -> None:
        if len(self._waiting) + len(line) > _WAITING_LIMIT_BYTES:
            self._flush()
        if len(self._waiting) + len(line) > _WAITING_LIMIT_BYTES:
            self._dropped += 1
            return
        if self._dropped:
            line = self._describe_dropped(self._dropped) + line
            self._dropped = 0
        self._waiting += line
        self._flush()

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


def set_up(
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
        lambda message: bounded.write(write_line(message)),
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
