"""The settings of the daemons, read from one JSON file per process.

``docs/SETTINGS.md`` is generated from these classes, and a test compares
them.  A settings file has no secrets: credentials are given by the
hexadecimal SHA-256 of the secret, and private keys by file paths.
"""

import collections
import enum
import pathlib
import typing

import msgspec
import result

from sedgepin import _work as work
from sedgepin import documents
from sedgepin import errors

_Name = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
]
_Address = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-fA-F:]+\]):[0-9]{1,5}$"
    ),
]
_Ipv4Address = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")
]
_Digest = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
_PositiveInt = typing.Annotated[int, msgspec.Meta(gt=0)]
_PositiveFloat = typing.Annotated[float, msgspec.Meta(gt=0)]
_NonNegativeFloat = typing.Annotated[float, msgspec.Meta(ge=0)]
# A message that takes turns has more than 32.
_ExcessPieces = typing.Annotated[int, msgspec.Meta(ge=64)]
# More would let a turn of the event loop take as long as a crowd is large.
_ArrivalsAtOnce = typing.Annotated[int, msgspec.Meta(gt=0, le=1_024)]
_WORK = work.WorkLimits()
# The end of a grace period, in which an entry VM answers what is open, and
# its process ends.
GRACE_END_SECONDS = 1.0


class LogFormat(enum.Enum):
    """The format of log lines."""

    TEXT = "text"
    JSON = "json"


class LogLevel(enum.Enum):
    """The lowest level that is logged."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


class Peer(msgspec.Struct, frozen=True, kw_only=True):
    """Another process of the system: its name, address and data centre."""

    id: _Name
    address: _Address
    data_centre: _Name


class Tls(msgspec.Struct, frozen=True, kw_only=True):
    """PEM files for mutual TLS between processes of the system."""

    certificate: str
    key: str
    authority: str


class CallerTls(msgspec.Struct, frozen=True, kw_only=True):
    """PEM files of the server certificate for callers or operators."""

    certificate: str
    key: str


class Statsd(msgspec.Struct, frozen=True, kw_only=True):
    """The statsd server that metrics are sent to over UDP."""

    address: _Address
    prefix: str = "sedgepin"


class Log(msgspec.Struct, frozen=True, kw_only=True):
    """Format and level of the log, which goes to standard error."""

    format: LogFormat = LogFormat.TEXT
    level: LogLevel = LogLevel.INFO


class Customer(msgspec.Struct, frozen=True, kw_only=True):
    """A customer: the digest of its credential, its weight and limit."""

    id: _Name
    credential_sha256: _Digest
    weight: _PositiveFloat = 1.0
    open_requests: _PositiveInt = 256


class Operator(msgspec.Struct, frozen=True, kw_only=True):
    """A person or program that may publish notes and read the audit log."""

    id: _Name
    credential_sha256: _Digest


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a single request and of all open requests together."""

    body_bytes: _PositiveInt = 1_048_576
    header_bytes: _PositiveInt = 16_384
    answer_bytes: _PositiveInt = 4_194_304
    request_seconds: _PositiveFloat = 300.0
    open_requests: _PositiveInt = 4096
    generated_tokens: _PositiveInt = 4096


class Drain(msgspec.Struct, frozen=True, kw_only=True):
    """Shutdown of a daemon.

    For ``notice_seconds`` after SIGTERM, new requests are still accepted but
    ``/readyz`` answers 503, so that the load balancer can stop sending
    requests before they are refused.

    ``grace_seconds`` is the time from SIGTERM until the supervisor of an entry
    VM ends its process.  Shortly before, all that is open is answered as
    unknown, or as not run if it was sent to no endpoint.  Without it the VM
    waits for its longest request.
    """

    notice_seconds: _NonNegativeFloat = 5.0
    grace_seconds: _PositiveFloat | None = None


class Targets(msgspec.Struct, frozen=True, kw_only=True):
    """What completions are late beyond, for counts; nothing by default.

    ``first_token_milliseconds`` is the time until the first token, and
    ``pause_milliseconds`` the time between two.  No decision follows.
    """

    first_token_milliseconds: _PositiveInt | None = None
    pause_milliseconds: _PositiveInt | None = None


