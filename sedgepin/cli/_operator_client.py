"""Asking the control VMs, one after the other until one answers."""

import dataclasses
import os
import pathlib
import time
import typing

import httpcore
import msgspec

from sedgepin.cli import _exit
from sedgepin import errors

CONTROLS_VARIABLE = "SEDGEPIN_CONTROLS"
CREDENTIAL_VARIABLE = "SEDGEPIN_CREDENTIAL"

# A frozen VM still takes connections: the next is asked after a second, and
# all of them again until this much time has passed.
_TIMEOUTS = {"connect": 1.0, "read": 1.0, "write": 1.0, "pool": 1.0}
_PATIENCE_SECONDS = 10.0
_PAUSE_SECONDS = 0.1
_LOWEST_ERROR_STATUS = 400
_UNAVAILABLE_STATUS = 503
_FAULTS_STATUS = 422


@dataclasses.dataclass(slots=True, frozen=True)
class ControlsUnreachable(errors.Failure):
    """No control VM answered."""

    code: typing.ClassVar[str] = "controls_unreachable"
    title: typing.ClassVar[str] = "No control VM answered"
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    tried: tuple[str, ...]

    def detail(self) -> str:
        """Return the addresses that were tried."""
        listed = ", ".join(self.tried) or "none named"
        return f"tried {listed}; name them in {CONTROLS_VARIABLE}"


@dataclasses.dataclass(slots=True, frozen=True)
class ControlRefused(errors.Failure):
    """A control VM refused what was asked."""

    code: typing.ClassVar[str] = "control_refused"
    title: typing.ClassVar[str] = "The control VM refused"

    problem: str

    def detail(self) -> str:
        """Return the control VM's reason."""
        return self.problem


def send_request(method: str, path: str, body: bytes = b"") -> typing.Any:
    """Return the JSON answer of the first control VM that gives one.

    Asking another after a lost answer is safe: a note that is sent again
    gets its first acceptance.  Ends the process with a typed failure where
    none answers or one refuses.
    """
    addresses = os.environ.get(CONTROLS_VARIABLE, "").replace(",", " ").split()
    unavailable: bytes | None = None
    gives_up_at = time.monotonic() + _PATIENCE_SECONDS
    with httpcore.ConnectionPool() as pool:
        while addresses and time.monotonic() < gives_up_at:
            for address in addresses:
                answered = _ask_one(pool, address, method, path, body)
                if answered is None:
                    continue
                if answered.status == _UNAVAILABLE_STATUS:
                    unavailable = answered.content
                    continue
                return _read(answered.status, answered.content)
            time.sleep(_PAUSE_SECONDS)
    if unavailable is not None:
        return _read(_UNAVAILABLE_STATUS, unavailable)
    failure = ControlsUnreachable(tuple(addresses))
    _exit.fail(failure, _exit.ExitCode.UNREACHABLE)


def read_file(path: pathlib.Path) -> bytes:
    """Return what is in ``path``, or end with a typed failure."""
    try:
        return path.read_bytes()
    except OSError as exc:
        fault = errors.FieldFault("$", exc.strerror or "cannot be read")
        failure = errors.DocumentRefused(str(path), (fault,))
        _exit.fail(failure, _exit.ExitCode.FAULTY_DOCUMENT)


def _ask_one(
    pool: httpcore.ConnectionPool,
    address: str,
    method: str,
    path: str,
    body: bytes,
) -> httpcore.Response | None:
    base = address if "://" in address else f"http://{address}"
    credential = os.environ.get(CREDENTIAL_VARIABLE, "")
    headers = [("content-type", "application/json")]
    if credential:
        headers.append(("authorization", f"Bearer {credential}"))
    try:
        return pool.request(
            method,
            base + path,
            headers=headers,
            content=body,
            extensions={"timeout": _TIMEOUTS},
        )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        httpcore.UnsupportedProtocol,
    ):
        return None


def _read(status: int, content: bytes) -> typing.Any:
    document = msgspec.json.decode(content)
    if status < _LOWEST_ERROR_STATUS:
        return document
    faults = tuple(
        errors.FieldFault(fault["field"], fault["problem"])
        for fault in document.get("faults", ())
    )
    if status == _FAULTS_STATUS and faults:
        refused = errors.DocumentRefused("note", faults)
        _exit.fail(refused, _exit.ExitCode.FAULTY_DOCUMENT)
    told = f"{document.get('code')}: {document.get('detail')}"
    _exit.fail(ControlRefused(told), _exit.ExitCode.REFUSED)
