"""Hypothesis settings that make property tests deterministic, and a clock."""

import typing

import hypothesis
import pytest
import trio

from sedgepin.tests import held_clock as clocks

hypothesis.settings.register_profile(
    "repeatable",
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=False,
)
hypothesis.settings.load_profile("repeatable")


@pytest.fixture
def held_clock() -> typing.Iterator[trio.abc.Clock]:
    """Yield the clock that pytest-trio runs a test by that asks for it."""
    clock = clocks.HeldClock()
    yield clock
    clock.close()
