"""Scripted failures of the replicated log."""

import random

import pytest

from sedgepin import _consensus as consensus
from sedgepin._consensus import _messages
from sedgepin._consensus.tests import cluster
from sedgepin import _model as model
from sedgepin import _storage as storage
from sedgepin import clock

_VMS = tuple(model.VmId(f"vm-{number}") for number in range(3))
_MEMBERS = tuple(
    storage.MemberId(vm_id, storage.DiskId(place + 1))
    for place, vm_id in enumerate(_VMS)
)
_FOUNDED = storage.LogEntry(
    1,
    0,
    storage.EntryKind.CONFIGURATION,
    configuration=storage.Configuration(_MEMBERS),
)
_CLUSTER_ID = 7


class Member:
    """vm-0 of three, by hand: messages in, effects out."""

    def __init__(self, *entries: storage.LogEntry, term: int = 0) -> None:
        self.clock = clock.ManualClock()
        state = storage.HardState(term, None, _CLUSTER_ID)
        found = storage.RecoveredState(
            _MEMBERS[0].disk_id, state, None, (_FOUNDED, *entries)
        )
        cfg = consensus.RaftSettings(_VMS[0], _VMS)
        now = self.clock.now()
        self.node = consensus.RaftNode(cfg, found, random.Random(1), now)
        self.clock.advance(cfg.election_timeout_max)

    def header(
        self, term: int, disk_id: int = 2, recipient: int = 1
    ) -> _messages.Header:
        return _messages.Header(
            term,
            _CLUSTER_ID,
            storage.DiskId(disk_id),
            storage.DiskId(recipient),
        )

    def take(
        self, message: consensus.RaftMessage, sender: int = 1
    ) -> list[consensus.Effect]:
        event = consensus.PeerMessageArrived(_VMS[sender], message)
        return self.node.handle(event, self.clock.now())

    def tick(self) -> list[consensus.Effect]:
        return self.node.handle(consensus.TimerFired(), self.clock.now())

    def gives_vote(self, sender: int, last_index: int, last_term: int) -> bool:
        header = self.header(5, disk_id=sender + 1)
        request = _messages.VoteRequest(header, False, last_index, last_term)
        effects = self.take(request, sender)
        assert isinstance(effects[-1], consensus.SendMessage)
        assert isinstance(effects[-1].message, _messages.VoteReply)
        return effects[-1].message.is_granted

    def vote(self, term: int, is_pre: bool, disk_id: int = 2) -> None:
        header = self.header(term - is_pre, disk_id)
        self.take(_messages.VoteReply(header, is_pre, term, True))


def _command(index: int, term: int) -> storage.LogEntry:
    return storage.LogEntry(index, term, storage.EntryKind.COMMAND, b"x")


class TestVoting:
    def test_vote_is_durable_before_it_is_sent(self) -> None:
        member = Member()
        request = _messages.VoteRequest(member.header(1), False, 1, 0)
        persist, send = member.take(request)
        state = storage.HardState(1, _MEMBERS[1], _CLUSTER_ID)
        assert persist == consensus.Persist(state, None, ())
        assert isinstance(send, consensus.SendMessage)
        assert isinstance(send.message, _messages.VoteReply)
        assert send.message.is_granted

    def test_one_vote_a_term(self) -> None:
        member = Member()
        asked = [member.gives_vote(sender, 1, 0) for sender in (1, 2, 1)]
        assert asked == [True, False, True]

    @pytest.mark.parametrize(
        ("last_index", "last_term", "is_granted"),
        [(9, 1, False), (2, 2, False), (3, 2, True), (1, 3, True)],
    )
    def test_shorter_log_gets_no_vote(
        self, last_index: int, last_term: int, is_granted: bool
    ) -> None:
        member = Member(_command(2, 2), _command(3, 2), term=2)
        assert member.gives_vote(1, last_index, last_term) == is_granted

    def test_message_for_a_lost_disk_is_ignored(self) -> None:
        member = Member()
        header = member.header(1, recipient=99)
        assert not member.take(_messages.VoteRequest(header, False, 1, 0))
        assert not member.take(_messages.AppendRequest(header, 1, 0, 1, 0))

    def test_vote_of_another_disk_never_counts(self) -> None:
        member = Member()
        member.tick()
        member.vote(1, is_pre=True, disk_id=99)
        assert member.node.term == 0
        member.vote(1, is_pre=True)
        assert member.node.term == 1
        member.vote(1, is_pre=False, disk_id=99)
        assert not member.node.is_leader
        member.vote(1, is_pre=False)
        assert member.node.is_leader


