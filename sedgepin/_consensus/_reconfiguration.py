"""Membership changes: validation, and automatic replacement of members."""

import collections.abc
import dataclasses
import datetime
import typing

import result

from sedgepin._consensus import _core
from sedgepin._consensus import _events
from sedgepin._consensus import _failures
from sedgepin._consensus import _progress
from sedgepin import _model as model
from sedgepin import _storage as storage

ProgressMap: typing.TypeAlias = collections.abc.Mapping[
    storage.MemberId, _progress.Progress
]
_ValidationResult: typing.TypeAlias = result.Result[
    storage.Configuration, _failures.MemberChangeRefused
]


# Members repeat join requests every ``join_interval``.  A request is stale
# after this many intervals.
_JOIN_REQUEST_LIFETIME_INTERVALS = 3
# With fewer voters, losing one loses the quorum.
_MIN_FAULT_TOLERANT_VOTERS = 3


@dataclasses.dataclass(slots=True, frozen=True)
class _JoinRequest:
    """A member's latest request to join."""

    member: storage.MemberId
    requested_at: datetime.datetime


class Reconfiguration:
    """Decides the next membership change, one at a time.

    A VM whose disk was lost first joins as a learner under its new disk.
    Only after that learner has caught up is the lost disk removed from the
    voters and the learner promoted.  The quorum is thus never smaller than
    it was with the lost disk counted in.
    """

    __slots__ = ("_core", "_join_requests")

    def __init__(self, core: _core.Core) -> None:
        self._core = core
        self._join_requests: dict[model.VmId, _JoinRequest] = {}

    def record_join_request(
        self, member: storage.MemberId, now: datetime.datetime
    ) -> None:
        """Record a join request, unless the VM may not join by itself."""
        cfg = self._core.cfg
        if cfg.open_membership or member.vm_id in cfg.control_vms:
            self._join_requests[member.vm_id] = _JoinRequest(member, now)

    def next_configuration(
        self, progress: ProgressMap, now: datetime.datetime
    ) -> storage.Configuration | None:
        """Return the next configuration, or ``None`` if no change is due."""
        return (
            self._with_new_learner(progress, now)
            or self._with_promoted_learner(progress, now)
            or self._without_orphaned_learner(progress, now)
            or self._without_surplus_voter(progress, now)
        )

    def validate_change(
        self,
        action: _events.MemberAction,
        member: storage.MemberId,
        progress: ProgressMap,
    ) -> _ValidationResult:
        """Return the configuration after an operator's change, if allowed."""
        current = self._core.configuration
        reasons = _failures.RefusalReason
        is_member = member in current.members
        if action is _events.MemberAction.ADD_LEARNER:
            if is_member:
                return _refuse(reasons.ALREADY_MEMBER)
            return result.Ok(current.with_learner(member))
        if not is_member:
            return _refuse(reasons.NO_SUCH_MEMBER)
        if action is _events.MemberAction.REMOVE:
            if current.voters == (member,):
                return _refuse(reasons.LAST_VOTER)
            return result.Ok(current.without(member))
        if member in current.voters:
            return _refuse(reasons.ALREADY_MEMBER)
        if not progress[member].is_caught_up:
            return _refuse(reasons.NOT_CAUGHT_UP)
        if len(current.voters) >= self._core.cfg.voter_limit:
            return _refuse(reasons.TOO_MANY_VOTERS)
        return result.Ok(current.with_promoted(member))

    def _with_new_learner(
        self, progress: ProgressMap, now: datetime.datetime
    ) -> storage.Configuration | None:
        for request in tuple(self._join_requests.values()):
            configuration = self._with_requested_learner(
                request, progress, now
            )
            if configuration is not None:
                return configuration
            del self._join_requests[request.member.vm_id]
        return None

    def _with_requested_learner(
        self,
        request: _JoinRequest,
        progress: ProgressMap,
        now: datetime.datetime,
    ) -> storage.Configuration | None:
        """Return the next step towards adding the requester as a learner.

        A responsive member on the same VM is kept: a delayed request from a
        lost disk must not replace the disk in use.
        """
        current = self._core.configuration
        member = request.member
        lifetime = (
            self._core.cfg.join_interval * _JOIN_REQUEST_LIFETIME_INTERVALS
        )
        if member in current.members or now - request.requested_at > lifetime:
            return None
        for other in current.members:
            if other.vm_id != member.vm_id:
                continue
            if not self._is_unresponsive(other, progress, now):
                return None
            if other in current.learners:
                return current.without(other)
        return current.with_learner(member)

    def _with_promoted_learner(
        self, progress: ProgressMap, now: datetime.datetime
    ) -> storage.Configuration | None:
        """Return the next step towards promoting a learner that caught up.

        With open membership a learner is not added as a voter while a voter
        is unresponsive, but waits to replace it: with both as voters, one
        further loss could cost the quorum.
        """
        current = self._core.configuration
        for learner in current.learners:
            is_caught_up = progress[learner].is_caught_up
            if not is_caught_up or self._is_unresponsive(
                learner, progress, now
            ):
                continue
            same_vm_voters = [
                voter
                for voter in current.voters
                if voter.vm_id == learner.vm_id
            ]
            if same_vm_voters:
                if self._is_unresponsive(same_vm_voters[0], progress, now):
                    return current.without(same_vm_voters[0])
                continue
            replaced = self._replaceable_voter(progress, now)
            if replaced is not None:
                return current.without(replaced)
            if self._has_unresponsive_voter(progress, now):
                continue
            if len(current.voters) < self._core.cfg.voter_limit:
                return current.with_promoted(learner)
        return None

    def _has_unresponsive_voter(
        self, progress: ProgressMap, now: datetime.datetime
    ) -> bool:
        return self._core.cfg.open_membership and any(
            self._is_unresponsive(voter, progress, now)
            for voter in self._core.configuration.voters
        )

    def _without_surplus_voter(
        self, progress: ProgressMap, now: datetime.datetime
    ) -> storage.Configuration | None:
        """Remove a voter that stopped replying, if enough others remain.

        Its replacement was promoted before it counted as unresponsive, so no
        learner will take its place; it would count in every quorum forever.
        """
        current = self._core.configuration
        if len(current.voters) <= _MIN_FAULT_TOLERANT_VOTERS:
            return None
        voter = self._replaceable_voter(progress, now)
        return None if voter is None else current.without(voter)

    def _replaceable_voter(
        self, progress: ProgressMap, now: datetime.datetime
    ) -> storage.MemberId | None:
        """Return a voter that has not replied for ``voter_timeout``.

        Returns ``None`` if there is none, or without open membership.
        """
        core = self._core
        if not core.cfg.open_membership:
            return None
        for voter in core.configuration.voters:
            if voter == core.member_id:
                continue
            voter_progress = progress[voter]
            last_contact_at = max(
                voter_progress.acked_send_at, voter_progress.tracked_since
            )
            if now - last_contact_at > core.cfg.voter_timeout:
                return voter
        return None

    def _without_orphaned_learner(
        self, progress: ProgressMap, now: datetime.datetime
    ) -> storage.Configuration | None:
        """Remove an unresponsive learner of a VM that votes with another disk.

        The learner has not replied for ``learner_timeout``.
        """
        current = self._core.configuration
        voting_vms = {voter.vm_id for voter in current.voters}
        timeout = self._core.cfg.learner_timeout
        for learner in current.learners:
            learner_progress = progress[learner]
            last_contact_at = max(
                learner_progress.acked_send_at, learner_progress.tracked_since
            )
            is_expired = now - last_contact_at > timeout
            if is_expired and learner.vm_id in voting_vms:
                return current.without(learner)
        return None

    def _is_unresponsive(
        self,
        member: storage.MemberId,
        progress: ProgressMap,
        now: datetime.datetime,
    ) -> bool:
        if member == self._core.member_id:
            return False
        acked_send_at = progress[member].acked_send_at
        return now - acked_send_at > self._core.cfg.election_timeout_min


def _refuse(
    reason: _failures.RefusalReason,
) -> result.Err[_failures.MemberChangeRefused]:
    return result.Err(_failures.MemberChangeRefused(reason))
