"""Which endpoints a VM has no path to, and who may forward to them."""

import collections.abc
import dataclasses
import datetime
import random

from sedgepin import _model as model
from sedgepin import _protocol as protocol

# One endpoint that cannot be reached may have failed.  Several in a row, with
# none reached in between, show that the VM's own links are cut.
_CUT_OFF_ENDPOINTS = 2
# The leader declares an endpoint that has failed lost before this many
# connections to it fail, as each is followed by a pause.
_BROKEN_LINK_FAILURES = 2
_PROBE_INTERVAL = datetime.timedelta(milliseconds=500)
_ASK_INTERVAL = datetime.timedelta(seconds=1)
# Control VMs answer within milliseconds.
_ANSWER_TIME = datetime.timedelta(milliseconds=300)
_FORWARDER_BACKOFF = datetime.timedelta(seconds=2)
# An offer is repeated each second while links are broken.
_OFFER_TTL = datetime.timedelta(seconds=4)
# A forwarder that cannot reach this many endpoints in a row may have no path
# to them itself.
_BEYOND_FAILURES = 2


@dataclasses.dataclass(slots=True, frozen=True)
class _Offer:
    """The forwarders that a control VM has named last."""

    offered_at: datetime.datetime
    forwarders: tuple[protocol.Forwarder, ...]


@dataclasses.dataclass(slots=True)
class _Health:
    """What is known of a forwarder by its failures."""

    failed_until: datetime.datetime | None = None
    beyond_count: int = 0


