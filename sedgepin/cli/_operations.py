"""The subcommands for operators."""

import pathlib

from sedgepin.cli import _daemons
from sedgepin.cli import _exit
from sedgepin.cli import _operator_client
from sedgepin.cli import _output
from sedgepin import settings

_MEMBER_COLUMNS = ("vm", "disk", "votes")
_STATUS_COLUMNS = (
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
    """Check a settings file and name every fault in it.

    :param settings_file: JSON settings of a daemon
    :param output: table or json
    """
    if output == "json":
        _check_as_document(settings_file)
        return
    cfg = _daemons.read_settings(settings_file)
    role = type(cfg).__name__.removesuffix("Settings").lower()
    print(f"{settings_file}: settings of {role} {cfg.id} are in order")


def _check_as_document(settings_file: pathlib.Path) -> None:
    read = settings.read(settings_file)
    faults = () if read.is_ok() else read.unwrap_err().faults
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
    """Publish a release note; sending the same note again is safe.

    :param note_file: the note, in JSON
    :param output: table or json
    """
    body = _operator_client.read_file(note_file)
    accepted = _operator_client.send_request("POST", "/v1/notes", body)
    _output.print_document(accepted, output)


def note_status(
    number: int | None = None,
    *,
    output: _output.Output = "table",
) -> None:
    """Say whether a note is in force, on how many VMs, and which lag.

    :param number: the note's number; the latest if none is given
    :param output: table or json
    """
    wanted = "latest" if number is None else str(number)
    found = _operator_client.send_request("GET", f"/v1/notes/{wanted}/status")
    _output.print_document(found, output)


def note_show(
    number: int | None = None,
    *,
    output: _output.Output = "json",
) -> None:
    """Show an accepted note; with the latest, the fleet in force.

    :param number: the note's number; the latest if none is given
    :param output: table or json
    """
    wanted = "latest" if number is None else str(number)
    found = _operator_client.send_request("GET", f"/v1/notes/{wanted}")
    _output.print_document(found, output)


def status(*, output: _output.Output = "table") -> None:
    """Show the VMs, the leader and the note that each VM follows.

    :param output: table or json
    """
    found = _operator_client.send_request("GET", "/v1/status")
    if output == "json":
        _output.print_document(found, output)
        return
    vms = found.pop("vms")
    members = found.pop("members")
    _output.print_document(found, output)
    print()
    _output.print_rows(members, _MEMBER_COLUMNS, output)
    print()
    _output.print_rows(vms, _STATUS_COLUMNS, output)


def endpoints(*, output: _output.Output = "table") -> None:
    """List the endpoints that announce themselves.

    :param output: table or json
    """
    found = _operator_client.send_request("GET", "/v1/endpoints")
    _output.print_rows(found["endpoints"], _ENDPOINT_COLUMNS, output)


def audit(
    *,
    after: int = 0,
    limit: int = 100,
    output: _output.Output = "table",
) -> None:
    """List accepted changes, orders, elections, joins and leaves.

    :param after: only records after this index of the log
    :param limit: how many records at most
    :param output: table or json
    """
    path = f"/v1/audit?after={after}&limit={limit}"
    found = _operator_client.send_request("GET", path)
    _output.print_rows(found["records"], _AUDIT_COLUMNS, output)
