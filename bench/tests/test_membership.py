"""Tests of the membership bench."""

import datetime

from bench import _membership as bench
from bench import _membership_fleet as fleets


class TestDataCentre:
    def test_small_fleet_settles_and_tells_of_a_leaving(self) -> None:
        data_centre = fleets.DataCentre(bench.FLEETS[0])
        data_centre.run(datetime.timedelta(seconds=4))
        assert data_centre.eligible_share() == 1
        took = data_centre.leave(0)
        assert took == datetime.timedelta(milliseconds=1)
        assert data_centre.frame_bytes > 0

    def test_sizes_stand_for_the_fleet(self) -> None:
        largest = bench.FLEETS[-1]
        assert (largest.entry_count, largest.endpoint_count) == (54, 217)
