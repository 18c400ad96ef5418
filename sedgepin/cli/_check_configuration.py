"""The ``check-configuration`` subcommand: checks before publishing."""

import dataclasses
import pathlib
import typing

import msgspec
import result

from sedgepin import _catalog as catalog
from sedgepin.cli import _exit
from sedgepin.cli import _operator_client
from sedgepin.cli import _output
from sedgepin import errors
from sedgepin.platform import configuration_check

IN_FORCE = "in-force"

_ReportFormat = typing.Literal["text", "json"]
_EXIT_CODES = {
    "in_order": _exit.ExitCode.DONE,
    "faulty": _exit.ExitCode.FAULTY_DOCUMENT,
    "findings": _exit.ExitCode.FINDINGS,
    "different": _exit.ExitCode.DIFFERENT,
    "faulty_reference": _exit.ExitCode.FAULTY_REFERENCE,
}
_SUMMARIES = {
    "in_order": "is in order",
    "faulty": "is refused: it has errors",
    "findings": "is valid, with findings",
    "different": "is in order, and differs",
    "faulty_reference": "is valid; the other configuration has errors",
}


@dataclasses.dataclass(slots=True, frozen=True)
class _Problem:
    kind: str
    field: str
    problem: str


@dataclasses.dataclass(slots=True, frozen=True)
class _Difference:
    change: str
    section: str
    name: str
    field: str
    before: object
    after: object


@dataclasses.dataclass(slots=True)
class _Report:
    file: str
    against: str | None
    outcome: str = "in_order"
    findings: list[_Problem] = dataclasses.field(default_factory=list)
    differences: list[_Difference] = dataclasses.field(default_factory=list)


def check_configuration(
    configuration_file: pathlib.Path,
    *,
    against: str | None = None,
    output: _ReportFormat = "text",
) -> None:
    """Check a configuration before it is sent, and list all that is found.

    Exit codes: 0 in order (and no differences), 1 the control VMs refuse to
    tell the one in force, 2 wrong command line, 3 no control VM answers, 4
    errors, 5 valid with findings, 6 no findings but differences, 7 the other
    configuration has errors.  API keys are never printed.

    :param configuration_file: JSON configuration
    :param against: another file to compare with, or ``in-force`` for the
        version in force, which is read from SEDGEPIN_CONTROLS
    :param output: output format
    """
    document = _operator_client.read_file(configuration_file)
    report = _Report(str(configuration_file), against)
    read = configuration_check.read(document)
    if isinstance(read, result.Err):
        report.outcome = "faulty"
        report.findings += _error_problems(read.err_value)
    else:
        report.findings += _inspected(read.ok_value, document)
        if against is not None:
            _compare(report, read.ok_value, _read_other(against))
        if report.outcome == "in_order":
            report.outcome = _outcome(report)
    _print(report, output)
    code = _EXIT_CODES[report.outcome]
    if code is not _exit.ExitCode.DONE:
        raise SystemExit(int(code))


def _outcome(report: _Report) -> str:
    if report.findings:
        return "findings"
    return "different" if report.differences else "in_order"


def _error_problems(refused: errors.DocumentRefused) -> list[_Problem]:
    return [
        _Problem("error", fault.field, fault.problem)
        for fault in refused.faults
    ]


def _inspected(
    configuration: catalog.Configuration, document: bytes
) -> list[_Problem]:
    return [
        _Problem(
            finding.kind.value,
            configuration_check.document_field(finding.field, document),
            finding.problem,
        )
        for finding in catalog.inspect(configuration)
    ]


def _read_other(against: str) -> bytes:
    if against != IN_FORCE:
        return _operator_client.read_file(pathlib.Path(against))
    path = configuration_check.IN_FORCE_PATH
    return msgspec.json.encode(_operator_client.send_request("GET", path))


def _compare(
    report: _Report, configuration: catalog.Configuration, other: bytes
) -> None:
    """Add the differences, or the errors of the other configuration."""
    read = configuration_check.read(other)
    if isinstance(read, result.Err):
        report.outcome = "faulty_reference"
        report.findings += [
            dataclasses.replace(problem, kind="reference_error")
            for problem in _error_problems(read.err_value)
        ]
        return
    before = read.ok_value
    report.differences += [
        _Difference(
            difference.change.value,
            configuration_check.document_field(difference.section),
            difference.name,
            configuration_check.document_field(difference.field),
            configuration_check.document_value(difference.before),
            configuration_check.document_value(difference.after),
        )
        for difference in catalog.compare(before, configuration)
    ]
    if report.differences and configuration.version <= before.version:
        problem = (
            f"version {configuration.version} is not above {before.version};"
            " publishing it changes nothing"
        )
        report.findings.append(_Problem("stale_version", "version", problem))


def _print(report: _Report, output: _ReportFormat) -> None:
    if output == "json":
        _output.print_document(report, "json")
        return
    for problem in report.findings:
        print(f"{problem.kind}: {problem.field}: {problem.problem}")
    for difference in report.differences:
        print(_difference_line(difference))
    against = f" (compared with {report.against})" if report.against else ""
    print(f"{report.file}: {_SUMMARIES[report.outcome]}{against}")


def _difference_line(difference: _Difference) -> str:
    entry = f"{difference.section} {difference.name}".rstrip()
    line = " ".join((difference.change, entry, difference.field)).rstrip()
    if difference.before is None and difference.after is None:
        return line
    before, after = _shown(difference.before), _shown(difference.after)
    return f"{line}: {before} -> {after}"


def _shown(value: object) -> str:
    return "none" if value is None else msgspec.json.encode(value).decode()
