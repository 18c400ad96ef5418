"""Failures of proposals."""

import dataclasses
import datetime
import enum
import typing

from sedgepin import _model as model
from sedgepin import errors

_ELECTION_RETRY_DELAY = datetime.timedelta(milliseconds=500)
_BACKLOG_RETRY_DELAY = datetime.timedelta(milliseconds=100)


@dataclasses.dataclass(slots=True, frozen=True)
class NotLeader(errors.Failure):
    """This member is not the leader; ``leader_id`` is ``None`` if unknown."""

    code: typing.ClassVar[str] = "not_leader"
    title: typing.ClassVar[str] = "This VM does not lead the log"
    http_status: typing.ClassVar[int] = 503

    leader_id: model.VmId | None

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return how long an election usually takes."""
        return _ELECTION_RETRY_DELAY

    def detail(self) -> str:
        """Return the leader, if known."""
        return f"the leader is {self.leader_id or 'not known'}"


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseLost(errors.Failure):
    """Leadership was lost before the proposal was committed.

    A later leader may still commit it, so the outcome is unknown.  The caller
    can repeat the request under the same key to learn it.
    """

    code: typing.ClassVar[str] = "lease_lost"
    title: typing.ClassVar[str] = "Leadership was lost before the commit"
    http_status: typing.ClassVar[int] = 503
    outcome: typing.ClassVar[errors.Outcome] = errors.Outcome.UNKNOWN

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return how long an election usually takes."""
        return _ELECTION_RETRY_DELAY


@dataclasses.dataclass(slots=True, frozen=True)
class TooManyProposals(errors.Failure):
    """The leader has reached its limit of uncommitted proposals."""

    code: typing.ClassVar[str] = "too_many_proposals"
    title: typing.ClassVar[str] = "Too many proposals wait for the quorum"
    http_status: typing.ClassVar[int] = 503

    uncommitted_count: int

    @property
    def retry_after(self) -> datetime.timedelta | None:
        """Return how long the backlog usually takes to shrink."""
        return _BACKLOG_RETRY_DELAY


class RefusalReason(enum.Enum):
    """Why a membership change was refused."""

    CHANGE_PENDING = "another change of members is not committed yet"
    NOT_CAUGHT_UP = "the learner has not caught up"
    NO_SUCH_MEMBER = "there is no such member"
    ALREADY_MEMBER = "it is a member already"
    TOO_MANY_VOTERS = "there are as many voters as the settings allow"
    LAST_VOTER = "it is the last voter"


@dataclasses.dataclass(slots=True, frozen=True)
class MemberChangeRefused(errors.Failure):
    """A membership change that is not possible in the current state."""

    code: typing.ClassVar[str] = "member_change_refused"
    title: typing.ClassVar[str] = "The members cannot be changed so"
    http_status: typing.ClassVar[int] = 409

    reason: RefusalReason

    def detail(self) -> str:
        """Return the reason."""
        return self.reason.value
