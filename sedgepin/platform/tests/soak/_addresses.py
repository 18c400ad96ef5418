"""Loopback addresses of all programs, engines and proxies of one run.

Clients connect to a proxy's address; the program behind the proxy listens on
the same port of another address.
"""

import dataclasses
import pathlib

_PEER_PORT = 7340
_CONTROL_PORT = 8229
_CALLER_PORT = 8227
_READY_PORT = 8220
_ENGINE_PORT = 8080
METRICS_PORT = 9464
# Third byte of proxies' addresses and of the addresses behind them.
_PROXY_OCTETS = {"control": 1, "entry": 2, "engine": 3}
_LISTEN_OCTETS = {"control": 11, "entry": 12, "engine": 13}
_ZONES = ("one", "two", "three")


@dataclasses.dataclass(slots=True, frozen=True)
class Addresses:
    """Addresses of one lane; runs in different lanes can be concurrent."""

    lane: int
    counts: dict[str, int]

    def proxy_address(self, role: str, number: int, port: int) -> str:
        """Return the address of the proxy, which clients connect to."""
        return f"127.{self.lane}.{_PROXY_OCTETS[role]}.{number}:{port}"

    def listen_address(self, role: str, number: int, port: int) -> str:
        """Return the address where the program itself listens."""
        return f"127.{self.lane}.{_LISTEN_OCTETS[role]}.{number}:{port}"

    def zone(self, number: int) -> str:
        """Return the data centre of the VM or engine with a number."""
        return _ZONES[number % len(_ZONES)]

    def control_addresses(self) -> list[str]:
        """Return the addresses of the control VMs' HTTP interface."""
        return [
            self.proxy_address("control", number, _CONTROL_PORT)
            for number in range(1, self.counts["control"] + 1)
        ]

    def entry_address(self, number: int) -> str:
        """Return the address where callers reach an entry VM."""
        return self.proxy_address("entry", number, _CALLER_PORT)

    def readiness_address(self, number: int) -> str:
        """Return the address of an entry VM's readiness check."""
        return self.listen_address("entry", number, _READY_PORT)

    def metrics_address(self, number: int) -> str:
        """Return the address of an entry VM's metrics."""
        return self.proxy_address("entry", number, METRICS_PORT)

    def engine_address(self, number: int) -> str:
        """Return the address where entry VMs reach an engine."""
        return self.proxy_address("engine", number, _ENGINE_PORT)

    def proxied_addresses(self) -> dict[str, tuple[str, str]]:
        """Return each proxy's own and target address by its name."""
        pairs_by_name: dict[str, tuple[str, str]] = {}
        ports = (
            ("control", "peers", _PEER_PORT),
            ("control", "calls", _CONTROL_PORT),
            ("entry", "front", _CALLER_PORT),
            ("engine", "work", _ENGINE_PORT),
        )
        for role, purpose, port in ports:
            for number in range(1, self.counts.get(role, 0) + 1):
                pairs_by_name[f"{role}-{number} {purpose}"] = (
                    self.proxy_address(role, number, port),
                    self.listen_address(role, number, port),
                )
        return pairs_by_name

    def settings(
        self, role: str, number: int, data: pathlib.Path, is_first_start: bool
    ) -> str:
        """Return the text of a program's settings file."""
        host = self.proxy_address(role, number, 0).partition(":")[0]
        seeds = ", ".join(
            f'"{address}"' for address in self.control_addresses()
        )
        peer_port = _PEER_PORT if role == "control" else _PEER_PORT + 1
        return f"""
nodeName = "{role}-{number}"
ip = "{host}"
zone = "{self.zone(number)}"
internalPorts = [{_PEER_PORT}, {_PEER_PORT + 15}]
seeds = [{seeds}]
bootstrap = {str(is_first_start).lower()}
dataDir = "{data}"
heartbeatMs = 600
[listen]
control = "{self.listen_address("control", number, _CONTROL_PORT)}"
front = "{self.listen_address("entry", number, _CALLER_PORT)}"
ready = "{self.readiness_address(number)}"
peers = "{self.listen_address(role, number, peer_port)}"
[bounds]
graceS = 6
retryBudgetRatio = 0.2
budgetMinRetries = 30
budgetWindowS = 10
"""
