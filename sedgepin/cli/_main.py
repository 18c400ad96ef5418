"""The subcommands of ``sedgepin``."""

import pathlib
import sys
import typing

import defopt

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


def entry(settings_file: pathlib.Path) -> None:
    """Run an entry VM's daemon until SIGTERM.

    :param settings_file: JSON settings of the daemon
    """
    from sedgepin import _entry

    cfg = _read_settings(settings_file)
    if not isinstance(cfg, settings.EntrySettings):
        _fail_role(settings_file, "an entry VM's")
    _entry.run(cfg)


def control(settings_file: pathlib.Path) -> None:
    """Run a control VM's daemon until SIGTERM.

    :param settings_file: JSON settings of the daemon
    """
    from sedgepin import _control

    cfg = _read_settings(settings_file)
    if not isinstance(cfg, settings.ControlSettings):
        _fail_role(settings_file, "a control VM's")
    _control.run(cfg)


def check_settings(settings_file: pathlib.Path) -> None:
    """Check a settings file and name every fault in it.

    :param settings_file: JSON settings of a daemon
    """
    cfg = _read_settings(settings_file)
    role = type(cfg).__name__.removesuffix("Settings").lower()
    print(f"{settings_file}: settings of {role} {cfg.id} are in order")


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
    accepted = _operator_client.ask("POST", "/v1/notes", body)
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
    found = _operator_client.ask("GET", f"/v1/notes/{wanted}/status")
    _output.print_document(found, output)


def note_show(
    number: int | None = None,
    *,
    output: _output.Output = "json",
) -> None:
    """Show an accepted note.

    :param number: the note's number; the latest if none is given
    :param output: table or json
    """
    wanted = "latest" if number is None else str(number)
    found = _operator_client.ask("GET", f"/v1/notes/{wanted}")
    _output.print_document(found, output)


def status(*, output: _output.Output = "table") -> None:
    """Show the VMs, the leader and the note that each VM follows.

    :param output: table or json
    """
    found = _operator_client.ask("GET", "/v1/status")
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
    found = _operator_client.ask("GET", "/v1/endpoints")
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
    found = _operator_client.ask("GET", path)
    _output.print_rows(found["records"], _AUDIT_COLUMNS, output)


def main(arguments: list[str] | None = None) -> int:
    """Run the command; return its exit code."""
    commands: dict[str, typing.Any] = {
        "entry": entry,
        "control": control,
        "check-settings": check_settings,
        "note": {
            "publish": publish,
            "status": note_status,
            "show": note_show,
        },
        "status": status,
        "endpoints": endpoints,
        "audit": audit,
    }
    given = sys.argv[1:] if arguments is None else arguments
    defopt.run(
        commands,
        argv=given,
        short={},
        argparse_kwargs={"prog": "sedgepin"},
    )
    return int(_exit.ExitCode.DONE)


def _read_settings(path: pathlib.Path) -> settings.Settings:
    read = settings.read(path)
    if read.is_err():
        _exit.fail(read.unwrap_err(), _exit.ExitCode.FAULTY_DOCUMENT)
    return read.unwrap()


def _fail_role(path: pathlib.Path, wanted: str) -> typing.NoReturn:
    print(f"{path}: these are not {wanted} settings", file=sys.stderr)
    raise SystemExit(int(_exit.ExitCode.FAULTY_DOCUMENT))
