"""Limits, periods and intervals of endpoint membership."""

import datetime

import msgspec


class MembershipSettings(msgspec.Struct, frozen=True):
    """Settings of endpoint membership at an entry VM.

    ``eligible_age`` is the age, counted from when the endpoint sent it, up
    to which an announcement makes the endpoint eligible for new work.
    ``announce_interval`` is the longest delay that an endpoint is told to
    keep before its next announcement.  ``tick`` is the mean interval of gossip
    frames.
    A process that is late by more than ``freeze_limit`` counts as having been
    stopped.  ``forget_after`` is how long an endpoint without announcements
    is kept, ``tombstone_life`` how long a tombstone is.  A failed endpoint is
    avoided from ``first_backoff`` up to ``longest_backoff``, doubling with
    each failure.  ``digest_interval`` is the minimum time between two
    inventories sent to one peer.  ``subset_size`` is how many entry VMs of a
    scope follow the load of one endpoint; in a scope with no more entry VMs,
    each follows all endpoints.  A scope of up to ``mesh_limit_entries`` is a
    full mesh, a larger one a grid.  ``accept_announcements_without_echo``
    makes announcements without a valid echo count as sent on receipt.
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