class EndpointLinks:
    """Follows the direct paths from this VM to endpoints.

    The caller reports each connection that was made or could not be made, and
    asks whether to use a forwarder.  While paths are broken, endpoints are to
    be probed.

    >>> links = EndpointLinks(random.Random(1))
    >>> links.record_unreachable(first_id, now)
    >>> links.record_unreachable(second_id, now)
    >>> links.is_cut_off
    True
    """

    __slots__ = (
        "_asked_at",
        "_cut_endpoints",
        "_failures",
        "_health",
        "_offers",
        "_probed_at",
        "_rng",
        "_unanswered",
    )

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # The failures in a row of each endpoint.
        self._failures: dict[model.EndpointId, int] = {}
        # Those that failed since the last success of any.
        self._cut_endpoints: set[model.EndpointId] = set()
        self._offers: dict[model.VmId, _Offer] = {}
        # By address and key, so that a restarted forwarder starts anew.
        self._health: dict[protocol.Forwarder, _Health] = {}
        self._asked_at: datetime.datetime | None = None
        self._unanswered: set[model.VmId] = set()
        self._probed_at: datetime.datetime | None = None

    @property
    def is_cut_off(self) -> bool:
        """Return whether this VM seems to have no path to any endpoint."""
        return len(self._cut_endpoints) >= _CUT_OFF_ENDPOINTS

    @property
    def has_failures(self) -> bool:
        """Return whether a direct path failed and has not been restored."""
        return bool(self._failures)

    @property
    def failed_endpoints(self) -> tuple[model.EndpointId, ...]:
        """Return the endpoints whose direct paths have failed."""
        return tuple(self._failures)

    def is_unreachable(self, endpoint_id: model.EndpointId) -> bool:
        """Return whether an endpoint is not to be connected to directly."""
        failures = self._failures.get(endpoint_id, 0)
        return self.is_cut_off or failures >= _BROKEN_LINK_FAILURES

    def record_unreachable(self, endpoint_id: model.EndpointId) -> bool:
        """Record a failed direct connection.

        Return whether that shows that this VM is cut off.
        """
        was_cut_off = self.is_cut_off
        self._failures[endpoint_id] = self._failures.get(endpoint_id, 0) + 1
        self._cut_endpoints.add(endpoint_id)
        return self.is_cut_off and not was_cut_off

    def record_reached(self, endpoint_id: model.EndpointId) -> bool:
        """Record a direct connection.

        Return whether it shows that this VM is not cut off any more.  The
        paths that have failed stay broken until each is found to be restored.
        """
        was_cut_off = self.is_cut_off
        if was_cut_off:
            for failed_id in self._cut_endpoints:
                self._failures[failed_id] = _BROKEN_LINK_FAILURES
        self._cut_endpoints.clear()
        self._failures.pop(endpoint_id, None)
        return was_cut_off

    def remove(self, endpoint_id: model.EndpointId) -> bool:
        """Remove an endpoint that others have found to be lost.

        Return whether it shows that this VM is not cut off.
        """
        was_cut_off = self.is_cut_off
        self._failures.pop(endpoint_id, None)
        self._cut_endpoints.discard(endpoint_id)
        return was_cut_off and not self.is_cut_off

    def is_probe_due(self, now: datetime.datetime) -> bool:
        """Return whether to probe an endpoint directly now.

        If so, it counts as done.
        """
        if not any(map(self.is_unreachable, self._failures)):
            return False
        if (
            self._probed_at is not None
            and now - self._probed_at < _PROBE_INTERVAL
        ):
            return False
        self._probed_at = now
        return True

    def is_question_due(self, now: datetime.datetime) -> bool:
        """Return whether to ask control VMs for forwarders now."""
        return bool(self._failures) and (
            self._asked_at is None or now - self._asked_at >= _ASK_INTERVAL
        )

    def record_question(
        self,
        controls: collections.abc.Iterable[model.VmId],
        now: datetime.datetime,
    ) -> None:
        """Record that control VMs were asked for forwarders."""
        self._asked_at = now
        self._unanswered = set(controls)

    def awaits_forwarders(self, now: datetime.datetime) -> bool:
        """Return whether forwarders may be offered in a moment."""
        return (
            bool(self._unanswered)
            and self._asked_at is not None
            and now - self._asked_at < _ANSWER_TIME
        )

    def record_offer(
        self,
        sender: model.VmId,
        forwarders: tuple[protocol.Forwarder, ...],
        now: datetime.datetime,
    ) -> None:
        """Replace the forwarders that a control VM has offered before."""
        self._unanswered.discard(sender)
        self._offers[sender] = _Offer(now, forwarders)
        self._health = {
            forwarder: health
            for forwarder, health in self._health.items()
            if health.failed_until is None or now < health.failed_until
        }

    def choose_forwarder(
        self, now: datetime.datetime
    ) -> protocol.Forwarder | None:
        """Return a forwarder that may be used now, at random."""
        usable = self._usable(now)
        return self._rng.choice(usable) if usable else None

    def has_forwarder(self, now: datetime.datetime) -> bool:
        """Return whether there is a forwarder that may be used now."""
        return bool(self._usable(now))

    def has_other_forwarder(
        self, forwarder: protocol.Forwarder, now: datetime.datetime
    ) -> bool:
        """Return whether a forwarder besides this one may be used now."""
        return any(other != forwarder for other in self._usable(now))

    def has_failed(
        self, forwarder: protocol.Forwarder, now: datetime.datetime
    ) -> bool:
        """Return whether a forwarder is passed over now."""
        health = self._health.get(forwarder)
        return health is not None and (
            health.failed_until is not None and now < health.failed_until
        )

    def record_forwarder_failure(
        self, forwarder: protocol.Forwarder, now: datetime.datetime
    ) -> bool:
        """Pass a forwarder over for a while; return whether that is new."""
        is_new = not self.has_failed(forwarder, now)
        self._health[forwarder] = _Health(now + _FORWARDER_BACKOFF)
        return is_new

    def record_beyond(
        self, forwarder: protocol.Forwarder, now: datetime.datetime
    ) -> bool:
        """Record that a forwarder could not reach an endpoint.

        Return whether the forwarder is to blame, rather than the endpoint.
        """
        health = self._health.setdefault(forwarder, _Health())
        health.beyond_count += 1
        if health.beyond_count < _BEYOND_FAILURES:
            return False
        self.record_forwarder_failure(forwarder, now)
        return True

    def record_forwarded(self, forwarder: protocol.Forwarder) -> None:
        """Record that an endpoint was reached through a forwarder."""
        self._health.pop(forwarder, None)

    def _usable(self, now: datetime.datetime) -> list[protocol.Forwarder]:
        offered = {
            forwarder: None
            for offer in self._offers.values()
            if now - offer.offered_at < _OFFER_TTL
            for forwarder in offer.forwarders
        }
        return [
            forwarder
            for forwarder in offered
            if not self.has_failed(forwarder, now)
        ]
