"""Keeps the last serving copies from being taken away."""

import datetime

from sedgepin import _model
from sedgepin._release import _layer_coverage
from sedgepin._release import _placement


class CopyGuard:
    """Tells which serving endpoints may stop serving what they serve.

    Copies of a version that has lacked a layer for ``incomplete_time`` are
    not protected: no request can be served from them.
    """

    __slots__ = ("_incomplete_since", "_incomplete_time")

    def __init__(self, incomplete_time: datetime.timedelta) -> None:
        self._incomplete_time = incomplete_time
        self._incomplete_since: dict[
            _layer_coverage.Copy, datetime.datetime
        ] = {}

    def observe(
        self,
        coverage: _layer_coverage.Coverage,
        placer: _placement.Placer,
        now: datetime.datetime,
    ) -> None:
        """Note since when each version has lacked a layer."""
        incomplete = {}
        for copy in coverage.copies():
            found = placer.model(copy.model)
            if found is None or coverage.is_complete(copy, found.layer_count):
                continue
            incomplete[copy] = self._incomplete_since.get(copy, now)
        self._incomplete_since = incomplete

    def may_go(
        self,
        announced: _model.Announcement,
        coverage: _layer_coverage.Coverage,
        placer: _placement.Placer,
        now: datetime.datetime,
    ) -> bool:
        """Tell whether requests are served as well without this copy."""
        copy = _layer_coverage.copy_of(announced)
        found = placer.model(copy.model)
        if found is None or coverage.has_others(announced):
            return True
        if not placer.wants_version(copy.model, copy.version):
            successor = _layer_coverage.Copy(found.name, found.version)
            if coverage.is_complete(successor, found.layer_count):
                return True
        unprotected_at = self.unprotected_at(announced)
        return unprotected_at is not None and now >= unprotected_at

    def unprotected_at(
        self, announced: _model.Announcement
    ) -> datetime.datetime | None:
        """Return when a copy that cannot be served from may go."""
        since = self._incomplete_since.get(_layer_coverage.copy_of(announced))
        return None if since is None else since + self._incomplete_time