class TestReplication:
    def test_only_entries_of_own_term_are_committed(self) -> None:
        member = Member(_command(2, 2), term=2)
        member.tick()
        member.vote(3, is_pre=True)
        member.vote(3, is_pre=False)
        for index, committed in ((2, 0), (3, 3)):
            header = member.header(3)
            member.take(_messages.AppendReply(header, True, index, 0))
            assert member.node.commit_index == committed

    def test_late_answers_move_nothing_back(self) -> None:
        member = Member()
        member.tick()
        member.vote(1, is_pre=True)
        member.vote(1, is_pre=False)
        header = member.header(1)
        assert member.take(_messages.AppendReply(header, True, 2, 0))
        for is_accepted, index in ((False, 0), (True, 1), (False, 1)):
            reply = _messages.AppendReply(header, is_accepted, index, 0)
            assert not member.take(reply)
            assert member.node.commit_index == 2

    def test_snapshot_of_what_is_not_applied_is_not_taken(self) -> None:
        member = Member()
        for index in (0, 1, 5):
            event = consensus.SnapshotTaken(index, b"state")
            assert not member.node.handle(event, member.clock.now())

    def test_configuration_is_rolled_back_with_its_entry(self) -> None:
        member = Member()
        changed = storage.LogEntry(
            2,
            1,
            storage.EntryKind.CONFIGURATION,
            configuration=storage.Configuration(_MEMBERS[:2]),
        )
        header = member.header(1)
        member.take(_messages.AppendRequest(header, 1, 0, 1, 0, (changed,)))
        assert len(member.node.members.voters) == 2
        entries = (_command(2, 2),)
        header = member.header(2)
        effects = member.take(
            _messages.AppendRequest(header, 1, 0, 1, 0, entries)
        )
        assert isinstance(effects[0], consensus.Persist)
        assert effects[0].truncate_from == 2
        assert member.node.members.voters == _MEMBERS

    def test_proposals_are_bounded(self) -> None:
        several = cluster.Cluster(3, uncommitted_limit_entries=10)
        leader = several.elect().name
        several.propose(leader, 15)
        several.run(20)
        failures = {type(one.failure) for one in several.rejected}
        assert failures == {consensus.TooManyProposals}
        assert len(several.acknowledged) + len(several.rejected) == 15


class TestTakeover:
    def test_leader_death_loses_nothing(self) -> None:
        several = cluster.Cluster(3)
        leader = several.elect().name
        several.propose(leader, 5)
        several.run(20)
        assert len(several.acknowledged) == 5
        several.propose(leader, 2)
        several.kill(leader)
        assert several.elect().applied[:5] == several.acknowledged
        several.settle()

    def test_transfer_leaves_no_two_leases(self) -> None:
        several = cluster.Cluster(3)
        leader = several.elect().name
        several.run(100)
        target = next(one for one in several.vms if one != leader)
        event = consensus.LeadershipTransferRequested(model.VmId(target))
        several.give(leader, event)
        several.cuts.add((target, leader))
        taken = several.run_until(lambda: several.leader() is not None, 50)
        assert taken < 10
        assert several.elect().name == target
        several.run(600)
        several.settle()


class TestLease:
    @pytest.mark.parametrize("seed", range(10))
    def test_isolated_leader_does_no_harm(self, seed: int) -> None:
        several = cluster.Cluster(3, seed, (0.975, 1.025, 1.025))
        several.elect()
        several.run(1000)
        leader = several.elect().name
        several.isolate(leader)
        several.propose(leader, 3)
        several.run(1000)
        assert several.elect().name != leader
        lost = [one.failure for one in several.rejected]
        assert lost == [consensus.LeaseLost()] * 3
        several.run(120_000 if seed == 0 else 1000)
        several.settle()

    @pytest.mark.parametrize("seed", range(10))
    def test_half_heard_leader_keeps_its_lease(self, seed: int) -> None:
        several = cluster.Cluster(3, seed)
        leader = several.elect().name
        deaf, other = (one for one in several.vms if one != leader)
        several.cuts.add((leader, deaf))
        for _ in range(20):
            several.run(several.rng.randrange(20, 60))
            several.kill(other)
            several.start(other)
        several.run(1000)
        assert several.elect().name == leader
        several.settle()

    def test_frozen_leader_wakes_without_a_lease(self) -> None:
        several = cluster.Cluster(3)
        leader = several.elect()
        leader.is_frozen = True
        several.run(1000)
        assert not leader.holds_lease
        assert several.elect() is not leader
        several.settle()


