"""Hypothesis settings that make property tests deterministic, and a clock."""

import gc
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


@pytest.fixture
def frozen_heap() -> None:
    """Leave what other tests have made out of garbage collections.

    For tests that measure how long the code holds its thread.
    """
    gc.collect()
    gc.freeze()
