"""Fixtures of the tests of control VMs."""

import pytest

from sedgepin._registrar.tests import cluster as clusters


@pytest.fixture
def cluster() -> clusters.Cluster:
    running_cluster = clusters.Cluster()
    running_cluster.run(2)
    return running_cluster
