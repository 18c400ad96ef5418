"""The document in which an entry VM reports its service levels."""

import datetime

import msgspec

REPORT_PATH = "/v1/service-levels"


class Level(msgspec.Struct, frozen=True, omit_defaults=True):
    """The counts of one customer and route.

    ``waiting`` is the number at the time of the report; the others count
    what happened within a time.  ``refused`` has the number of requests that
    ended with a failure, by its code.
    """

    customer: str
    route: str
    waiting: int = 0
    served: int = 0
    refused: dict[str, int] = {}
    late_first_outputs: int = 0
    late_pauses: int = 0


class Report(msgspec.Struct, frozen=True):
    """The levels of one entry VM, counted from ``since`` until ``at``."""

    vm: str
    data_centre: str
    since: datetime.datetime
    at: datetime.datetime
    levels: tuple[Level, ...] = ()
