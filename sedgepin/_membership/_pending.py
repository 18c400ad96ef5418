"""Announcements that wait for the next tick, the newest of each endpoint."""

import msgspec

from sedgepin import _model as model

_CACHE_EVENT_LIMIT = 256


class Pending:
    """What is to be sent of each endpoint, one announcement each."""

    __slots__ = ("_announcements",)

    def __init__(self) -> None:
        self._announcements: dict[model.EndpointId, model.Announcement] = {}

    def put(self, announcement: model.Announcement) -> None:
        """Hold an announcement in place of an earlier one."""
        endpoint_id = announcement.endpoint_id
        before = self._announcements.get(endpoint_id)
        self._announcements[endpoint_id] = _join_cache_events(
            before, announcement
        )

    def take(self, endpoint_id: model.EndpointId) -> list[model.Announcement]:
        """Return what is held of one endpoint, and hold it no more."""
        announcement = self._announcements.pop(endpoint_id, None)
        return [] if announcement is None else [announcement]

    def take_all(self) -> list[model.Announcement]:
        """Return all that is held, and hold it no more."""
        taken = list(self._announcements.values())
        self._announcements.clear()
        return taken


def _join_cache_events(
    before: model.Announcement | None, after: model.Announcement
) -> model.Announcement:
    """Keep the cache events of an announcement that was not sent yet.

    Past the limit the older ones are dropped: the gap in their numbers makes
    the reader wait for the next snapshot.
    """
    if before is None or not before.cache_events:
        return after
    if before.incarnation != after.incarnation:
        return after
    joined = before.cache_events + after.cache_events
    return msgspec.structs.replace(
        after, cache_events=joined[-_CACHE_EVENT_LIMIT:]
    )
