"""Tests of the membership benchmark."""

import datetime

from bench import _membership as benchmark
from bench import _membership_fleet as fleets


class TestDataCentre:
    def test_small_fleet_settles_and_propagates_leaving(self) -> None:
        data_centre = fleets.DataCentre(benchmark.FLEETS[0])
        data_centre.run(datetime.timedelta(seconds=4))
        assert data_centre.eligible_share() == 1
        duration = data_centre.leave(0)
        assert duration == datetime.timedelta(milliseconds=1)
        assert data_centre.frame_bytes > 0

    def test_largest_fleet_has_expected_size_per_data_centre(self) -> None:
        largest = benchmark.FLEETS[-1]
        assert (largest.entry_count, largest.endpoint_count) == (54, 217)