class Memory(msgspec.Struct, frozen=True, kw_only=True):
    """The bytes that are held for callers, endpoints and peers together.

    Without ``held_bytes``, a fifth of the VM's memory.
    """

    held_bytes: _PositiveInt | None = None


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """The work that connections may cause before some of it is refused.

    ``waiting_messages`` in small pieces wait for processor time; the costliest
    of more is refused.  A message is refused, too, with more than
    ``excess_pieces`` beyond one for each 16 bytes.  In a turn of the event
    loop ``arrivals_at_once`` heads begin, and each listener accepts as many
    connections as they leave of that number, and half of it at least.
    """

    waiting_messages: _PositiveInt = _WORK.waiting_messages
    excess_pieces: _ExcessPieces = _WORK.excess_pieces
    arrivals_at_once: _ArrivalsAtOnce = _WORK.arrivals_at_once

    @property
    def limits(self) -> work.WorkLimits:
        """Return the limits."""
        return work.WorkLimits(
            self.waiting_messages, self.excess_pieces, self.arrivals_at_once
        )


class _Common(msgspec.Struct, frozen=True, kw_only=True):
    id: _Name
    data_centre: _Name
    peer_listen: _Address
    controls: typing.Annotated[
        tuple[Peer, ...], msgspec.Meta(min_length=1, max_length=18)
    ]
    tls: Tls | None = None
    statsd: Statsd | None = None
    log: Log = Log()
    drain: Drain = Drain()
    memory: Memory = Memory()
    work: Work = Work()


class EntrySettings(_Common, frozen=True, kw_only=True):
    """Settings of ``sedgepin entry``.

    ``forward_listen`` is where other entry VMs reach this one to have their
    requests carried to endpoints, while their own links are broken.  Without
    it a VM neither forwards nor lets others forward.  ``operators`` may read
    the service levels of its customers.
    """

    caller_listen: _Address
    forward_listen: _Ipv4Address | None = None
    caller_tls: CallerTls | None = None
    entries: tuple[Peer, ...] = ()
    customers: typing.Annotated[
        tuple[Customer, ...], msgspec.Meta(min_length=1)
    ]
    endpoint_credential_sha256: _Digest | None = None
    limits: Limits = Limits()
    operators: tuple[Operator, ...] = ()
    targets: Targets = Targets()


class ControlSettings(_Common, frozen=True, kw_only=True):
    """Settings of ``sedgepin control``."""

    operator_listen: _Address
    operator_tls: CallerTls | None = None
    data_folder: str
    operators: typing.Annotated[
        tuple[Operator, ...], msgspec.Meta(min_length=1)
    ]
    order_credential_file: str | None = None
    loads_per_second: _PositiveFloat = 2.0
    write_retention_hours: _PositiveInt = 24


Settings: typing.TypeAlias = EntrySettings | ControlSettings

_Role: typing.TypeAlias = type[EntrySettings] | type[ControlSettings]


def read(
    path: pathlib.Path,
) -> result.Result[Settings, errors.DocumentRefused]:
    """Return the validated settings in the file ``path``, or all faults.

    A file with ``operator_listen`` or ``data_folder`` has the settings of a
    control VM, any other file those of an entry VM.
    """
    try:
        raw = path.read_bytes()
    except OSError as exc:
        fault = errors.FieldFault("$", exc.strerror or "cannot be read")
        return result.Err(errors.DocumentRefused(str(path), (fault,)))
    return parse(raw, str(path))


def parse(
    raw: bytes, document: str
) -> result.Result[Settings, errors.DocumentRefused]:
    """Return the validated settings in ``raw``, or all faults.

    ``document`` names the document in the failure.
    """
    role: _Role = EntrySettings
    if b'"operator_listen"' in raw or b'"data_folder"' in raw:
        role = ControlSettings
    decoded = documents.decode(raw, role, document)
    if isinstance(decoded, result.Err):
        return decoded
    faults = _check_between_fields(decoded.ok_value)
    if faults:
        return result.Err(errors.DocumentRefused(document, tuple(faults)))
    return result.Ok(decoded.ok_value)


