"""HTTP client for the operator API of the control VMs."""

import dataclasses
import os
import pathlib
import time
import typing

import httpcore
import msgspec

from sedgepin import _http_client as http_client
from sedgepin.cli import _exit
from sedgepin import errors

CONTROLS_VARIABLE = "SEDGEPIN_CONTROLS"
CREDENTIAL_VARIABLE = "SEDGEPIN_CREDENTIAL"

# A frozen VM still accepts connections.  The next VM is tried after a second,
# and the whole list again until the retry timeout has passed.
_TIMEOUTS = {"connect": 1.0, "read": 1.0, "write": 1.0, "pool": 1.0}
_RETRY_TIMEOUT_SECONDS = 10.0
_RETRY_INTERVAL_SECONDS = 0.1
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
        """Return the tried addresses and the variable that sets them."""
        listed = ", ".join(self.tried) or "none named"
        return f"tried {listed}; set their addresses in {CONTROLS_VARIABLE}"


@dataclasses.dataclass(slots=True, frozen=True)
class ControlRefused(errors.Failure):
    """A control VM refused the request."""

    code: typing.ClassVar[str] = "control_refused"
    title: typing.ClassVar[str] = "The control VM refused"

    problem: str

    def detail(self) -> str:
        """Return the control VM's reason."""
        return self.problem


def send_request(method: str, path: str, body: bytes = b"") -> typing.Any:
    """Return the JSON answer of the first control VM that is available.

    A VM that does not answer, or answers 503 or invalid HTTP, is passed over.
    Sending to another VM after a lost answer is safe: a release note that is
    published again gets the answer of its first acceptance.  If no VM is
    available or one refuses, this prints the failure and exits.
    """
    addresses = os.environ.get(CONTROLS_VARIABLE, "").replace(",", " ").split()
    unavailable: bytes | None = None
    deadline = time.monotonic() + _RETRY_TIMEOUT_SECONDS
    with open_pool() as pool:
        while addresses and time.monotonic() < deadline:
            for address in addresses:
                response = send_to(pool, address, method, path, body)
                if response is None:
                    continue
                if response.status == _UNAVAILABLE_STATUS:
                    unavailable = response.content
                    continue
                return _decode_answer(response.status, response.content)
            time.sleep(_RETRY_INTERVAL_SECONDS)
    if unavailable is not None:
        return _decode_answer(_UNAVAILABLE_STATUS, unavailable)
    failure = ControlsUnreachable(tuple(addresses))
    _exit.exit_with_failure(failure, _exit.ExitCode.UNREACHABLE)


def open_pool(max_connections: int = 1) -> httpcore.ConnectionPool:
    """Return a pool that connects anew for each request.

    Nothing that a VM sends after a response can be taken for the next one.
    ``max_connections`` is the number of threads that use the pool: a request
    beyond it would wait for another VM and could time out.
    """
    return httpcore.ConnectionPool(
        max_connections=max_connections,
        max_keepalive_connections=0,
        network_backend=http_client.CheckedBackend(),
    )


def read_file(path: pathlib.Path) -> bytes:
    """Return the content of ``path``, or print the failure and exit."""
    try:
        return path.read_bytes()
    except OSError as exc:
        fault = errors.FieldFault("$", exc.strerror or "cannot be read")
        failure = errors.DocumentRefused(str(path), (fault,))
        _exit.exit_with_failure(failure, _exit.ExitCode.FAULTY_DOCUMENT)


def is_address(address: str) -> bool:
    """Return whether ``address`` is a URL, or a host with or without port."""
    try:
        url = httpcore.URL(_base_url(address))
        host = url.host.decode("ascii")
        host.encode("idna")
    except (TypeError, ValueError):
        return False
    return bool(host)


def send_to(
    pool: httpcore.ConnectionPool,
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
) -> httpcore.Response | None:
    """Return a VM's response, or ``None`` if it sends no valid one in time.

    A wrong address has no response either.
    """
    if not is_address(address):
        return None
    credential = os.environ.get(CREDENTIAL_VARIABLE, "")
    headers = [("content-type", "application/json")]
    if credential:
        headers.append(("authorization", f"Bearer {credential}"))
    try:
        return pool.request(
            method,
            _base_url(address) + path,
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


def _base_url(address: str) -> str:
    return address if "://" in address else f"http://{address}"


def _decode_answer(status: int, content: bytes) -> typing.Any:
    document = msgspec.json.decode(content)
    if status < _LOWEST_ERROR_STATUS:
        return document
    faults = tuple(
        errors.FieldFault(fault["field"], fault["problem"])
        for fault in document.get("faults", ())
    )
    if status == _FAULTS_STATUS and faults:
        failure = errors.DocumentRefused("note", faults)
        _exit.exit_with_failure(failure, _exit.ExitCode.FAULTY_DOCUMENT)
    code = document.get("code") or document.get("error")
    reason = f"{code}: {document.get('detail')}"
    _exit.exit_with_failure(ControlRefused(reason), _exit.ExitCode.REFUSED)
