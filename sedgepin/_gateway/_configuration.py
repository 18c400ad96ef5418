"""How an entry VM follows the configuration of the control VMs."""

import collections.abc
import datetime

from sedgepin import _catalog as catalog
from sedgepin._gateway import _effects
from sedgepin._gateway import _shared_state
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import events

Effects = list[_effects.GatewayEffect]

# Configurations are pushed by the control VMs, and aggregated loads tell the
# version in force; polling recovers from the loss of both.
_CONFIGURATION_POLL_INTERVAL = datetime.timedelta(seconds=1)
_INFORMED_POLL_INTERVAL = datetime.timedelta(seconds=3)
# After the announcement of a newer version, the control VMs of the same data
# centre have this long to push it before it is requested from another one.
_PUSH_TIMEOUT = datetime.timedelta(milliseconds=150)
# After this long without a configuration, one that no leader has confirmed is
# accepted.  It may be outdated, but is better than none.
_UNCONFIRMED_ACCEPTED_AFTER = datetime.timedelta(seconds=3)


class ConfigurationFollower:
    """Puts newer configurations in force, and asks for those not pushed."""

    __slots__ = ("_newer_version_holder", "_poll_at", "_started_at", "_state")

    def __init__(
        self, state: _shared_state.SharedState, now: datetime.datetime
    ) -> None:
        self._state = state
        self._started_at = now
        self._poll_at = now
        # A control VM that announced a newer version than the one in force.
        self._newer_version_holder: model.VmId | None = None

    def apply(
        self,
        message: protocol.ConfigurationPublished,
        now: datetime.datetime,
    ) -> Effects:
        """Put a newer configuration in force; ignore an older one."""
        accepts_unconfirmed = (
            now - self._started_at >= _UNCONFIRMED_ACCEPTED_AFTER
        )
        if (
            self._state.table is None
            and not message.confirmed
            and not accepts_unconfirmed
        ):
            return []
        if self._state.table is not None:
            if message.version <= self._state.table.configuration.version:
                return []
        previous_version = 0
        if self._state.table is not None:
            previous_version = self._state.table.configuration.version
        configuration = catalog.decode(message.configuration)
        self._state.table = catalog.RouteTable(configuration)
        line = events.CONFIGURATION_IN_FORCE.line(
            version=configuration.version,
            before=previous_version,
            confirmed=message.confirmed,
        )
        return [_shared_state.log(line)]

    def record_version(
        self,
        sender: model.VmId,
        version: int,
        confirmed: bool,
        now: datetime.datetime,
    ) -> None:
        """Schedule a request for a newer version that may not be pushed."""
        if version <= max(0, self._version):
            return
        if confirmed or self._newer_version_holder is None:
            self._newer_version_holder = sender
        self._poll_at = min(self._poll_at, now + _PUSH_TIMEOUT)

    @property
    def _version(self) -> int:
        """Return the version in force, or -1 without one."""
        if self._state.table is None:
            return -1
        return self._state.table.configuration.version

    def poll(
        self,
        connected: collections.abc.Collection[model.VmId],
        has_recent_aggregate: bool,
        now: datetime.datetime,
    ) -> Effects:
        """Ask a connected control VM for a newer version if it is time.

        One that announced a newer version is asked first.  With recent
        aggregated loads, which tell the version too, it is time less often.
        """
        if now < self._poll_at or not connected:
            return []
        is_informed = self._state.table is not None and has_recent_aggregate
        self._poll_at = now + (
            _INFORMED_POLL_INTERVAL
            if is_informed
            else _CONFIGURATION_POLL_INTERVAL
        )
        recipient = self._state.rng.choice(sorted(connected))
        holder = self._newer_version_holder
        if holder is not None and holder in connected:
            recipient = holder
        self._newer_version_holder = None
        request = protocol.ConfigurationWanted(self._version)
        return [_effects.SendMessage(recipient, request)]
