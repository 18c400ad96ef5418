"""Protects the last serving copies of model versions."""

import datetime

from sedgepin import _model
from sedgepin._release import _coverage
from sedgepin._release import _placement


class VersionGuard:
    """Decides which serving endpoints may stop serving their layers.

    Copies of a version that has lacked a layer for
    ``incomplete_version_timeout`` are not protected: no request can be
    served from them.
    """

    __slots__ = ("_incomplete_since", "_incomplete_version_timeout")

    def __init__(self, incomplete_version_timeout: datetime.timedelta) -> None:
        self._incomplete_version_timeout = incomplete_version_timeout
        self._incomplete_since: dict[
            _coverage.ModelVersion, datetime.datetime
        ] = {}

    def observe(
        self,
        coverage: _coverage.Coverage,
        resolver: _placement.PlacementResolver,
        now: datetime.datetime,
    ) -> None:
        """Record since when each version has lacked a layer."""
        incomplete = {}
        for version in coverage.versions():
            model = resolver.find_model(version.model)
            if model is None or coverage.is_complete(
                version, model.layer_count
            ):
                continue
            incomplete[version] = self._incomplete_since.get(version, now)
        self._incomplete_since = incomplete

    def may_stop_serving(
        self,
        announcement: _model.Announcement,
        coverage: _coverage.Coverage,
        resolver: _placement.PlacementResolver,
        now: datetime.datetime,
    ) -> bool:
        """Return whether an endpoint may stop serving its layers.

        It may if the model is withdrawn, other endpoints serve the same
        layers, the version in force is complete and this one is not desired,
        or this version has been incomplete for too long.
        """
        version = _coverage.served_version(announcement)
        model = resolver.find_model(version.model)
        if model is None or coverage.is_redundant(announcement):
            return True
        if not resolver.is_desired_version(version.model, version.version):
            successor = _coverage.ModelVersion(model.name, model.version)
            if coverage.is_complete(successor, model.layer_count):
                return True
        protection_ends_at = self.protection_ends_at(announcement)
        return protection_ends_at is not None and now >= protection_ends_at

    def protection_ends_at(
        self, announcement: _model.Announcement
    ) -> datetime.datetime | None:
        """Return when an incomplete version loses its protection.

        Return ``None`` while its version is complete.
        """
        since = self._incomplete_since.get(
            _coverage.served_version(announcement)
        )
        return (
            None if since is None else since + self._incomplete_version_timeout
        )
