"""Runs two builds side by side while programs are replaced one by one."""

import collections.abc
import dataclasses
import pathlib
import random

import trio

from sedgepin.platform.tests.soak import _addresses
from sedgepin.platform.tests.soak import _engines
from sedgepin.platform.tests.soak import _operator
from sedgepin.platform.tests.soak import _programs
from sedgepin.platform.tests.soak import _record
from sedgepin.platform.tests.soak import _seed_run

# The platform starts the next program once this one serves again.
_GAP_SECONDS = 1.5
_CATCH_UP_SECONDS = 4.0
_LIMITED_ENGINES = (0, 3)
# Above all that comes, since the old build does not heed limits.
_REQUESTS_PER_SECOND = 20.0


@dataclasses.dataclass(slots=True, frozen=True)
class Replacement:
    """A program that is replaced by a build; ``None`` for these sources."""

    role: str
    number: int
    build: pathlib.Path | None


def replace_all(
    roles: collections.abc.Iterable[str], build: pathlib.Path | None
) -> list[Replacement]:
    """Return the replacements of all programs, role after role."""
    return [
        Replacement(role, number, build)
        for role in roles
        for number in range(1, _seed_run.COUNTS[role] + 1)
    ]


async def run_upgrade(
    seed: int,
    folder: pathlib.Path,
    first_build: pathlib.Path,
    replacements: list[Replacement],
    lane: int = 91,
) -> _record.Record:
    """Replace programs under load, beside engines that name limits.

    The whole time is recorded as a calm span: callers must notice nothing.
    """
    rng = random.Random(seed)
    addresses = _addresses.Addresses(lane, _seed_run.COUNTS)
    record = _record.Record()
    programs = _programs.Programs(folder, addresses, first_build)

    async def replace(engines: list[_engines.Engine]) -> None:
        for number in _LIMITED_ENGINES:
            engines[number].name_limit(_REQUESTS_PER_SECOND)
        start = trio.current_time()
        await trio.sleep(_GAP_SECONDS)
        for replacement in replacements:
            await _replace(programs, addresses, replacement, record)
        await trio.sleep(_GAP_SECONDS)
        record.calm_spans.append((start, trio.current_time()))
        await trio.sleep(_seed_run.SETTLE_SECONDS)

    try:
        await _seed_run.run_beside(rng, addresses, record, programs, replace)
    finally:
        programs.kill_all()
        programs.fill_in(record)
    return record


async def _replace(
    programs: _programs.Programs,
    addresses: _addresses.Addresses,
    replacement: Replacement,
    record: _record.Record,
) -> None:
    (program,) = (
        program
        for program in programs.with_role(replacement.role)
        if program.number == replacement.number
    )
    build = replacement.build
    record.faults.append(
        f"{trio.current_time():.2f} replace {program.name} by"
        f" {'these sources' if build is None else build.name}"
    )
    await programs.stop(program)
    program.build = build
    programs.restart(program)
    if replacement.role == "control":
        await trio.sleep(_CATCH_UP_SECONDS)
        return
    address = addresses.readiness_address(replacement.number)
    while not await _operator.is_ready(address):
        await trio.sleep(0.1)
    await trio.sleep(_GAP_SECONDS)
