"""The paths to endpoints: direct ones, and those through other entry VMs."""

import collections.abc
import datetime
import random
import re

from sedgepin._entry import _effects
from sedgepin._entry import _events
from sedgepin import _forwarding as forwarding
from sedgepin import _membership as membership
from sedgepin import _model as model
from sedgepin import _protocol as protocol
from sedgepin import events
from sedgepin import settings

Effects = list[_effects.EntryEffect]

# So long after a direct connection a VM takes its paths for sound.
_SOUND_TIME = datetime.timedelta(seconds=1)
# Of these one is reached, or this VM is cut off.
_QUESTION_PROBES = 2
# How often one attempt, call or probe may take another way before its failure
# counts as that of the endpoint.
MAX_DETOURS = 3
# Entry VMs that are asked to forward.  There may be hundreds.
_MAX_ASKED = 8
_PROBE_INTERVAL = datetime.timedelta(milliseconds=500)
# Endpoints that are probed when this VM seems to be cut off.
_CUT_PROBES = 3
# Endpoints whose paths had failed, probed once others are restored.
_RESTORED_PROBES = 8
# A forwarder connects without name resolution and without TLS.
_FORWARDABLE = re.compile(r"http://([0-9]{1,3}(?:\.[0-9]{1,3}){3}:[0-9]+)/?")

_LinkFailure = _events.LinkFailure


def forwarded_address(address: str) -> str | None:
    """Return ``host:port`` of an endpoint's address, as forwarders get it.

    ``None`` if no forwarder can connect to it.
    """
    match = _FORWARDABLE.fullmatch(address)
    return None if match is None else match[1]


