"""What the log holds: members, entries, votes and snapshots."""

import enum
import typing

import msgspec

from sedgepin import _model as model

# A number drawn when a data folder is first used.  A VM whose disk was lost
# gets another one, and with it another member identity.
DiskId = typing.NewType("DiskId", int)


class MemberId(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One disk of one VM: what votes, and what a vote counts for."""

    vm_id: model.VmId
    disk_id: DiskId


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """The members: voters make up the quorum, learners only follow.

    >>> one, two = MemberId("vm-1", 1), MemberId("vm-2", 2)
    >>> Configuration(voters=(one, two)).quorum
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
        """Return how many voters make a majority."""
        return len(self.voters) // 2 + 1

    def with_learner(self, member: MemberId) -> "Configuration":
        """Return the configuration with one more learner."""
        return Configuration(self.voters, self.learners + (member,))

    def with_promoted(self, member: MemberId) -> "Configuration":
        """Return the configuration with a learner made a voter."""
        rest = self.without(member)
        voters = tuple(sorted(rest.voters + (member,)))
        return Configuration(voters, rest.learners)

    def without(self, member: MemberId) -> "Configuration":
        """Return the configuration with one member less."""
        return Configuration(
            tuple(voter for voter in self.voters if voter != member),
            tuple(other for other in self.learners if other != member),
        )


class EntryKind(enum.IntEnum):
    """What a log entry carries."""

    EMPTY = 0
    COMMAND = 1
    CONFIGURATION = 2


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One place of the log.

    A leader starts its term with an empty entry.  A configuration is in
    effect from the moment that its entry is in the log.
    """

    index: int
    term: int
    kind: EntryKind
    command: bytes = b""
    configuration: Configuration | None = None


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """What a member must remember before it answers.

    ``cluster_id`` is drawn when a cluster is founded; 0 is none yet.
    """

    term: int = 0
    voted_for: MemberId | None = None
    cluster_id: int = 0


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The applied state after the entry at ``index``."""

    index: int
    term: int
    configuration: Configuration
    state: bytes


class RecoveredState(msgspec.Struct, frozen=True):
    """What was found on the disk.

    ``entries`` are contiguous; they may start before the snapshot's end.
    ``torn_bytes`` counts what was cut off the end as never synced.
    """

    disk_id: DiskId
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()
    torn_bytes: int = 0

    @property
    def term(self) -> int:
        """Return the last term seen."""
        return self.hard_state.term

    @property
    def voted_for(self) -> MemberId | None:
        """Return whom the member voted for in that term."""
        return self.hard_state.voted_for
