"""The story of one request, put together from several processes' logs."""

import collections.abc
import dataclasses
import pathlib
import re
import typing

import msgspec

from sedgepin.cli import _exit
from sedgepin.cli import _output
from sedgepin import errors

_OWN_FIELDS = ("time", "level", "process", "event", "number")
# What other VMs note about an endpoint for the sake of their own requests.
_OF_OTHERS_REQUESTS = ("stalls_inspected", "endpoint_suspected")
# Log collectors put their own words before a line.
_LINE = re.compile(r"\{.*\}\s*$")

_Fields = dict[str, object]


@dataclasses.dataclass(slots=True, frozen=True)
class RequestNotFound(errors.Failure):
    """No line of the logs names the request."""

    code: typing.ClassVar[str] = "request_not_found"
    title: typing.ClassVar[str] = "No log line names this request"

    request_id: str

    def detail(self) -> str:
        """Return the id that was looked for."""
        return f"{self.title}: {self.request_id}"


def explain(
    request_id: str,
    *log_files: pathlib.Path,
    output: _output.Output = "table",
) -> None:
    """Print what became of a request, from the logs of all processes.

    Besides the request's own lines these are the lines on its endpoints
    while it was on its way: who suspected them, lost them, moved them.

    :param request_id: the id that the caller sent
    :param log_files: JSON log files, of any processes and in any order
    :param output: table or json
    """
    found = tell(request_id, read_lines(log_files))
    if not found:
        _exit.fail(RequestNotFound(request_id), _exit.ExitCode.REFUSED)
    rows = [
        {
            "time": line.get("time"),
            "process": line.get("process"),
            "event": line.get("event"),
            "details": _details(line),
        }
        for line in found
    ]
    _output.print_rows(rows, ("time", "process", "event", "details"), output)


def read_lines(
    paths: collections.abc.Iterable[pathlib.Path],
) -> list[_Fields]:
    """Return the JSON log lines of some files; other lines are passed over."""
    found: list[_Fields] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                matched = _LINE.search(text)
                if matched is None:
                    continue
                try:
                    fields = msgspec.json.decode(matched.group())
                except msgspec.DecodeError:
                    continue
                if isinstance(fields, dict) and "event" in fields:
                    found.append(fields)
    return found


def tell(
    request_id: str, lines: collections.abc.Iterable[_Fields]
) -> list[_Fields]:
    """Return the lines that belong to a request, in order of time.

    >>> tell("r1", [{"time": "1", "event": "caller_left", "request": "r1"}])
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
                or line.get("event") not in _OF_OTHERS_REQUESTS
            )
        )
    ]


def _endpoints(line: _Fields) -> collections.abc.Iterator[str]:
    """Yield the endpoints that a line names."""
    for name in ("endpoint", "pipeline", "before", "after"):
        value = line.get(name)
        if isinstance(value, str):
            for part in value.split(","):
                yield part.partition("=")[0]


def _details(line: _Fields) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in _OWN_FIELDS and value not in (None, "")
    )