class PathFollower:
    """Finds out which direct paths are broken, and who may forward.

    A failed connection does not show whether the endpoint or a link of this
    VM is broken.  Another entry VM is asked to connect before the endpoint is
    blamed, which would also keep the other VMs from using it.
    """

    __slots__ = (
        "_askers",
        "_beyond",
        "_cfg",
        "_connected",
        "_entries",
        "_forward_key",
        "_gossip",
        "_links",
        "_probed_at",
        "_reached_at",
        "_rng",
        "is_draining",
    )

    def __init__(
        self,
        cfg: settings.EntrySettings,
        gossip: membership.GossipNode,
        forward_key: str,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._gossip = gossip
        self._forward_key = forward_key
        self._rng = rng
        self._links = forwarding.EndpointLinks(rng)
        self._entries = frozenset(
            model.VmId(peer.id) for peer in cfg.entries if peer.id != cfg.id
        )
        self._connected: set[model.VmId] = set()
        # Entry VMs that have asked and got no answer yet.
        self._askers: set[model.VmId] = set()
        # The last forwarder that could not reach an endpoint.
        self._beyond: dict[
            model.EndpointId, tuple[protocol.Forwarder, datetime.datetime]
        ] = {}
        self._reached_at: datetime.datetime | None = None
        self._probed_at: datetime.datetime | None = None
        self.is_draining = False

    @property
    def is_enabled(self) -> bool:
        """Return whether this VM forwards, and has others forward."""
        return self._cfg.forward_listen is not None

    @property
    def is_cut_off(self) -> bool:
        """Return whether this VM seems to have no path to any endpoint."""
        return self._links.is_cut_off

    def has_sound_links(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Return whether only an endpoint can be to blame for a failure."""
        return self._links.are_sound_besides(endpoint_id, now)

    def record_connected(self, peer_id: model.VmId) -> None:
        """Record a stream to a peer, which may forward if it is an entry."""
        if peer_id in self._entries:
            self._connected.add(peer_id)

    def record_disconnected(self, peer_id: model.VmId) -> None:
        """Record that the stream to a peer was lost."""
        self._connected.discard(peer_id)

    def answer_question(
        self, sender: model.VmId, now: datetime.datetime
    ) -> Effects:
        """Offer this VM as a forwarder, unless it is of no use as one.

        Without callers it may be cut off and not know, so it probes first.
        """
        if sender not in self._entries:
            return []
        self._askers.add(sender)
        is_usable = not self.is_draining and not self.is_cut_off
        if not self.is_enabled or not is_usable:
            return self._answer_askers(False)
        if self._reached_at is not None:
            if now - self._reached_at < _SOUND_TIME:
                return self._answer_askers(True)
        return self._probe_others(_QUESTION_PROBES, now)

    def record_offer(
        self,
        sender: model.VmId,
        forwarders: tuple[protocol.Forwarder, ...],
        now: datetime.datetime,
    ) -> None:
        """Record that an entry VM offers itself; it speaks for no other."""
        if self.is_enabled and sender in self._entries:
            own = tuple(one for one in forwarders if one.vm_id == sender)
            self._links.record_offer(sender, own, now)

    def choose_forwarder(
        self,
        endpoint_id: model.EndpointId,
        address: str,
        is_detour: bool,
        now: datetime.datetime,
    ) -> protocol.Forwarder | None:
        """Return who is to forward to an endpoint; ``None`` for nobody.

        ``is_detour`` is set if the direct connection has just failed.
        """
        if not self._is_indirect(endpoint_id, address, is_detour):
            return None
        return self._links.choose_forwarder(now)

    def must_wait(
        self,
        endpoint_id: model.EndpointId,
        address: str,
        is_detour: bool,
        now: datetime.datetime,
    ) -> bool:
        """Return whether to wait for an offer before connecting."""
        return (
            self._is_indirect(endpoint_id, address, is_detour)
            and self._links.awaits_forwarders(now)
            and not self._links.has_forwarder(now)
        )

    def has_detour(self, address: str, now: datetime.datetime) -> bool:
        """Return whether there is, or may be in a moment, a forwarder."""
        return (
            self.is_enabled
            and forwarded_address(address) is not None
            and (
                self._links.has_forwarder(now)
                or self._links.awaits_forwarders(now)
            )
        )

    def record_failure(
        self,
        endpoint_id: model.EndpointId,
        address: str,
        failure: _events.LinkFailure,
        forwarder: protocol.Forwarder | None,
        now: datetime.datetime,
    ) -> tuple[bool, Effects]:
        """Record that a connection to an endpoint could not be made.

        Return whether the endpoint is to blame, and the effects.
        """
        if not self.is_enabled:
            return True, []
        if failure is _LinkFailure.DIRECT or forwarder is None:
            effects = self._record_direct_failure(endpoint_id, now)
            # A VM that is cut off knows nothing about endpoints.
            is_blamed = not (self.is_cut_off or self.has_detour(address, now))
            return is_blamed, effects
        if failure is _LinkFailure.UNKNOWN:
            return False, []
        if failure is _LinkFailure.ENDPOINT:
            self._links.record_sound(forwarder)
            return self._is_confirmed(endpoint_id, forwarder, now), []
        match failure:
            case _LinkFailure.FORWARDER:
                is_new = self._links.record_forwarder_failure(forwarder, now)
            case _LinkFailure.UNPROVEN:
                is_new = self._links.record_unproven(forwarder, now)
            case _:
                is_new = self._links.record_beyond(forwarder, now)
                if not is_new:
                    is_blamed = self._is_confirmed(endpoint_id, forwarder, now)
                    return is_blamed, []
        effects = _log_forwarder_failed(forwarder, failure)
        return False, effects if is_new else []

    def record_reached(
        self,
        endpoint_id: model.EndpointId,
        forwarder: protocol.Forwarder | None,
        now: datetime.datetime,
    ) -> Effects:
        """Record that a connection to an endpoint was made."""
        if not self.is_enabled:
            return []
        if forwarder is not None:
            self._links.record_forwarded(forwarder, endpoint_id, now)
            return []
        self._reached_at = now
        effects = self._answer_askers(not self.is_draining)
        if not self._links.record_reached(endpoint_id, now):
            return effects
        effects.append(_log_restored(endpoint_id))
        return effects + self._probe(_RESTORED_PROBES)

    def handle_probed(
        self, event: _events.PathProbed, now: datetime.datetime
    ) -> Effects:
        """Record the result of a direct probe."""
        if event.is_reached:
            return self.record_reached(event.endpoint_id, None, now)
        is_sound = self.has_sound_links(event.endpoint_id, now)
        effects = self._record_direct_failure(event.endpoint_id, now)
        if is_sound or self.is_cut_off:
            return effects
        return effects + self._probe_others(_QUESTION_PROBES, now)

    def tick(self, now: datetime.datetime) -> Effects:
        """Probe a broken path, and ask for forwarders, if it is time to."""
        if not self._links.has_failures:
            return []
        effects: Effects = []
        for endpoint_id in self._links.failed_endpoints:
            if self._gossip.endpoints.find(endpoint_id) is None:
                if self._links.remove(endpoint_id):
                    effects.append(_log_restored(endpoint_id))
        effects += self._ask(now)
        if self._probed_at is None or now - self._probed_at >= _PROBE_INTERVAL:
            self._probed_at = now
            effects += self._probe(1)
        return effects

    def _answer_askers(self, is_usable: bool) -> Effects:
        """Answer those who look for forwarders.

        An answer without forwarders spares them the wait.
        """
        if not self._askers:
            return []
        forwarders: tuple[protocol.Forwarder, ...] = ()
        if is_usable and self._cfg.forward_listen is not None:
            own = protocol.Forwarder(
                model.VmId(self._cfg.id),
                self._cfg.forward_listen,
                self._forward_key,
            )
            forwarders = (own,)
        askers = sorted(self._askers)
        self._askers.clear()
        offer = protocol.ForwardersOffered(forwarders)
        return [_effects.SendMessage(vm_id, offer) for vm_id in askers]

    def _is_indirect(
        self, endpoint_id: model.EndpointId, address: str, is_detour: bool
    ) -> bool:
        return (
            self.is_enabled
            and (is_detour or self._links.is_unreachable(endpoint_id))
            and forwarded_address(address) is not None
        )

    def _is_confirmed(
        self,
        endpoint_id: model.EndpointId,
        forwarder: protocol.Forwarder,
        now: datetime.datetime,
    ) -> bool:
        """Return whether a failure beyond a forwarder shows the endpoint's.

        The forwarder may just have been cut off as well, so another one is
        asked, if there is any.
        """
        self._beyond = {
            failed_id: failure
            for failed_id, failure in self._beyond.items()
            if now - failure[1] < _SOUND_TIME
        }
        previous = self._beyond.get(endpoint_id)
        self._beyond[endpoint_id] = (forwarder, now)
        if previous is not None and previous[0] != forwarder:
            return True
        return not self._links.has_other_forwarder(forwarder, now)

    def _record_direct_failure(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> Effects:
        is_new = self._links.record_unreachable(endpoint_id, now)
        self._reached_at = None
        effects = self._ask(now)
        if not is_new:
            return effects
        effects += self._answer_askers(False)
        failed = ",".join(sorted(self._links.failed_endpoints))
        line = events.LINKS_CUT.line(endpoints=failed)
        # If the endpoints have failed instead, others can be reached.
        probes = self._probe_others(_CUT_PROBES, now)
        return [*effects, _effects.WriteLog(line), *probes]

    def _probe(self, count: int) -> Effects:
        """Probe some of the endpoints whose paths have failed."""
        known = map(self._gossip.endpoints.find, self._links.failed_endpoints)
        return self._probe_some([found for found in known if found], count)

    def _probe_others(self, count: int, now: datetime.datetime) -> Effects:
        """Probe some of the endpoints whose paths have not failed."""
        failed = self._links.failed_endpoints
        eligible = self._gossip.endpoints.eligible(now)
        others = [one for one in eligible if one.endpoint_id not in failed]
        return self._probe_some(others, count)

    def _probe_some(
        self,
        candidates: collections.abc.Sequence[model.Announcement],
        count: int,
    ) -> Effects:
        chosen = self._rng.sample(candidates, min(count, len(candidates)))
        return [
            _effects.ProbePath(one.endpoint_id, one.address) for one in chosen
        ]

    def _ask(self, now: datetime.datetime) -> Effects:
        if not self._links.is_question_due(now):
            return []
        connected = sorted(self._connected)
        asked = self._rng.sample(connected, min(_MAX_ASKED, len(connected)))
        self._links.record_question(asked, now)
        return [
            _effects.SendMessage(
                vm_id,
                protocol.ForwardersAsked(self._links.is_surely_cut_off(now)),
            )
            for vm_id in asked
        ]


def log_forwarded(
    request_id: model.RequestId,
    attempt: int,
    endpoint_id: model.EndpointId,
    forwarder: protocol.Forwarder | None,
) -> Effects:
    """Return the log line of what is sent through a forwarder, if it is."""
    if forwarder is None:
        return []
    line = events.REQUEST_FORWARDED.line(
        request=request_id,
        attempt=attempt,
        endpoint=endpoint_id,
        forwarder=forwarder.vm_id,
    )
    return [_effects.WriteLog(line)]


def _log_forwarder_failed(
    forwarder: protocol.Forwarder, failure: _events.LinkFailure
) -> Effects:
    line = events.FORWARDER_FAILED.line(
        forwarder=forwarder.vm_id, failure=failure.value
    )
    return [_effects.WriteLog(line)]


def _log_restored(endpoint_id: model.EndpointId) -> _effects.WriteLog:
    return _effects.WriteLog(events.LINKS_RESTORED.line(endpoint=endpoint_id))
