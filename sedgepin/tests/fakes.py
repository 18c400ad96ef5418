"""Callers, processes and endpoints of a simulation."""

import collections.abc
import dataclasses
import datetime
import typing

from sedgepin import _model as model
from sedgepin import _storage as storage
from sedgepin import errors


def seconds(number: float) -> datetime.timedelta:
    """Return a duration of ``number`` seconds."""
    return datetime.timedelta(seconds=number)


class Caller:
    """The answer that one caller or operator has received so far."""

    def __init__(self, sent_at: datetime.datetime) -> None:
        self.sent_at = sent_at
        self.answered_at: datetime.datetime | None = None
        self.piece_times: list[datetime.datetime] = []
        self.texts: list[str] = []
        self.finish_reason: str | None = None
        self.failure: errors.Failure | None = None
        self.answer: typing.Any = None

    @property
    def text(self) -> str:
        """Return the text of all pieces received."""
        return "".join(self.texts)

    @property
    def is_finished(self) -> bool:
        """Return whether the answer is complete or has failed."""
        return self.answered_at is not None


class Vm:
    """One process with its disk.

    ``reducer`` is ``None`` while the process is stopped; ``backlog`` holds
    the events that arrive while it is frozen.
    """

    def __init__(self, name: str, role: str, data_centre: str) -> None:
        self.name = model.VmId(name)
        self.role = role
        self.data_centre = data_centre
        self.disk = storage.MemoryDisk()
        self.reducer: typing.Any = None
        self.store: storage.LogStore | None = None
        self.incarnation = 0
        self.is_frozen = False
        self.backlog: list[collections.abc.Callable[[], None]] = []
        self.callers: dict[typing.Any, Caller] = {}
        self.cancelled: set[tuple[str, int]] = set()


@dataclasses.dataclass
class Endpoint:
    """A fake engine, or a plain service if ``layers`` is ``None``.

    A silent endpoint accepts work and never answers.  A paused one, like a
    stopped process, says nothing at all until it goes on.  ``fence`` is the
    highest fencing token that it has accepted.  ``requests_per_second`` is
    the limit of requests that it names.
    """

    name: model.EndpointId
    data_centre: str
    layers: model.LayerRange | None
    is_alive: bool = True
    is_leaving: bool = False
    is_silent: bool = False
    is_paused: bool = False
    checks_fencing: bool = True
    incarnation: int = 1
    sequence: int = 0
    version: str = "1"
    echoes: dict[str, str] = dataclasses.field(default_factory=dict)
    work_received_at: list[datetime.datetime] = dataclasses.field(
        default_factory=list
    )
    orders: list[typing.Any] = dataclasses.field(default_factory=list)
    fence: tuple[int, int] = (0, 0)
    requests_per_second: float | None = None
