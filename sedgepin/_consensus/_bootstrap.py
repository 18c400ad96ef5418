"""How a member finds its cluster, or founds it with the others."""

import datetime

from sedgepin._consensus import _core
from sedgepin._consensus import _messages
from sedgepin import _model as model
from sedgepin import _storage as storage

_ANY_DISK = storage.DiskId(0)


class Bootstrap:
    """What a member does while it is no voter and hears no leader.

    It asks all control VMs to let it join.  Where its log is empty and it
    is the first of them in order of name, it founds a cluster once every
    other one has said that it is empty as well.  A VM that comes back with
    an empty disk meets one that is not, so it can only join.
    """

    __slots__ = ("_requested_at", "_blank_members", "_core")

    def __init__(self, core: _core.Core) -> None:
        self._core = core
        self._requested_at: datetime.datetime | None = None
        self._blank_members: dict[model.VmId, storage.MemberId] = {}

    def tick(self, now: datetime.datetime) -> None:
        """Ask again when it is time, as long as there is need."""
        core = self._core
        # Where members come and go, a voter by its own log may have been
        # removed meanwhile, and only asking brings it back.
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
        """Tell a member that asks whether this one is empty as well."""
        core = self._core
        reply = _messages.JoinReply(core.header(joiner), core.log.is_empty)
        core.send(joiner.vm_id, reply)

    def handle_join_reply(
        self,
        sender: storage.MemberId,
        reply: _messages.JoinReply,
        now: datetime.datetime,
    ) -> None:
        """Note an answer, and found the cluster if it was the last."""
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
        first = storage.LogEntry(
            1,
            0,
            storage.EntryKind.CONFIGURATION,
            configuration=storage.Configuration(voters),
        )
        core.change_hard_state(cluster_id=core.member_id.disk_id)
        core.append([first])
        core.election_due_at = now
