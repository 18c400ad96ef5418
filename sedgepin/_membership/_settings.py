"""Limits, periods and intervals of endpoint membership."""

import datetime

import msgspec


class MembershipSettings(msgspec.Struct, frozen=True):
    """Settings of endpoint membership at an entry VM.

    - ``eligible_age``: up to this age, counted from when the endpoint sent
      it, an announcement makes its endpoint eligible for new work.
    - ``announce_interval``: the longest delay that an entry VM requests
      before the next announcement of an endpoint.
    - ``tick``: the mean interval of gossip frames.
    - ``freeze_limit``: a process whose event loop is late by more than this
      counts as having been stopped.
    - ``forget_after``: an endpoint without new announcements is removed after
      this time.
    - ``tombstone_life``: how long a tombstone is kept.
    - ``first_backoff``, ``longest_backoff``: how long an endpoint is avoided
      after a failure; doubles with each further failure.
    - ``digest_interval``: the minimum time between inventories to one peer.
    - ``endpoint_limit``, ``tombstone_limit``, ``rumour_limit``: the capacity
      of the directory and of the rumour store.
    - ``subset_size``: how many entry VMs of a scope follow the load of one
      endpoint; in a scope with no more entry VMs, each follows all endpoints.
    - ``mesh_limit_entries``: a scope of up to so many entry VMs is a full
      mesh, a larger one a grid.
    - ``accept_announcements_without_echo``: whether an announcement without a
      valid echo counts as sent on receipt, instead of as of unknown age.
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
