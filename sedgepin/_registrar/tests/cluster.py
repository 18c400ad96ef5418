"""Registrars on a fake clock and network, with disks that can be lost."""

import datetime
import random

import result

from sedgepin import _catalog as catalog
from sedgepin import _consensus as consensus
from sedgepin import _model as model
from sedgepin._placement.tests import test_plan
from sedgepin import _protocol as protocol
from sedgepin._registrar import _dialect
from sedgepin._registrar import _effects
from sedgepin._registrar import _events
from sedgepin._registrar import _reducer
from sedgepin._registrar import _settings
from sedgepin import _storage as storage
from sedgepin import _web as web
from sedgepin import errors
from sedgepin import events

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_STEP = datetime.timedelta(milliseconds=50)


class PlainDialect(_dialect.ControlDialect):
    """Documents are encoded configurations; calls are not needed."""

    def __init__(self) -> None:
        self.refuses_documents = False

    def parse_call(
        self, request: web.Request
    ) -> result.Result[_dialect.Call, errors.Failure]:
        raise NotImplementedError

    def parse_configuration(
        self, document: bytes
    ) -> result.Result[catalog.Configuration, errors.Failure]:
        if self.refuses_documents:
            return result.Err(errors.DocumentRefused("configuration", ()))
        return result.Ok(catalog.decode(document))

    def acknowledgement(self) -> tuple[web.AnswerHead, bytes]:
        raise NotImplementedError

    def configuration_response(
        self, document: bytes
    ) -> tuple[web.AnswerHead, bytes]:
        raise NotImplementedError

    def error_response(
        self, failure: errors.Failure
    ) -> tuple[web.AnswerHead, bytes]:
        raise NotImplementedError

    def report_request(self, address: str) -> web.Request:
        raise NotImplementedError

    def parse_report(
        self, head: web.AnswerHead, body: bytes
    ) -> result.Result[_events.EngineReport, errors.Failure]:
        raise NotImplementedError

    def layer_order_request(self, order: _effects.OrderLayers) -> web.Request:
        raise NotImplementedError

    def parse_order_response(
        self, order: _effects.OrderLayers, head: web.AnswerHead
    ) -> _events.LayerOrderAnswered:
        raise NotImplementedError


def document(version: int) -> bytes:
    return catalog.encode(catalog.Configuration(version, (), ()))


def model_document(version: int) -> bytes:
    """Return a configuration whose service ``s`` runs a model."""
    service = catalog.Service(
        model.ServiceName("s"), "/", 8, test_plan.make_profile()
    )
    return catalog.encode(catalog.Configuration(version, (), (service,)))


def registration(**changes: object) -> catalog.Registration:
    """Return the word of a plain endpoint, with some fields changed."""
    values: dict[str, object] = {
        "endpoint_id": model.EndpointId("e"),
        "incarnation": 1,
        "sequence": 1,
        "service": model.ServiceName("s"),
        "address": "127.0.0.1:80",
        "data_centre": model.DataCentreId("dc"),
        "state": catalog.EndpointState.READY,
    }
    return catalog.Registration(**{**values, **changes})  # type: ignore