def _check_between_fields(cfg: Settings) -> list[errors.FieldFault]:
    faults = _find_duplicates("controls", [peer.id for peer in cfg.controls])
    if isinstance(cfg, EntrySettings):
        faults += _find_duplicates(
            "entries", [peer.id for peer in cfg.entries]
        )
        faults += _find_duplicates(
            "customers", [customer.id for customer in cfg.customers]
        )
        faults += _find_duplicates(
            "operators", [operator.id for operator in cfg.operators]
        )
        digests = [customer.credential_sha256 for customer in cfg.customers]
        faults += _find_duplicates("customers.credential_sha256", digests)
        return faults + _check_forwarding(cfg) + _check_drain(cfg.drain)
    faults += _find_duplicates(
        "operators", [operator.id for operator in cfg.operators]
    )
    if cfg.id not in {peer.id for peer in cfg.controls}:
        problem = f"must include this process, {cfg.id}"
        faults.append(errors.FieldFault("controls", problem))
    return faults


def _check_forwarding(cfg: EntrySettings) -> list[errors.FieldFault]:
    """Return the faults of an address that other entry VMs must not use."""
    field, address = "forward_listen", cfg.forward_listen
    if address is None:
        return []
    faults = []
    if address.startswith("0.0.0.0:"):
        problem = f"{address} is no address that other VMs can connect to"
        faults.append(errors.FieldFault(field, problem))
    if cfg.tls is not None:
        problem = "is not possible with tls, as forwarding is not encrypted"
        faults.append(errors.FieldFault(field, problem))
    return faults


def _check_drain(drain: Drain) -> list[errors.FieldFault]:
    """Return the fault of a grace period that leaves no time for answers."""
    least = drain.notice_seconds + GRACE_END_SECONDS
    if drain.grace_seconds is None or drain.grace_seconds >= least:
        return []
    problem = (
        f"is {drain.grace_seconds}, must be at least {least}: notice_seconds"
        f" and {GRACE_END_SECONDS} s to end what is open"
    )
    return [errors.FieldFault("drain.grace_seconds", problem)]


def _find_duplicates(field: str, values: list[str]) -> list[errors.FieldFault]:
    counts = collections.Counter(values)
    return [
        errors.FieldFault(field, f"{value} occurs {count} times")
        for value, count in counts.items()
        if count > 1
    ]


def render_page() -> str:
    """Return the content of ``docs/SETTINGS.md``."""
    lines = [
        "# Settings",
        "",
        "Made from `sedgepin/settings.py` by `python -m sedgepin.settings`.",
        "One JSON file a process. `sedgepin check-settings FILE` names every",
        "fault. Addresses are `IP:port`; unknown fields are faults.",
    ]
    struct_types: list[type[msgspec.Struct]] = [EntrySettings, ControlSettings]
    for struct_type in struct_types:
        lines += _render_struct(struct_type)
        for field in msgspec.structs.fields(struct_type):
            inner = documents.nested_struct(field.type)
            if inner is not None and inner not in struct_types:
                struct_types.append(inner)
    return "\n".join(lines) + "\n"


def _render_struct(struct_type: type[msgspec.Struct]) -> list[str]:
    summary = (struct_type.__doc__ or "").strip().partition("\n")[0]
    lines = ["", f"## {struct_type.__name__}", "", summary, ""]
    lines += ["| field | type | default |", "|---|---|---|"]
    for field in msgspec.structs.fields(struct_type):
        default = "required" if field.required else _render_default(field)
        type_text = documents.type_name(field.type).replace("|", "\\|")
        lines.append(f"| `{field.name}` | {type_text} | {default} |")
    return lines


def _render_default(field: msgspec.structs.FieldInfo) -> str:
    if isinstance(field.default, msgspec.Struct):
        return "all defaults"
    return f"`{msgspec.json.encode(field.default).decode()}`"


if __name__ == "__main__":
    print(render_page(), end="")
