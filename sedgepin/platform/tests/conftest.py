"""Fixtures that several tests of the programs use."""

import pathlib
import typing

import pytest

from sedgepin.platform.tests import running_system


@pytest.fixture
def system(tmp_path: pathlib.Path) -> typing.Iterator[running_system.System]:
    daemons = running_system.System(tmp_path)
    yield daemons
    daemons.stop()
