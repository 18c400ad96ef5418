"""Queue of announcements to send at the next tick."""

import msgspec

from sedgepin import _model as model

_MAX_CACHE_EVENTS = 256


class PendingAnnouncements:
    """Holds the newest unsent announcement of each endpoint."""

    __slots__ = ("_announcements",)

    def __init__(self) -> None:
        self._announcements: dict[model.EndpointId, model.Announcement] = {}

    def add(self, announcement: model.Announcement) -> None:
        """Add an announcement, replacing an earlier one of the endpoint.

        Cache events of the replaced announcement are kept.
        """
        endpoint_id = announcement.endpoint_id
        previous = self._announcements.get(endpoint_id)
        self._announcements[endpoint_id] = _merge_cache_events(
            previous, announcement
        )

    def pop(self, endpoint_id: model.EndpointId) -> list[model.Announcement]:
        """Remove and return the announcement of an endpoint, if any."""
        announcement = self._announcements.pop(endpoint_id, None)
        return [] if announcement is None else [announcement]

    def pop_all(self) -> list[model.Announcement]:
        """Remove and return all announcements."""
        announcements = list(self._announcements.values())
        self._announcements.clear()
        return announcements


def _merge_cache_events(
    previous: model.Announcement | None, latest: model.Announcement
) -> model.Announcement:
    """Return ``latest`` with the unsent cache events of ``previous`` as well.

    Beyond the limit the oldest events are dropped.  Recipients
    detect the gap in the sequence numbers and wait for the next snapshot.
    """
    if previous is None or not previous.cache_events:
        return latest
    if previous.incarnation != latest.incarnation:
        return latest
    cache_events = previous.cache_events + latest.cache_events
    return msgspec.structs.replace(
        latest, cache_events=cache_events[-_MAX_CACHE_EVENTS:]
    )