class Cluster:
    """Control VMs ``a``, ``b``, ``c`` and one entry VM that listens."""

    def __init__(self, seeds: str = "abc") -> None:
        self.now = START
        self.seeds = tuple(model.VmId(one) for one in seeds)
        self.disks: dict[model.VmId, storage.MemoryDisk] = {}
        self.stores: dict[model.VmId, storage.LogStore] = {}
        self.up: dict[model.VmId, _reducer.RegistrarReducer] = {}
        self.cut: set[frozenset[model.VmId]] = set()
        self.outcomes: dict[int, _effects.RegistrarEffect] = {}
        self.entry: list[protocol.PeerMessage] = []
        self.engine_calls: list[_effects.RegistrarEffect] = []
        self.lines: list[events.LogLine] = []
        self.dialect = PlainDialect()
        self._next_id = 0
        self._mail: list[
            tuple[model.VmId, model.VmId, protocol.PeerMessage]
        ] = []
        for one in self.seeds:
            self.start(one, is_new_system=True)

    def start(self, vm_id: model.VmId, is_new_system: bool = False) -> None:
        """Start a VM with the disk that it had."""
        disk = self.disks.setdefault(vm_id, storage.MemoryDisk())
        rng = random.Random(f"{vm_id}{len(self.outcomes)}{self.now}")
        self.stores[vm_id] = storage.LogStore(disk, rng)
        recovered = self.stores[vm_id].open().unwrap()
        cfg = _settings.RegistrarSettings(
            vm_id=vm_id,
            data_centre=model.DataCentreId("dc"),
            listen="",
            data_folder="",
            seeds=self.seeds,
            is_new_system=is_new_system,
            heartbeat_interval=datetime.timedelta(milliseconds=1200),
        )
        reducer = _reducer.RegistrarReducer(
            cfg, self.dialect, recovered, rng, self.now
        )
        self.up[vm_id] = reducer
        for other in list(self.up):
            if other != vm_id and self._reaches(vm_id, other):
                self._connect(vm_id, other)
                self._connect(other, vm_id)

    def stop(self, vm_id: model.VmId, loses_disk: bool = False) -> None:
        """Stop a VM at once."""
        del self.up[vm_id]
        if loses_disk:
            del self.disks[vm_id]
        for other in list(self.up):
            self.handle(other, protocol.PeerDisconnected(vm_id))

    def listen(self, vm_id: model.VmId, data_centre: str = "dc") -> None:
        """Connect the entry VM, of a data centre, to a control VM."""
        hello = protocol.Hello(
            model.VmId("entry"),
            "entry",
            model.DataCentreId(data_centre),
            model.Incarnation(1),
        )
        self.handle(vm_id, protocol.PeerConnected(hello))

    def isolate(self, vm_id: model.VmId) -> None:
        """Let no message from or to a VM through."""
        for other in self.seeds:
            self.cut.add(frozenset((vm_id, other)))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + datetime.timedelta(seconds=seconds)
        while self.now < end:
            self.now += _STEP
            for vm_id in list(self.up):
                self.handle(vm_id, _events.TimerFired())
            self._deliver()

    def ask(
        self, vm_id: model.VmId, kind: type[_events.ConfigurationRead]
    ) -> int:
        """Read the configuration at a VM."""
        self._next_id += 1
        self.handle(vm_id, kind(self._next_id))
        self._deliver()
        return self._next_id

    def publish(self, vm_id: model.VmId, version: int) -> int:
        """Publish a configuration at a VM."""
        return self.publish_document(vm_id, document(version))

    def publish_document(self, vm_id: model.VmId, content: bytes) -> int:
        """Publish a configuration, as it is encoded, at a VM."""
        self._next_id += 1
        version = catalog.decode(content).version
        event = _events.ConfigurationSubmitted(self._next_id, version, content)
        self.handle(vm_id, event)
        self._deliver()
        return self._next_id

    def register(
        self, vm_id: model.VmId, registration: catalog.Registration
    ) -> int:
        """Let an endpoint register at a VM."""
        self._next_id += 1
        event = _events.EndpointRegistered(self._next_id, registration)
        self.handle(vm_id, event)
        self._deliver()
        return self._next_id

    def leader(self) -> model.VmId:
        """Return the VM that leads and holds its lease."""
        found = [
            vm_id
            for vm_id, reducer in self.up.items()
            if reducer.raft.lease_holds(self.now)
        ]
        assert len(found) == 1, found
        return found[0]

    def handle(self, vm_id: model.VmId, event: _events.RegistrarEvent) -> None:
        """Give a VM an event and carry out what follows."""
        for effect in self.up[vm_id].handle(event, self.now):
            match effect:
                case consensus.Persist(hard_state, truncate_from, entries):
                    self.stores[vm_id].append(
                        hard_state, truncate_from, entries
                    )
                case consensus.PersistSnapshot(snapshot, entries):
                    self.stores[vm_id].save_snapshot(snapshot, entries)
                case _effects.SendMessage(recipient, message):
                    self._mail.append((vm_id, recipient, message))
                case (
                    _effects.Acknowledge(exchange_id)
                    | _effects.ShowConfiguration(exchange_id)
                    | _effects.Refuse(exchange_id)
                ):
                    self.outcomes[exchange_id] = effect
                case _effects.InspectEngine() | _effects.OrderLayers():
                    self.engine_calls.append(effect)
                case _effects.WriteLog(line):
                    self.lines.append(line)

    def _connect(self, vm_id: model.VmId, other: model.VmId) -> None:
        hello = protocol.Hello(
            other, "control", model.DataCentreId("dc"), model.Incarnation(1)
        )
        self.handle(vm_id, protocol.PeerConnected(hello))

    def _reaches(self, one: model.VmId, other: model.VmId) -> bool:
        return frozenset((one, other)) not in self.cut

    def _deliver(self) -> None:
        while self._mail:
            sender, recipient, message = self._mail.pop(0)
            if recipient == "entry":
                self.entry.append(message)
            elif recipient in self.up and self._reaches(sender, recipient):
                arrived = protocol.PeerMessageReceived(sender, message)
                self.handle(recipient, arrived)
