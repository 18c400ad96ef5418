"""Registry of endpoints, kept by every control VM and entry VM."""

import dataclasses
import datetime
import typing

import msgspec

from sedgepin._catalog import _registration
from sedgepin._catalog import _registration_validation
from sedgepin import _model as model

# A deregistered endpoint stays in the registry at least this long, so that a
# delayed registration of the same incarnation does not add it again.
_GONE_RETENTION = datetime.timedelta(seconds=60)

# An endpoint whose control VM fails retries at the next one after 1 s, twice
# at most.  This many heartbeat intervals leave time for both retries.
_TIMEOUT_INTERVALS = 3.4

# Heartbeats that control VMs received before an endpoint failed reach entry
# VMs up to this much later, over two relays.  Until then a heartbeat does not
# count as a recovery.
_MAX_HEARTBEAT_DELAY = datetime.timedelta(milliseconds=900)


def heartbeat_timeout(
    heartbeat_interval: datetime.timedelta,
) -> datetime.timedelta:
    """Return the time without a heartbeat after which an endpoint is lost."""
    return heartbeat_interval * _TIMEOUT_INTERVALS


@dataclasses.dataclass(slots=True)
class EndpointRecord:
    """Registry entry of one endpoint.

    ``lost_at`` is set while the endpoint counts as failed.  ``has_ended`` is
    set while there is proof that its process has ended; an endpoint that only
    fell silent may go on.  ``slowdown`` is the factor by which its reported
    durations exceed those of its accelerator type; 1.0 is normal.
    ``is_leaving`` is set once the endpoint has said in an answer that it is
    leaving.
    """

    registration: _registration.Registration
    last_seen_at: datetime.datetime
    lost_at: datetime.datetime | None = None
    has_ended: bool = False
    slowdown: float = 1.0
    is_leaving: bool = False

    def is_live(
        self, timeout: datetime.timedelta, now: datetime.datetime
    ) -> bool:
        """Whether the endpoint is not lost and was seen within ``timeout``."""
        return self.lost_at is None and now - self.last_seen_at <= timeout


