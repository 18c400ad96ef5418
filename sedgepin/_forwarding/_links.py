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
_EARLIEST = datetime.datetime.min.replace(tzinfo=datetime.timezone.utc)
# An endpoint that can be reached answers a probe sooner.
_PROBE_TIME = datetime.timedelta(milliseconds=100)
_PROBE_INTERVAL = datetime.timedelta(milliseconds=500)
_ASK_INTERVAL = datetime.timedelta(seconds=1)
# While there are forwarders; well within the lifetime of an offer.
_RENEWAL_INTERVAL = datetime.timedelta(milliseconds=1500)
# While a VM that is cut off has no forwarder.
_MISSING_ASK_INTERVAL = datetime.timedelta(milliseconds=250)
# Control VMs answer within milliseconds.
_ANSWER_TIME = datetime.timedelta(milliseconds=300)
_FORWARDER_BACKOFF = datetime.timedelta(seconds=2)
# An offer is repeated more often while links are broken.
_OFFER_TTL = datetime.timedelta(seconds=4)
# One that does not know whether its own links are sound finds out at once.
# Each further time in a row doubles the pause, up to the maximum.
_MIN_UNPROVEN_BACKOFF = datetime.timedelta(milliseconds=30)
_MAX_UNPROVEN_BACKOFF = datetime.timedelta(milliseconds=300)
# One that leaves a question open for this long may be frozen, and gets no
# further ones while there are others.
_OVERDUE_TIME = datetime.timedelta(milliseconds=50)
# An open question that nobody waits for any more is forgotten.
_OPEN_TTL = datetime.timedelta(seconds=1)
# A forwarder that cannot reach this many endpoints in a row may have no path
# to them itself.  It matters only for one that does not say whether it has.
_BEYOND_FAILURES = 2
# So long after a connection to it was made an endpoint counts as proven.
_PROVEN_TIME = datetime.timedelta(seconds=2)
# So long after a connection was made the links are taken for sound.
_SOUND_TIME = datetime.timedelta(milliseconds=300)


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
    # The pause, if it failed because its own links may be broken.
    unproven_backoff: datetime.timedelta | None = None


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
        "_awaited_from",
        "_cut_endpoints",
        "_cut_since",
        "_failures",
        "_health",
        "_offers",
        "_open_since",
        "_probed_at",
        "_proven",
        "_reached_at",
        "_rng",
        "_unanswered",
        "_was_cut_off_when_asked",
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
        # Since when each forwarder was used and has not answered at all.
        self._open_since: dict[protocol.Forwarder, datetime.datetime] = {}
        self._asked_at: datetime.datetime | None = None
        self._awaited_from: datetime.datetime | None = None
        self._was_cut_off_when_asked = False
        self._cut_since = _EARLIEST
        self._reached_at: datetime.datetime | None = None
        # When each endpoint was last reached, on any path; oldest first.
        self._proven: dict[model.EndpointId, datetime.datetime] = {}
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

    @property
    def cut_endpoints(self) -> tuple[model.EndpointId, ...]:
        """Return those that failed since a connection was made to any."""
        return tuple(self._cut_endpoints)

    def are_sound_besides(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Return whether only an endpoint can be to blame for a failure.

        It is so if another one was reached a moment ago and none has failed
        since.
        """
        return (
            self._reached_at is not None
            and now - self._reached_at < _SOUND_TIME
            and self._cut_endpoints <= {endpoint_id}
        )

    def is_unreachable(self, endpoint_id: model.EndpointId) -> bool:
        """Return whether an endpoint is not to be connected to directly."""
        failures = self._failures.get(endpoint_id, 0)
        return self.is_cut_off or failures >= _BROKEN_LINK_FAILURES

    def record_unreachable(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Record a failed direct connection.

        Return whether that shows that this VM is cut off.  A path that was
        known to be broken shows nothing.
        """
        was_cut_off = self.is_cut_off
        self._proven.pop(endpoint_id, None)
        failures = self._failures.get(endpoint_id, 0)
        self._failures[endpoint_id] = failures + 1
        if failures < _BROKEN_LINK_FAILURES:
            self._cut_endpoints.add(endpoint_id)
        is_new = self.is_cut_off and not was_cut_off
        if is_new:
            self._cut_since = now
        return is_new

    def is_surely_cut_off(self, now: datetime.datetime) -> bool:
        """Return whether probes have had time to show that it is not so."""
        return self.is_cut_off and now - self._cut_since >= _PROBE_TIME

    def record_reached(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Record a direct connection.

        Return whether it shows that this VM is not cut off any more.  The
        paths that have failed stay broken until each is found to be restored.
        """
        self._reached_at = now
        self._record_proven(endpoint_id, now)
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
        self._proven.pop(endpoint_id, None)
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
        """Return whether to ask for forwarders now.

        Who asks also tells whether this VM can be a forwarder itself, so that
        a change of that is told at once.
        """
        if not self._failures:
            return False
        if self._asked_at is None or (
            self._was_cut_off_when_asked != self.is_surely_cut_off(now)
        ):
            return True
        interval = _ASK_INTERVAL
        if self.has_forwarder(now):
            interval = _RENEWAL_INTERVAL
        elif self.is_cut_off:
            interval = _MISSING_ASK_INTERVAL
        return now - self._asked_at >= interval

    def record_question(
        self,
        controls: collections.abc.Iterable[model.VmId],
        now: datetime.datetime,
    ) -> None:
        """Record that control VMs were asked for forwarders."""
        self._asked_at = now
        self._was_cut_off_when_asked = self.is_surely_cut_off(now)
        if not self._unanswered:
            # Who leaves a question unanswered is not waited for again.
            self._awaited_from = now
        self._unanswered = set(controls)

    def awaits_forwarders(self, now: datetime.datetime) -> bool:
        """Return whether forwarders may be offered in a moment."""
        return (
            bool(self._unanswered)
            and self._awaited_from is not None
            and now - self._awaited_from < _ANSWER_TIME
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
        offered = set(self._offered(now))
        self._health = {
            forwarder: health
            for forwarder, health in self._health.items()
            if forwarder in offered or self.has_failed(forwarder, now)
        }
        self._open_since = {
            forwarder: since
            for forwarder, since in self._open_since.items()
            if forwarder in offered
        }

    def choose_forwarder(
        self, now: datetime.datetime
    ) -> protocol.Forwarder | None:
        """Return a forwarder that may be used now, at random.

        It counts as used from now on, until it is heard of.
        """
        usable = self._usable(now)
        usable = [one for one in usable if not self._is_overdue(one, now)] or (
            usable
        )
        if not usable:
            return None
        chosen = self._rng.choice(usable)
        since = self._open_since.get(chosen)
        if since is None or now - since >= _OPEN_TTL:
            self._open_since[chosen] = now
        return chosen

    def forwarder_counts(self, now: datetime.datetime) -> tuple[int, int]:
        """Return how many forwarders are offered, and may be used, now."""
        return len(self._offered(now)), len(self._usable(now))

    def has_forwarder(self, now: datetime.datetime) -> bool:
        """Return whether there is a forwarder that may be used now."""
        return bool(self._usable(now))

    def has_other_forwarder(
        self, forwarder: protocol.Forwarder, now: datetime.datetime
    ) -> bool:
        """Return whether a forwarder besides this one may be used now."""
        return any(other != forwarder for other in self._usable(now))

    def expects_forwarder(self, now: datetime.datetime) -> bool:
        """Return whether one that is passed over may be of use in a moment.

        It is finding out whether its own links are sound.
        """
        healths = [
            self._health.get(forwarder) for forwarder in self._offered(now)
        ]
        return any(
            health is not None
            and health.unproven_backoff is not None
            and health.unproven_backoff < _MAX_UNPROVEN_BACKOFF
            for health in healths
        )

    def is_doubted(self, forwarder: protocol.Forwarder) -> bool:
        """Return whether a forwarder has failed and not carried any since."""
        health = self._health.get(forwarder)
        return health is not None and health.failed_until is not None

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
        self._open_since.pop(forwarder, None)
        self._health[forwarder] = _Health(now + _FORWARDER_BACKOFF)
        return is_new

    def record_unproven(
        self, forwarder: protocol.Forwarder, now: datetime.datetime
    ) -> bool:
        """Pass over for a moment one whose own links may be broken.

        Return whether that is new.
        """
        self._open_since.pop(forwarder, None)
        if self.has_failed(forwarder, now):
            return False
        health = self._health.get(forwarder)
        backoff = _MIN_UNPROVEN_BACKOFF
        if health is not None and health.unproven_backoff is not None:
            backoff = min(_MAX_UNPROVEN_BACKOFF, 2 * health.unproven_backoff)
        self._health[forwarder] = _Health(
            now + backoff, unproven_backoff=backoff
        )
        return True

    def record_beyond(
        self, forwarder: protocol.Forwarder, now: datetime.datetime
    ) -> bool:
        """Record that a forwarder could not reach an endpoint.

        It has not said whether its own links are sound.  Return whether the
        forwarder is to blame, rather than the endpoint.
        """
        self._open_since.pop(forwarder, None)
        health = self._health.setdefault(forwarder, _Health())
        health.beyond_count += 1
        if health.beyond_count < _BEYOND_FAILURES:
            return False
        self.record_forwarder_failure(forwarder, now)
        return True

    def record_forwarded(
        self,
        forwarder: protocol.Forwarder,
        endpoint_id: model.EndpointId,
        now: datetime.datetime,
    ) -> None:
        """Record that an endpoint was reached through a forwarder."""
        self.record_sound(forwarder)
        self._record_proven(endpoint_id, now)

    def record_sound(self, forwarder: protocol.Forwarder) -> None:
        """Record that a forwarder reaches endpoints, though not the last."""
        self._open_since.pop(forwarder, None)
        self._health.pop(forwarder, None)

    def proven(self, now: datetime.datetime) -> frozenset[model.EndpointId]:
        """Return the endpoints that were reached just now, on any path."""
        return frozenset(
            endpoint_id
            for endpoint_id, reached_at in self._proven.items()
            if now - reached_at < _PROVEN_TIME
        )

    def _record_proven(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> None:
        self._proven.pop(endpoint_id, None)
        self._proven[endpoint_id] = now
        oldest = next(iter(self._proven))
        if now - self._proven[oldest] >= _PROVEN_TIME:
            del self._proven[oldest]

    def _is_overdue(
        self, forwarder: protocol.Forwarder, now: datetime.datetime
    ) -> bool:
        since = self._open_since.get(forwarder)
        return since is not None and (_OVERDUE_TIME <= now - since < _OPEN_TTL)

    def _usable(self, now: datetime.datetime) -> list[protocol.Forwarder]:
        return [
            forwarder
            for forwarder in self._offered(now)
            if not self.has_failed(forwarder, now)
        ]

    def _offered(self, now: datetime.datetime) -> list[protocol.Forwarder]:
        return list(
            dict.fromkeys(
                forwarder
                for offer in self._offers.values()
                if now - offer.offered_at < _OFFER_TTL
                for forwarder in offer.forwarders
            )
        )
