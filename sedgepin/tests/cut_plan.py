"""What happens on a day of ``cut_day``: which paths are cut, how and when."""

import dataclasses
import enum


class CutMode(enum.Enum):
    """How a path from an entry VM to an endpoint fails.

    ``SILENT``: nothing arrives, in either direction.  ``RESET``: open
    connections are reset, and new ones refused.  ``REFUSED``: open
    connections live on, and new ones are refused.  ``ONE_WAY``: nothing
    arrives at the endpoint, which stops sending when nothing is
    acknowledged.
    """

    SILENT = "silent"
    RESET = "reset"
    REFUSED = "refused"
    ONE_WAY = "one way"

    @property
    def is_silent(self) -> bool:
        """Return whether a new connection hangs."""
        return self in (CutMode.SILENT, CutMode.ONE_WAY)


class FaultMode(enum.Enum):
    """What becomes of a forwarder: it ends, or it freezes with its links."""

    DIES = "dies"
    FREEZES = "freezes"


class Group(enum.Enum):
    """Which entry VMs a cut hits."""

    ONE = "one VM"
    HALF_DATA_CENTRE = "half of a data centre"
    DATA_CENTRE = "a data centre"
    OTHER_DATA_CENTRE = "another data centre"
    MOST = "nine tenths of the fleet"


# The endpoints that a VM which has lost nearly all of them still reaches.
SOME_LEFT = ("engine-0", "ledger-0")


@dataclasses.dataclass(slots=True, frozen=True)
class Cut:
    """A loss of paths, in seconds after the start of the day.

    ``endpoints_left`` are the ids of the endpoints that stay reachable.
    """

    start: float
    end: float
    group: Group = Group.ONE
    mode: CutMode = CutMode.RESET
    endpoints_left: tuple[str, ...] = ()

    def severs(self, endpoint_id: str, second: float) -> bool:
        """Return whether an endpoint cannot be reached at a time."""
        return (
            self.start <= second < self.end
            and endpoint_id not in self.endpoints_left
        )


@dataclasses.dataclass(slots=True, frozen=True)
class ForwarderFault:
    """The fault of an entry VM that is not cut off.

    It hits the one that carries most requests of others at the time.
    """

    start: float
    end: float
    mode: FaultMode = FaultMode.DIES


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointFault:
    """A fault of endpoints that hits connections from all entry VMs.

    Hit are the engines whose numbers are multiples of ``every``, and as many
    of the plain endpoints.  Control VMs do not see it unless ``is_crash`` is
    set: then the processes have ended and start again at its end.
    """

    start: float
    end: float
    every: int = 3
    mode: CutMode = CutMode.REFUSED
    is_crash: bool = False
    hits_ledger: bool = False

    def hits(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is one of those that fail."""
        service, _, number = endpoint_id.partition("-")
        if service != "engine" and not self.hits_ledger:
            return False
        return int(number) % self.every == 0

    def severs(self, endpoint_id: str, second: float) -> bool:
        """Return whether an endpoint cannot be reached at a time."""
        return self.start <= second < self.end and self.hits(endpoint_id)


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """What happens on a day; times are seconds after the day's start.

    ``cut_per_second`` requests a second go to the VMs that are cut off at any
    time of the day, and ``other_per_second`` to the others.
    """

    cuts: tuple[Cut, ...]
    faults: tuple[ForwarderFault, ...] = ()
    endpoint_faults: tuple[EndpointFault, ...] = ()
    # The entry VMs whose numbers are multiples of it run a build that does
    # not say whether it is cut off itself; 0 for none.
    old_every: int = 0
    entry_count: int = 7
    control_count: int = 3
    data_centre_count: int = 3
    engine_pairs: int = 18
    ledger_count: int = 4
    seconds: float = 14.0
    cut_per_second: float = 20.0
    other_per_second: float = 20.0
    seed: int = 1

    def members(self, group: Group) -> tuple[int, ...]:
        """Return the numbers of the entry VMs of a group."""
        centre = 1 if group is Group.OTHER_DATA_CENTRE else 0
        in_centre = tuple(
            range(centre, self.entry_count, self.data_centre_count)
        )
        match group:
            case Group.ONE:
                return in_centre[:1]
            case Group.HALF_DATA_CENTRE:
                return in_centre[: (len(in_centre) + 1) // 2]
            case Group.DATA_CENTRE | Group.OTHER_DATA_CENTRE:
                return in_centre
            case Group.MOST:
                return tuple(range(self.entry_count * 9 // 10))

    def is_old(self, number: int) -> bool:
        """Return whether an entry VM runs the build before."""
        return bool(self.old_every) and number % self.old_every == 0

    def cuts_of(self, number: int) -> tuple[Cut, ...]:
        """Return the cuts that hit an entry VM, in order."""
        return tuple(
            sorted(
                (
                    cut
                    for cut in self.cuts
                    if number in self.members(cut.group)
                ),
                key=lambda cut: cut.start,
            )
        )


def make_plan(
    entry_count: int, group: Group, *cuts: Cut, seed: int = 1
) -> Plan:
    """Return a plan with the other sizes that fit the fleet's.

    Each VM that is cut off gets 1.5 requests a second at least.
    """
    control_count = 3 if entry_count < 100 else 5
    plan = Plan(
        cuts,
        entry_count=entry_count,
        control_count=control_count,
        data_centre_count=control_count,
        engine_pairs=18 if entry_count < 100 else 36,
        seconds=max(cut.end for cut in cuts) + 6.0,
        seed=seed,
    )
    rate = max(20.0, 1.5 * len(plan.members(group)))
    return dataclasses.replace(plan, cut_per_second=rate)