class Registry:
    """The latest registration of each endpoint, regardless of arrival order.

    At most one live endpoint has an address: where two registrations name the
    same address, the one with the higher incarnation keeps it.

    >>> registry = Registry()
    >>> registry.update(registration, now)
    True
    """

    __slots__ = ("_by_address", "_records")

    def __init__(self) -> None:
        self._records: dict[model.EndpointId, EndpointRecord] = {}
        self._by_address: dict[str, model.EndpointId] = {}

    def __iter__(self) -> typing.Iterator[EndpointRecord]:
        return iter(self._records.values())

    def silent(self) -> list[EndpointRecord]:
        """Return the entries that were lost without proof of an end."""
        gone = _registration.EndpointState.GONE
        return [
            record
            for record in self._records.values()
            if record.lost_at is not None
            and not record.has_ended
            and record.registration.state is not gone
        ]

    def find(self, endpoint_id: model.EndpointId) -> EndpointRecord | None:
        """Return the entry of an endpoint, if it has one."""
        return self._records.get(endpoint_id)

    def is_past(self, endpoint_id: model.EndpointId, incarnation: int) -> bool:
        """Return whether an incarnation is gone or another has followed."""
        record = self._records.get(endpoint_id)
        return (
            record is None
            or record.registration.incarnation > incarnation
            or record.registration.state is _registration.EndpointState.GONE
        )

    def at_address(self, address: str) -> EndpointRecord | None:
        """Return the entry of the endpoint that has an address now."""
        endpoint_id = self._by_address.get(address)
        return None if endpoint_id is None else self._records.get(endpoint_id)

    def update(
        self,
        registration: _registration.Registration,
        now: datetime.datetime,
        is_relayed: bool = False,
    ) -> bool:
        """Merge a registration; return whether it changed the entry.

        A registration that only renews an earlier one counts as a heartbeat.
        One that is outdated or has faults is ignored.  One that ``is_relayed``
        may be long past, as a VM sends all that it has to a new peer; an
        endpoint that was lost stays so, until its heartbeats are relayed.
        """
        record = self._records.get(registration.endpoint_id)
        if (
            record is not None
            and registration.ordering_key <= record.registration.ordering_key
        ):
            is_renewal = (
                registration.ordering_key == record.registration.ordering_key
            )
            if is_renewal and not (is_relayed and record.lost_at is not None):
                self.record_heartbeat(registration.endpoint_id, now)
            return False
        if record is not None and _stays_gone(
            record.registration, registration
        ):
            return False
        if _registration_validation.validate_registration(registration):
            return False
        holder = self.at_address(registration.address)
        if holder is not None and not _may_hold_address(
            registration, holder.registration
        ):
            return False
        if (
            record is not None
            and record.is_leaving
            and record.registration.incarnation == registration.incarnation
            and registration.state is _registration.EndpointState.READY
        ):
            registration = _with_state(
                registration, _registration.EndpointState.DRAINING
            )
        self._put(registration, now, is_relayed)
        return record is None or _differs(record.registration, registration)

    def update_lost(
        self, registration: _registration.Registration, now: datetime.datetime
    ) -> bool:
        """Merge a registration that counts as failed where it comes from.

        An incarnation that is new here counts as failed until it is heard; of
        one that is known, nothing is taken for a failure or a heartbeat.
        Return whether it changed the entry.
        """
        before = self.find(registration.endpoint_id)
        if (
            before is not None
            and registration.ordering_key <= before.registration.ordering_key
        ):
            return False
        is_changed = self.update(registration, now, is_relayed=True)
        record = self.find(registration.endpoint_id)
        if record is None or record is before:
            return False
        incarnation = registration.incarnation
        if (
            before is not None
            and before.registration.incarnation == incarnation
        ):
            record.last_seen_at = before.last_seen_at
        else:
            record.lost_at = now
        return is_changed

    def mark_gone(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> _registration.Registration | None:
        """Set the state of a deregistered endpoint to ``GONE``.

        Return its registration with the new state, if it is in the registry.
        """
        record = self._records.get(endpoint_id)
        if record is None:
            return None
        record.registration = msgspec.structs.replace(
            record.registration,
            state=_registration.EndpointState.GONE,
            # VMs of earlier versions order by incarnation and sequence only.
            sequence=model.MAX_NUMBER,
        )
        record.last_seen_at = now
        return record.registration

    def mark_leaving(
        self, endpoint_id: model.EndpointId, incarnation: int
    ) -> bool:
        """Set the state of an endpoint that says it leaves to ``DRAINING``.

        It stays so for this incarnation, even if the endpoint registers as
        ready.  Return whether that is new.
        """
        record = self._records.get(endpoint_id)
        if record is None or record.registration.incarnation != incarnation:
            return False
        is_new = not record.is_leaving
        record.is_leaving = True
        if record.registration.state is _registration.EndpointState.READY:
            record.registration = _with_state(
                record.registration, _registration.EndpointState.DRAINING
            )
        return is_new

    def correct_layers(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        layers: model.LayerRange | None,
    ) -> _registration.Registration | None:
        """Set the layers of an engine to those that its own report names.

        Return the updated registration, or ``None`` if nothing changed, the
        report is from another incarnation or the layers are no valid range.
        """
        record = self._records.get(endpoint_id)
        if record is None or record.registration.incarnation != incarnation:
            return None
        if not _registration_validation.are_valid_layers(layers):
            return None
        if record.registration.layers == layers:
            return None
        record.registration = msgspec.structs.replace(
            record.registration, layers=layers
        )
        return record.registration

    def set_slowdown(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        slowdown: float,
    ) -> bool:
        """Set the slowdown factor that an engine reported.

        Return whether that incarnation of it is in the registry.
        """
        record = self._records.get(endpoint_id)
        if record is None or record.registration.incarnation != incarnation:
            return False
        record.slowdown = slowdown
        return True

    def record_heartbeat(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> None:
        """Renew the entry of an endpoint that sent a heartbeat.

        A lost endpoint recovers, unless it was lost so recently that the
        heartbeat may be older than its failure.  One whose address another
        endpoint has taken over has ended; its heartbeat is older.
        """
        record = self._records.get(endpoint_id)
        if record is None:
            return
        holder = self.at_address(record.registration.address)
        if holder is not None and holder is not record:
            return
        if (
            record.lost_at is not None
            and now - record.lost_at < _MAX_HEARTBEAT_DELAY
        ):
            return
        record.lost_at = None
        record.has_ended = False
        record.last_seen_at = max(record.last_seen_at, now)

    def mark_lost(
        self,
        endpoint_id: model.EndpointId,
        incarnation: int,
        now: datetime.datetime,
        has_ended: bool = False,
    ) -> bool:
        """Count an endpoint as failed until its next heartbeat.

        ``has_ended`` tells whether there is proof that its process has ended.
        Return whether it was alive before.  A loss of another incarnation is
        ignored.
        """
        record = self._records.get(endpoint_id)
        if record is None or record.registration.incarnation != incarnation:
            return False
        was_alive = record.lost_at is None
        record.lost_at = now
        record.has_ended = record.has_ended or has_ended
        return was_alive

    def has_ended(
        self, endpoint_id: model.EndpointId, incarnation: int | None
    ) -> bool:
        """Return whether there is proof that an incarnation has ended.

        The proof is a refused connection that the leader has confirmed, or a
        later incarnation of the endpoint or at its address.
        """
        record = self._records.get(endpoint_id)
        if record is None or incarnation is None:
            return False
        current = record.registration.incarnation
        return incarnation < current or (
            incarnation == current and record.has_ended
        )

    def remove_expired(
        self, timeout: datetime.timedelta, now: datetime.datetime
    ) -> None:
        """Remove endpoints that were last seen more than ``timeout`` ago.

        All entries stay for 60 s at least.
        """
        retention = max(timeout, _GONE_RETENTION)
        for endpoint_id, record in tuple(self._records.items()):
            if now - record.last_seen_at > retention:
                del self._records[endpoint_id]
                self._release_address(record.registration)

    def _put(
        self,
        registration: _registration.Registration,
        now: datetime.datetime,
        keeps_loss: bool,
    ) -> None:
        record = self._records.get(registration.endpoint_id)
        if record is not None and (
            record.registration.address != registration.address
        ):
            self._release_address(record.registration)
        is_gone = registration.state is _registration.EndpointState.GONE
        if not is_gone:
            self._take_over_address(registration)
        renewed = EndpointRecord(registration, now)
        if record is not None:
            if record.registration.incarnation == registration.incarnation:
                renewed.slowdown = record.slowdown
                renewed.is_leaving = record.is_leaving
                if keeps_loss and record.lost_at is not None:
                    renewed.last_seen_at = record.last_seen_at
                    renewed.lost_at = record.lost_at
                    renewed.has_ended = record.has_ended
        self._records[registration.endpoint_id] = renewed

    def _release_address(
        self, registration: _registration.Registration
    ) -> None:
        """Let the address of an endpoint that is not there be another's."""
        address = registration.address
        if self._by_address.get(address) == registration.endpoint_id:
            del self._by_address[address]

    def _take_over_address(
        self, registration: _registration.Registration
    ) -> None:
        """Assign an endpoint its address, whose last holder has ended."""
        holder = self.at_address(registration.address)
        if holder is not None:
            replaced = holder.registration
            if replaced.endpoint_id != registration.endpoint_id:
                holder.registration = _with_state(
                    replaced, _registration.EndpointState.GONE
                )
                holder.has_ended = True
        self._by_address[registration.address] = registration.endpoint_id


def _stays_gone(
    current: _registration.Registration, new: _registration.Registration
) -> bool:
    gone = _registration.EndpointState.GONE
    return current.state is gone and new.incarnation <= current.incarnation


def _may_hold_address(
    registration: _registration.Registration,
    holder: _registration.Registration,
) -> bool:
    """Whether a registration may take over the address of ``holder``.

    A registration that is delayed on its way may arrive after a newer
    endpoint has started at the same address.
    """
    if registration.endpoint_id == holder.endpoint_id:
        return True
    return registration.incarnation >= holder.incarnation


def _with_state(
    registration: _registration.Registration,
    state: _registration.EndpointState,
) -> _registration.Registration:
    return msgspec.structs.replace(registration, state=state)


def _differs(
    old: _registration.Registration, new: _registration.Registration
) -> bool:
    return _compared_fields(old) != _compared_fields(new)


def _compared_fields(
    registration: _registration.Registration,
) -> tuple[object, ...]:
    return (
        registration.incarnation,
        registration.service,
        registration.address,
        registration.state,
        registration.layers,
        registration.weights_version,
    )
