"""The ``explain`` subcommand: log lines of all processes on one request."""

import collections.abc
import dataclasses
import pathlib
import re
import typing

import msgspec

from sedgepin.cli import _exit
from sedgepin.cli import _output
from sedgepin import errors

_COMMON_FIELDS = ("time", "level", "process", "event", "number")
# Events that concern only the requests of the VM that logged them, even if
# they name an endpoint of the explained request.
_OTHER_REQUESTS_EVENTS = ("stalls_inspected", "endpoint_suspected")
# Matches only the end of a line, because log collectors add a prefix.
_JSON_OBJECT = re.compile(r"\{.*\}\s*$")

_Fields = dict[str, object]


@dataclasses.dataclass(slots=True, frozen=True)
class RequestNotFound(errors.Failure):
    """No log line has the request's id."""

    code: typing.ClassVar[str] = "request_not_found"
    title: typing.ClassVar[str] = "No log line names this request"

    request_id: str

    def detail(self) -> str:
        """Return the title and the request's id."""
        return f"{self.title}: {self.request_id}"


def explain(
    request_id: str,
    *log_files: pathlib.Path,
    output: _output.Output = "table",
) -> None:
    """Print what happened to a request, from the logs of all processes.

    The output has the log lines of the request, and those on its endpoints
    during its processing, such as suspicions, losses and layer changes.

    :param request_id: the id that the caller sent
    :param log_files: JSON log files of any processes, in any order
    :param output: output format
    """
    log_lines = select_lines(request_id, read_lines(log_files))
    if not log_lines:
        _exit.exit_with_failure(
            RequestNotFound(request_id), _exit.ExitCode.REFUSED
        )
    rows = [
        {
            "time": line.get("time"),
            "process": line.get("process"),
            "event": line.get("event"),
            "details": _details(line),
        }
        for line in log_lines
    ]
    _output.print_rows(rows, ("time", "process", "event", "details"), output)


def read_lines(
    paths: collections.abc.Iterable[pathlib.Path],
) -> list[_Fields]:
    """Return the JSON log lines of the files, skipping all other lines."""
    log_lines: list[_Fields] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                matched = _JSON_OBJECT.search(text)
                if matched is None:
                    continue
                try:
                    fields = msgspec.json.decode(matched.group())
                except msgspec.DecodeError:
                    continue
                if isinstance(fields, dict) and "event" in fields:
                    log_lines.append(fields)
    return log_lines


def select_lines(
    request_id: str, lines: collections.abc.Iterable[_Fields]
) -> list[_Fields]:
    """Return the lines that concern a request, ordered by time.

    These are the lines with its id, and the lines without a request id that
    name one of its endpoints and lie between the first and the last of them.
    Events that concern only the logging VM's own requests are left out unless
    that VM logged a line with the id.

    >>> lines = [{"time": "1", "event": "caller_left", "request": "r1"}]
    >>> select_lines("r1", lines)
    [{'time': '1', 'event': 'caller_left', 'request': 'r1'}]
    """
    ordered = sorted(lines, key=lambda line: str(line.get("time")))
    own = [line for line in ordered if line.get("request") == request_id]
    if not own:
        return []
    endpoints = {name for line in own for name in _endpoints(line)}
    processes = {line.get("process") for line in own}
    first, last = str(own[0].get("time")), str(own[-1].get("time"))
    return [
        line
        for line in ordered
        if line.get("request") == request_id
        or (
            "request" not in line
            and first <= str(line.get("time")) <= last
            and line.get("endpoint") in endpoints
            and (
                line.get("process") in processes
                or line.get("event") not in _OTHER_REQUESTS_EVENTS
            )
        )
    ]


def _endpoints(line: _Fields) -> collections.abc.Iterator[str]:
    """Yield the ids of the endpoints in a line, also those of pipelines."""
    for name in ("endpoint", "pipeline", "before", "after"):
        value = line.get(name)
        if isinstance(value, str):
            for part in value.split(","):
                yield part.partition("=")[0]


def _details(line: _Fields) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in _COMMON_FIELDS and value not in (None, "")
    )
