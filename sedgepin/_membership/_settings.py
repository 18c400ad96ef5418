"""What membership may take, wait and keep."""

import datetime

import msgspec


class MembershipSettings(msgspec.Struct, frozen=True):
    """Limits and periods of endpoint membership.

    ``eligible_age`` bounds the age, counted from the endpoint's own sending,
    up to which an announcement allows new work.  ``subset_size`` is how many
    entries of a scope follow the load of one endpoint; a scope with no more
    entries than that follows everything.  A scope of up to
    ``mesh_limit_entries`` is a full mesh, a larger one a grid.
    """

    eligible_age: datetime.timedelta = datetime.timedelta(seconds=2.5)
    announce_interval: datetime.timedelta = datetime.timedelta(seconds=0.5)
    tick: datetime.timedelta = datetime.timedelta(seconds=0.4)
    freeze_limit: datetime.timedelta = datetime.timedelta(seconds=0.5)
    forget_after: datetime.timedelta = datetime.timedelta(seconds=60)
    tombstone_life: datetime.timedelta = datetime.timedelta(minutes=10)
    first_backoff: datetime.timedelta = datetime.timedelta(seconds=1)
    longest_backoff: datetime.timedelta = datetime.timedelta(seconds=30)
    digest_interval: datetime.timedelta = datetime.timedelta(seconds=2)
    endpoint_limit: int = 4096
    tombstone_limit: int = 4096
    rumour_limit: int = 1024
    subset_size: int = 32
    mesh_limit_entries: int = 8
    accept_announcements_without_echo: bool = False
