"""Leader election with pre-vote."""

import datetime

from sedgepin._consensus import _core
from sedgepin._consensus import _messages
from sedgepin import _storage as storage


class Election:
    """Requests, grants and counts votes for one member.

    A candidate first runs a pre-vote and raises its term only if a quorum
    would vote for it.  A voter ignores vote requests as long as a leader's
    lease may depend on its last reply.  An election can therefore succeed
    only after the previous leader's lease has expired, and a new leader need
    not wait for it.
    """

    __slots__ = ("_core", "_votes")

    def __init__(self, core: _core.Core) -> None:
        self._core = core
        self._votes: set[storage.MemberId] = set()

    def start_pre_vote(self, now: datetime.datetime) -> bool:
        """Start a pre-vote and request pre-votes from the other voters.

        Return whether the election is already won because this member is
        the only voter.
        """
        core = self._core
        core.role = _core.Role.PRE_CANDIDATE
        core.set_leader(None)
        core.restart_election_timer(now)
        self._votes = {core.member_id}
        if self._has_quorum():
            return self.start(now)
        self._request_votes(is_pre=True)
        return False

    def start(self, now: datetime.datetime, is_transfer: bool = False) -> bool:
        """Raise the term, vote for this member and request votes.

        ``is_transfer`` marks an election that the leader asked for after it
        had released its lease.  Return whether the election is already won.
        """
        core = self._core
        core.role = _core.Role.CANDIDATE
        core.set_leader(None)
        core.change_hard_state(term=core.term + 1, voted_for=core.member_id)
        core.restart_election_timer(now)
        self._votes = {core.member_id}
        self._request_votes(is_pre=False, is_transfer=is_transfer)
        return self._has_quorum()

    def handle_request(
        self,
        candidate: storage.MemberId,
        request: _messages.VoteRequest,
        now: datetime.datetime,
    ) -> None:
        """Grant or refuse a vote or pre-vote.

        A request is ignored while a current leader may hold a lease, except
        in a transfer, for which the leader has released its lease.
        """
        core = self._core
        if not request.is_transfer and self._may_lease_be_held(now):
            return
        if request.is_pre:
            is_granted = self._would_grant_pre_vote(request)
        else:
            if request.header.term > core.term:
                core.become_follower(now, request.header.term, None)
            is_granted = self._grant_vote(candidate, request, now)
        core.send(
            candidate.vm_id,
            _messages.VoteReply(
                core.header(candidate),
                request.is_pre,
                request.header.term,
                is_granted,
            ),
        )

    def handle_reply(
        self,
        voter: storage.MemberId,
        reply: _messages.VoteReply,
        now: datetime.datetime,
    ) -> bool:
        """Count a vote; return whether the election is now won."""
        core = self._core
        if reply.header.term > core.term:
            core.become_follower(now, reply.header.term, None)
            return False
        if not reply.is_granted:
            return False
        if core.role is _core.Role.PRE_CANDIDATE and reply.is_pre:
            if reply.asked_term != core.term + 1:
                return False
            self._votes.add(voter)
            return self._has_quorum() and self.start(now)
        if core.role is _core.Role.CANDIDATE and not reply.is_pre:
            if reply.asked_term != core.term:
                return False
            self._votes.add(voter)
            return self._has_quorum()
        return False

    def _request_votes(self, is_pre: bool, is_transfer: bool = False) -> None:
        core = self._core
        for voter in core.configuration.voters:
            if voter == core.member_id:
                continue
            header = core.header(voter)
            if is_pre:
                header = _messages.Header(
                    core.term + 1,
                    header.cluster_id,
                    header.sender_disk,
                    header.recipient_disk,
                )
            request = _messages.VoteRequest(
                header,
                is_pre,
                core.log.last_index,
                core.log.last_term,
                is_transfer,
            )
            core.send(voter.vm_id, request)

    def _has_quorum(self) -> bool:
        configuration = self._core.configuration
        count = sum(voter in self._votes for voter in configuration.voters)
        return count >= configuration.quorum

    def _may_lease_be_held(self, now: datetime.datetime) -> bool:
        core = self._core
        return core.role is _core.Role.LEADER or core.may_support_lease(now)

    def _would_grant_pre_vote(self, request: _messages.VoteRequest) -> bool:
        if request.header.term <= self._core.term:
            return False
        return self._is_up_to_date(request)

    def _grant_vote(
        self,
        candidate: storage.MemberId,
        request: _messages.VoteRequest,
        now: datetime.datetime,
    ) -> bool:
        core = self._core
        if request.header.term < core.term:
            return False
        if core.hard_state.voted_for not in (None, candidate):
            return False
        if not self._is_up_to_date(request):
            return False
        core.change_hard_state(voted_for=candidate)
        core.restart_election_timer(now)
        return True

    def _is_up_to_date(self, request: _messages.VoteRequest) -> bool:
        log = self._core.log
        candidate_log_end = (request.last_term, request.last_index)
        return candidate_log_end >= (log.last_term, log.last_index)
