"""Fixtures of the tests of control VMs."""

import pytest

from sedgepin._registrar.tests import cluster as clusters


@pytest.fixture
def cluster() -> clusters.Cluster:
    made = clusters.Cluster()
    made.run(2)
    return made
