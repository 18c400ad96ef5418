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
# Without a configuration all requests are held.  A control VM is asked by a
# third of the entry VMs at most, and sends the configuration to one that holds
# none yet.
_UNCONFIGURED_POLL_INTERVAL = datetime.timedelta(milliseconds=250)
_INFORMED_POLL_INTERVAL = datetime.timedelta(seconds=3)
# After the announcement of a newer version, the control VMs of the same data
# centre have this long to push it before it is requested from another one.
_PUSH_TIMEOUT = datetime.timedelta(milliseconds=150)
# The same without a configuration: a follower pushes one unconfirmed, within a
# round trip of the leader's confirmation.
_FIRST_PUSH_TIMEOUT = datetime.timedelta(milliseconds=50)
# After this long without a configuration, one that no leader has confirmed is
# accepted.  It may be outdated, but is better than none.
_UNCONFIRMED_ACCEPTED_AFTER = datetime.timedelta(seconds=3)


class ConfigurationFollower:
    """Puts newer configurations in force, and asks for those not pushed."""

    __slots__ = (
        "_confirmed_version",
        "_held",
        "_newer_version_holder",
        "_poll_at",
        "_started_at",
        "_state",
    )

    def __init__(
        self, state: _shared_state.SharedState, now: datetime.datetime
    ) -> None:
        self._state = state
        self._started_at = now
        self._poll_at = now
        # A control VM that announced a newer version than the one in force.
        self._newer_version_holder: model.VmId | None = None
        # Only without a configuration: the newest that was pushed unconfirmed,
        # and the newest version that a leader has confirmed.
        self._held: catalog.Configuration | None = None
        self._confirmed_version = -1

    def apply(
        self,
        message: protocol.ConfigurationPublished,
        now: datetime.datetime,
    ) -> Effects:
        """Put a newer configuration in force; ignore an older one.

        Without one, hold a configuration until a leader has confirmed it.
        """
        configuration = catalog.decode(message.configuration)
        if self._state.table is not None:
            if configuration.version <= self._version:
                return []
        elif not message.confirmed:
            if configuration.version > self._held_version:
                self._held = configuration
            return self._release_held(now)
        return self._put_in_force(configuration, message.confirmed)

    def confirm(self, version: int, now: datetime.datetime) -> Effects:
        """Put the held configuration in force if a leader confirms it."""
        if self._state.table is not None:
            return []
        self._confirmed_version = max(self._confirmed_version, version)
        if version > self._held_version:
            self._poll_at = min(self._poll_at, now + _FIRST_PUSH_TIMEOUT)
        return self._release_held(now)

    def _release_held(self, now: datetime.datetime) -> Effects:
        """Put the held configuration in force if it is confirmed or late."""
        if self._held is None or self._state.table is not None:
            return []
        is_confirmed = self._held.version == self._confirmed_version
        is_late = now - self._started_at >= _UNCONFIRMED_ACCEPTED_AFTER
        if not is_confirmed and not is_late:
            return []
        return self._put_in_force(self._held, is_confirmed)

    def _put_in_force(
        self, configuration: catalog.Configuration, is_confirmed: bool
    ) -> Effects:
        line = events.CONFIGURATION_IN_FORCE.line(
            version=configuration.version,
            before=max(0, self._version),
            confirmed=is_confirmed,
        )
        self._held = None
        self._state.table = catalog.RouteTable(configuration)
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
        if not confirmed and version <= self._held_version:
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

    @property
    def _held_version(self) -> int:
        """Return the version that is held unconfirmed, or -1 without one."""
        return -1 if self._held is None else self._held.version

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
        effects = self._release_held(now)
        if now < self._poll_at or not connected:
            return effects
        is_informed = self._state.table is not None and has_recent_aggregate
        interval = _CONFIGURATION_POLL_INTERVAL
        if self._state.table is None:
            interval = _UNCONFIGURED_POLL_INTERVAL
        elif is_informed:
            interval = _INFORMED_POLL_INTERVAL
        self._poll_at = now + interval
        recipient = self._state.rng.choice(sorted(connected))
        holder = self._newer_version_holder
        if holder is not None and holder in connected:
            recipient = holder
        self._newer_version_holder = None
        request = protocol.ConfigurationWanted(
            self._version, self._held_version
        )
        return [*effects, _effects.SendMessage(recipient, request)]
