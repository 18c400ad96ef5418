"""Who may ask for what, and how members are told of."""

from sedgepin import _model as model
from sedgepin import _state as state
from sedgepin import _storage as storage
from sedgepin import _writes as writes


def may_ask(sender: model.VmId, command: state.Command) -> bool:
    """Tell whether an entry VM may have a command put into the log.

    Only those about writes that it holds itself, and the record of a request
    that it quarantined.
    """
    if isinstance(command, state.RecordEvent):
        is_quarantine = command.kind is state.AuditKind.REQUEST_QUARANTINED
        return is_quarantine and command.actor == sender
    if not isinstance(command, writes.WriteCommand):
        return False
    return command.holder.vm_id == sender


def describe_members(configuration: storage.Configuration) -> str:
    """Return the members as the audit trail shows them."""
    voters = ", ".join(one.vm_id for one in configuration.voters)
    learners = ", ".join(one.vm_id for one in configuration.learners)
    return f"voters {voters}; learners {learners or 'none'}"
