"""Writing log lines through loguru, as text or as JSON lines."""

import sys
import typing

import loguru
import msgspec

from sedgepin import events
from sedgepin import settings

if typing.TYPE_CHECKING:
    Message = loguru.Message


def set_up(cfg: settings.Log, process_id: str) -> None:
    """Send log lines to standard error in the form that ``cfg`` asks for."""
    loguru.logger.remove()
    write = _write_json if cfg.format is settings.LogFormat.JSON else _write
    loguru.logger.configure(extra={"process": process_id})
    loguru.logger.add(write, level=cfg.level.value, format="{message}")


def write(line: events.LogLine) -> None:
    """Write one line."""
    definition = line.definition
    loguru.logger.bind(line=line).log(definition.level, definition.name)


def _write(message: "Message") -> None:
    record = message.record
    line = record["extra"].get("line")
    fields = ""
    number = 0
    if isinstance(line, events.LogLine):
        number = line.definition.number
        fields = " ".join(f"{one.name}={one.value}" for one in line.fields)
    sys.stderr.write(
        f"{record['time']:YYYY-MM-DDTHH:mm:ss.SSS} {record['level'].name:<7} "
        f"{record['extra']['process']} {number} {record['message']} {fields}\n"
    )


def _write_json(message: "Message") -> None:
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
    encoded = msgspec.json.encode(body, enc_hook=str)
    sys.stderr.write(encoded.decode() + "\n")
