"""Joining an existing cluster, or bootstrapping a new one."""

import datetime

from sedgepin._consensus import _core
from sedgepin._consensus import _messages
from sedgepin import _model as model
from sedgepin import _storage as storage

_ANY_DISK = storage.DiskId(0)


class Bootstrap:
    """Sends join requests while this member has no leader.

    Without open membership, a voter sends none.  Requests go to all control
    VMs and known members.  The control VM whose id sorts first bootstraps a
    new cluster if its own log is empty and every other control VM has reported
    an empty log too.  A VM that returns to a running cluster with an empty
    disk gets a reply from a member with a non-empty log, so it can only join.
    """

    __slots__ = ("_blank_members", "_core", "_requested_at")

    def __init__(self, core: _core.Core) -> None:
        self._core = core
        self._requested_at: datetime.datetime | None = None
        self._blank_members: dict[model.VmId, storage.MemberId] = {}

    def tick(self, now: datetime.datetime) -> None:
        """Send join requests if this member still needs to join."""
        core = self._core
        # With open membership a member that its own log lists as a voter may
        # have been removed since; only a join request brings it back.
        needs_no_join = core.is_voter and not core.cfg.open_membership
        if (
            needs_no_join
            or now < core.election_due_at
            or not self._is_due(now)
        ):
            return
        self._requested_at = now
        self._blank_members.clear()
        members = {member.vm_id for member in core.configuration.members}
        for vm_id in sorted(members.union(core.cfg.control_vms)):
            if vm_id == core.cfg.vm_id:
                continue
            header = core.header(storage.MemberId(vm_id, _ANY_DISK))
            core.send(vm_id, _messages.JoinRequest(header))
        self._bootstrap_if_all_blank(now)

    def handle_join_request(self, joiner: storage.MemberId) -> None:
        """Reply to a join request, stating whether this log is empty."""
        core = self._core
        reply = _messages.JoinReply(core.header(joiner), core.log.is_empty)
        core.send(joiner.vm_id, reply)

    def handle_join_reply(
        self,
        sender: storage.MemberId,
        reply: _messages.JoinReply,
        now: datetime.datetime,
    ) -> None:
        """Record a reply; bootstrap if all control VMs have empty logs."""
        if reply.is_blank:
            self._blank_members[sender.vm_id] = sender
        else:
            self._blank_members.pop(sender.vm_id, None)
        self._bootstrap_if_all_blank(now)

    def _is_due(self, now: datetime.datetime) -> bool:
        if self._requested_at is None:
            return True
        return now - self._requested_at >= self._core.cfg.join_interval

    def _bootstrap_if_all_blank(self, now: datetime.datetime) -> None:
        core = self._core
        if not core.log.is_empty or not core.cfg.may_bootstrap:
            return
        others = set(core.cfg.control_vms) - {core.cfg.vm_id}
        if core.cfg.vm_id != min(core.cfg.control_vms):
            return
        if set(self._blank_members) != others:
            return
        voters = tuple(sorted([core.member_id, *self._blank_members.values()]))
        first_entry = storage.LogEntry(
            1,
            0,
            storage.EntryKind.CONFIGURATION,
            configuration=storage.Configuration(voters),
        )
        core.change_hard_state(cluster_id=core.member_id.disk_id)
        core.append([first_entry])
        core.election_due_at = now
