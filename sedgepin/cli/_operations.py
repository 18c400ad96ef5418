"""The subcommands for operators, which query the control VMs."""

import pathlib

from sedgepin.cli import _daemons
from sedgepin.cli import _exit
from sedgepin.cli import _operator_client
from sedgepin.cli import _output
from sedgepin import settings

_MEMBER_COLUMNS = ("vm", "disk", "votes")
_VM_COLUMNS = (
    "id",
    "data_centre",
    "state",
    "note_number",
    "ready",
    "draining",
)
_ENDPOINT_COLUMNS = (
    "endpoint_id",
    "data_centre",
    "kind",
    "model",
    "model_version",
    "layers",
    "services",
    "leaving",
    "checks_fencing",
)
_AUDIT_COLUMNS = ("index", "at", "actor", "kind", "subject", "detail")


def check_settings(
    settings_file: pathlib.Path, *, output: _output.Output = "table"
) -> None:
    """Check a settings file and list all its faults.

    :param settings_file: JSON settings of a daemon
    :param output: output format
    """
    if output == "json":
        _check_settings_as_json(settings_file)
        return
    cfg = _daemons.read_settings(settings_file)
    role = type(cfg).__name__.removesuffix("Settings").lower()
    print(f"{settings_file}: settings of {role} {cfg.id} are in order")


def _check_settings_as_json(settings_file: pathlib.Path) -> None:
    settings_result = settings.read(settings_file)
    faults = (
        () if settings_result.is_ok() else settings_result.unwrap_err().faults
    )
    listed = [
        {"field": fault.field, "problem": fault.problem} for fault in faults
    ]
    document = {"file": str(settings_file), "faults": listed}
    _output.print_document(document, "json")
    if faults:
        raise SystemExit(int(_exit.ExitCode.FAULTY_DOCUMENT))


def publish(
    note_file: pathlib.Path,
    *,
    output: _output.Output = "table",
) -> None:
    """Publish a release note; publishing the same note again is safe.

    :param note_file: the release note in JSON
    :param output: output format
    """
    body = _operator_client.read_file(note_file)
    accepted = _operator_client.send_request("POST", "/v1/notes", body)
    _output.print_document(accepted, output)


def note_status(
    number: int | None = None,
    *,
    output: _output.Output = "table",
) -> None:
    """Show if a release note is in force, on how many VMs, and which lag.

    :param number: number of the note; the default is the latest
    :param output: output format
    """
    note = "latest" if number is None else str(number)
    answer = _operator_client.send_request("GET", f"/v1/notes/{note}/status")
    _output.print_document(answer, output)


def note_show(
    number: int | None = None,
    *,
    output: _output.Output = "json",
) -> None:
    """Show an accepted release note, and the fleet in force for the latest.

    :param number: number of the note; the default is the latest
    :param output: output format
    """
    note = "latest" if number is None else str(number)
    answer = _operator_client.send_request("GET", f"/v1/notes/{note}")
    _output.print_document(answer, output)


def status(*, output: _output.Output = "table") -> None:
    """Show the VMs, the Raft leader and the note that each VM follows.

    :param output: output format
    """
    answer = _operator_client.send_request("GET", "/v1/status")
    if output == "json":
        _output.print_document(answer, output)
        return
    vms = answer.pop("vms")
    members = answer.pop("members")
    _output.print_document(answer, output)
    print()
    _output.print_rows(members, _MEMBER_COLUMNS, output)
    print()
    _output.print_rows(vms, _VM_COLUMNS, output)


def endpoints(*, output: _output.Output = "table") -> None:
    """List the endpoints that the control VMs know.

    :param output: output format
    """
    answer = _operator_client.send_request("GET", "/v1/endpoints")
    _output.print_rows(answer["endpoints"], _ENDPOINT_COLUMNS, output)


def audit(
    *,
    after: int = 0,
    limit: int = 100,
    output: _output.Output = "table",
) -> None:
    """List audit records: changes, orders, elections, joins and leaves.

    :param after: show only records after this log index
    :param limit: maximum number of records
    :param output: output format
    """
    path = f"/v1/audit?after={after}&limit={limit}"
    answer = _operator_client.send_request("GET", path)
    _output.print_rows(answer["records"], _AUDIT_COLUMNS, output)
