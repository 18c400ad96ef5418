"""The platform's settings file."""

import datetime
import pathlib
import typing

import msgspec
import result

from sedgepin import _memory as memory
from sedgepin import _model as model
from sedgepin import _pace as pace
from sedgepin import _work as work
from sedgepin import errors

# A process needs only the package of its role, and loads only that.
if typing.TYPE_CHECKING:
    from sedgepin import _gateway as gateway
    from sedgepin import _registrar as registrar

_WORK = work.WorkLimits()
_MEGABYTE = 1_000_000

SETTINGS_VARIABLE = "SEDGEPIN_NODE_FILE"

_Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]


class _Listen(msgspec.Struct, frozen=True):
    front: str = ""
    ready: str = ""
    control: str = ""
    # An addition to the platform's file format: the address on which to listen
    # for peers, if it differs from the one that they connect to (NAT).
    peers: str | None = None


class _Bounds(msgspec.Struct, frozen=True, rename="camel"):
    retry_budget_ratio: float = 0.0
    budget_min_retries: float = 0.0
    budget_window_s: typing.Annotated[float, msgspec.Meta(gt=0)] = (
        msgspec.field(default=10.0, name="budgetWindowS")
    )
    grace_s: typing.Annotated[float, msgspec.Meta(gt=0)] = msgspec.field(
        default=8.0, name="graceS"
    )


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    memory_mb: typing.Annotated[float, msgspec.Meta(gt=0)] | None = None


class _Pace(msgspec.Struct, frozen=True, rename="camel"):
    # An addition to the platform's file format: how many requests of all entry
    # VMs an endpoint that has just started may have unanswered; 0 for any.
    smallest_limit: typing.Annotated[int, msgspec.Meta(ge=0)] = (
        pace.SMALLEST_LIMIT
    )


class _Work(msgspec.Struct, frozen=True, rename="camel"):
    # An addition to the platform's file format, as ``work`` of the product's
    # own settings.
    waiting_messages: typing.Annotated[int, msgspec.Meta(ge=1)] = (
        _WORK.waiting_messages
    )
    excess_pieces: typing.Annotated[int, msgspec.Meta(ge=64)] = (
        _WORK.excess_pieces
    )
    arrivals_at_once: typing.Annotated[int, msgspec.Meta(ge=1, le=1_024)] = (
        _WORK.arrivals_at_once
    )

    @property
    def limits(self) -> work.WorkLimits:
        return work.WorkLimits(
            self.waiting_messages, self.excess_pieces, self.arrivals_at_once
        )


class NodeSettings(msgspec.Struct, frozen=True, rename="camel"):
    """The fields of the settings file that sedgepin uses.

    ``seeds`` are the addresses at which control VMs accept calls from
    operators and endpoints.  Entry and control VMs connect to each other at
    the first of ``internal_ports``, and entry VMs to each other at the second.
    """

    node_name: str
    ip: str
    zone: str
    internal_ports: typing.Annotated[
        tuple[_Port, ...], msgspec.Meta(min_length=2)
    ]
    seeds: tuple[str, ...]
    heartbeat_ms: typing.Annotated[float, msgspec.Meta(gt=0)]
    listen: _Listen
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    pace: _Pace = _Pace()
    work: _Work = _Work()
    bootstrap: bool = False
    data_dir: str = ""

    @property
    def _vm_id(self) -> model.VmId:
        return model.VmId(f"{self.ip}:{self.internal_ports[0]}")

    @property
    def _control_vms(self) -> tuple[model.VmId, ...]:
        port = self.internal_ports[0]
        hosts = (seed.rpartition(":")[0] for seed in self.seeds)
        return tuple(model.VmId(f"{host}:{port}") for host in hosts)

    @property
    def _heartbeat(self) -> datetime.timedelta:
        return datetime.timedelta(milliseconds=self.heartbeat_ms)

    @property
    def _held_bytes(self) -> int:
        memory_mb = self.limits.memory_mb
        if memory_mb is None:
            return memory.default_held_bytes()
        return memory.held_bytes_for(int(memory_mb * _MEGABYTE))

    def _metrics_listen(self, port: int | None) -> str | None:
        return None if port is None else f"{self.ip}:{port}"

    def registrar_settings(
        self, metrics_port: int | None = None
    ) -> "registrar.RegistrarSettings":
        """Return the settings of a control VM."""
        from sedgepin import _registrar as registrar

        return registrar.RegistrarSettings(
            vm_id=self._vm_id,
            data_centre=model.DataCentreId(self.zone),
            listen=self.listen.control,
            data_folder=self.data_dir,
            seeds=self._control_vms,
            is_new_system=self.bootstrap,
            heartbeat_interval=self._heartbeat,
            metrics_listen=self._metrics_listen(metrics_port),
            peer_listen=self.listen.peers,
            held_bytes=self._held_bytes,
            grace_period=datetime.timedelta(seconds=self.bounds.grace_s),
            smallest_pace_limit=self.pace.smallest_limit,
            work_limits=self.work.limits,
        )

    def gateway_settings(
        self, metrics_port: int | None = None
    ) -> "gateway.GatewaySettings":
        """Return the settings of an entry VM."""
        from sedgepin import _gateway as gateway

        bounds = self.bounds
        return gateway.GatewaySettings(
            vm_id=self._vm_id,
            data_centre=model.DataCentreId(self.zone),
            listen=self.listen.front,
            ready_listen=self.listen.ready,
            controls=self._control_vms,
            retries=gateway.RetrySettings(
                bounds.retry_budget_ratio,
                bounds.budget_min_retries,
                datetime.timedelta(seconds=bounds.budget_window_s),
            ),
            heartbeat_interval=self._heartbeat,
            grace_period=datetime.timedelta(seconds=bounds.grace_s),
            metrics_listen=self._metrics_listen(metrics_port),
            peer_listen=self.listen.peers,
            held_bytes=self._held_bytes,
            forward_address=f"{self.ip}:{self.internal_ports[1]}",
            work_limits=self.work.limits,
        )


def read(
    path: pathlib.Path,
) -> result.Result[NodeSettings, errors.DocumentRefused]:
    """Return the settings, or why the file cannot be read or decoded."""
    try:
        return result.Ok(
            msgspec.toml.decode(path.read_bytes(), type=NodeSettings)
        )
    except (OSError, msgspec.MsgspecError) as exc:
        fault = errors.FieldFault(str(path), str(exc))
        return result.Err(errors.DocumentRefused("settings", (fault,)))
