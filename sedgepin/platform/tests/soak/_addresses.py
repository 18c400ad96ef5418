"""Where everything of one day listens, all on the loopback.

Each address that others know is a proxy's; what is behind it listens on the
same port of another address.
"""

import dataclasses
import pathlib

_PEER_PORT = 7340
_CALL_PORT = 8229
_FRONT_PORT = 8227
_READY_PORT = 8220
_ENGINE_PORT = 8080
# Third byte of the addresses that are known, and of those behind proxies.
_KNOWN = {"control": 1, "entry": 2, "engine": 3}
_BEHIND = {"control": 11, "entry": 12, "engine": 13}
_ZONES = ("one", "two", "three")


@dataclasses.dataclass(slots=True, frozen=True)
class Addresses:
    """The addresses of one lane; days of different lanes run side by side."""

    lane: int
    counts: dict[str, int]

    def known(self, role: str, number: int, port: int) -> str:
        """Return the address that others know."""
        return f"127.{self.lane}.{_KNOWN[role]}.{number}:{port}"

    def behind(self, role: str, number: int, port: int) -> str:
        """Return the address that a proxy forwards to."""
        return f"127.{self.lane}.{_BEHIND[role]}.{number}:{port}"

    def zone(self, number: int) -> str:
        """Return the data centre of whatever has a number."""
        return _ZONES[number % len(_ZONES)]

    def calls(self) -> list[str]:
        """Return where operators and engines call control VMs."""
        return [
            self.known("control", number, _CALL_PORT)
            for number in range(1, self.counts["control"] + 1)
        ]

    def front(self, number: int) -> str:
        """Return where callers reach an entry VM."""
        return self.known("entry", number, _FRONT_PORT)

    def ready(self, number: int) -> str:
        """Return where an entry VM tells whether it is ready."""
        return self.behind("entry", number, _READY_PORT)

    def engine(self, number: int) -> str:
        """Return where entries reach an engine."""
        return self.known("engine", number, _ENGINE_PORT)

    def pairs(self) -> dict[str, tuple[str, str]]:
        """Return every proxy's two addresses, by a name for reports."""
        found: dict[str, tuple[str, str]] = {}
        ports = (
            ("control", "peers", _PEER_PORT),
            ("control", "calls", _CALL_PORT),
            ("entry", "front", _FRONT_PORT),
            ("engine", "work", _ENGINE_PORT),
        )
        for role, what, port in ports:
            for number in range(1, self.counts.get(role, 0) + 1):
                found[f"{role}-{number} {what}"] = (
                    self.known(role, number, port),
                    self.behind(role, number, port),
                )
        return found

    def settings(
        self, role: str, number: int, data: pathlib.Path, is_new: bool
    ) -> str:
        """Return the settings file of a program."""
        host = self.known(role, number, 0).partition(":")[0]
        seeds = ", ".join(f'"{one}"' for one in self.calls())
        peer_port = _PEER_PORT if role == "control" else _PEER_PORT + 1
        return f"""
nodeName = "{role}-{number}"
ip = "{host}"
zone = "{self.zone(number)}"
internalPorts = [{_PEER_PORT}, {_PEER_PORT + 15}]
seeds = [{seeds}]
bootstrap = {str(is_new).lower()}
dataDir = "{data}"
heartbeatMs = 600
[listen]
control = "{self.behind("control", number, _CALL_PORT)}"
front = "{self.behind("entry", number, _FRONT_PORT)}"
ready = "{self.ready(number)}"
peers = "{self.behind(role, number, peer_port)}"
[bounds]
graceS = 6
retryBudgetRatio = 0.2
budgetMinRetries = 30
budgetWindowS = 10
"""
