"""Authorizes commands of entry VMs and describes members for the audit."""

from sedgepin import _model as model
from sedgepin import _state as state
from sedgepin import _storage as storage
from sedgepin import _writes as writes


def may_propose(sender: model.VmId, command: state.Command) -> bool:
    """Return whether an entry VM may propose a command to the log.

    It may propose commands about writes that it holds, and the audit record
    of a request that it quarantined.
    """
    if isinstance(command, state.RecordEvent):
        is_quarantine = command.kind is state.AuditKind.REQUEST_QUARANTINED
        return is_quarantine and command.actor == sender
    if not isinstance(command, writes.WriteCommand):
        return False
    return command.holder.vm_id == sender


def describe_members(configuration: storage.Configuration) -> str:
    """Return the members of the Raft group as text for the audit trail."""
    voters = ", ".join(voter.vm_id for voter in configuration.voters)
    learners = ", ".join(learner.vm_id for learner in configuration.learners)
    return f"voters {voters}; learners {learners or 'none'}"
