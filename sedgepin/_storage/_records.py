"""Records of the log: members, entries, hard state and snapshots."""

import enum
import typing

import msgspec

from sedgepin import _model as model

# A random number drawn when a data folder is first used.  A VM whose disk was
# lost draws a new one and thus becomes another member.
DiskId = typing.NewType("DiskId", int)


class MemberId(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A member of the cluster: one disk of one VM."""

    vm_id: model.VmId
    disk_id: DiskId


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """The members: voters count for quorums, learners only replicate.

    >>> first, second = MemberId("vm-1", 1), MemberId("vm-2", 2)
    >>> Configuration(voters=(first, second)).quorum
    2
    """

    voters: tuple[MemberId, ...] = ()
    learners: tuple[MemberId, ...] = ()

    @property
    def members(self) -> tuple[MemberId, ...]:
        """Return the voters, then the learners."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """Return the number of voters in a majority."""
        return len(self.voters) // 2 + 1

    def with_learner(self, member: MemberId) -> "Configuration":
        """Return the configuration with ``member`` added as a learner."""
        return Configuration(self.voters, self.learners + (member,))

    def with_promoted(self, member: MemberId) -> "Configuration":
        """Return the configuration with a learner promoted to voter."""
        rest = self.without(member)
        voters = tuple(sorted(rest.voters + (member,)))
        return Configuration(voters, rest.learners)

    def without(self, member: MemberId) -> "Configuration":
        """Return the configuration without ``member``."""
        return Configuration(
            tuple(voter for voter in self.voters if voter != member),
            tuple(learner for learner in self.learners if learner != member),
        )


class EntryKind(enum.IntEnum):
    """The content of a log entry."""

    EMPTY = 0
    COMMAND = 1
    CONFIGURATION = 2


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the log.

    A leader starts its term with an empty entry.  A configuration takes
    effect as soon as its entry is in the log, before it is committed.
    """

    index: int
    term: int
    kind: EntryKind
    command: bytes = b""
    configuration: Configuration | None = None


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """State that a member must persist before it replies to a message.

    ``cluster_id`` is set when the cluster is bootstrapped; 0 means none yet.
    """

    term: int = 0
    voted_for: MemberId | None = None
    cluster_id: int = 0


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The encoded state after the entry at ``index`` was applied."""

    index: int
    term: int
    configuration: Configuration
    state: bytes


class RecoveredState(msgspec.Struct, frozen=True):
    """The state recovered from disk.

    ``entries`` are contiguous and may overlap with the snapshot.
    ``torn_bytes`` is the size of the torn end that was truncated.
    """

    disk_id: DiskId
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()
    torn_bytes: int = 0

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def voted_for(self) -> MemberId | None:
        """Return the member that got this member's vote in the term."""
        return self.hard_state.voted_for