class TestLostDisk:
    def test_new_disk_counts_only_when_caught_up(self) -> None:
        several = cluster.Cluster(3)
        leader = several.elect().name
        several.propose(leader, 50)
        several.run(100)
        lost = next(one for one in several.vms if one != leader)
        seen = [several.configuration]
        several.lose_disk(lost)
        for _ in range(2000):
            several.run(1)
            if several.configuration != seen[-1]:
                seen.append(several.configuration)
        counts = [(len(one.voters), len(one.learners)) for one in seen]
        assert counts == [(3, 0), (3, 1), (2, 1), (3, 0)]
        again = next(one for one in several.vms if one not in (lost, leader))
        assert several.may_lose_disk(again)
        several.kill(leader)
        several.lose_disk(leader)
        several.settle()
        assert len(several.committed) == 50

    def test_snapshot_is_installed_in_chunks(self) -> None:
        several = cluster.Cluster(
            3, snapshot_after_entries=100, snapshot_chunk_bytes=256
        )
        for _ in range(10):
            several.propose(several.elect().name, 50)
            several.run(30)
        assert len(several.acknowledged) == 500
        for name in several.vms:
            several.kill(name)
        for name in several.vms:
            several.start(name)
        assert several.elect().applied == several.acknowledged
        lost = next(vm for vm in several.vms.values() if not vm.holds_lease)
        several.doubling = 0.5
        several.delay_microseconds = 5000
        several.lose_disk(lost.name)
        several.run(2000)
        several.settle()
        assert lost.applied == several.acknowledged


class TestMemberChange:
    @pytest.mark.parametrize(
        ("action", "place", "reason"),
        [
            ("add_learner", 1, consensus.RefusalReason.ALREADY_MEMBER),
            ("promote", 1, consensus.RefusalReason.ALREADY_MEMBER),
            ("promote", 3, consensus.RefusalReason.NO_SUCH_MEMBER),
            ("remove", 3, consensus.RefusalReason.NO_SUCH_MEMBER),
        ],
    )
    def test_refusals(
        self, action: str, place: int, reason: consensus.RefusalReason
    ) -> None:
        several = cluster.Cluster(3)
        leader = several.elect().name
        unknown = storage.MemberId(model.VmId("vm-9"), storage.DiskId(9))
        member = (*several.configuration.voters, unknown)[place]
        event = consensus.MemberChangeProposed(
            5, consensus.MemberAction(action), member
        )
        several.give(leader, event)
        failure = consensus.MemberChangeRefused(reason)
        assert several.rejected == [consensus.RejectProposal(5, failure)]

    def test_change_waits_for_the_one_before(self) -> None:
        several = cluster.Cluster(3)
        leader = several.elect().name
        for number in (8, 9):
            member = storage.MemberId(
                model.VmId(f"vm-{number}"), storage.DiskId(number)
            )
            action = consensus.MemberAction.ADD_LEARNER
            event = consensus.MemberChangeProposed(number, action, member)
            several.give(leader, event)
        reason = consensus.RefusalReason.CHANGE_PENDING
        failure = consensus.MemberChangeRefused(reason)
        assert several.rejected == [consensus.RejectProposal(9, failure)]
        several.run(20)
        assert len(several.configuration.learners) == 1

    def test_removed_leader_steps_down(self) -> None:
        several = cluster.Cluster(3)
        leader = several.elect()
        assert leader.node is not None
        removed = leader.node.member_id
        action = consensus.MemberAction.REMOVE
        event = consensus.MemberChangeProposed(1, action, removed)
        several.give(leader.name, event)
        several.run(20)
        assert removed not in several.configuration.members
        assert not leader.node.is_leader
        assert several.elect() is not leader
        several.settle()
