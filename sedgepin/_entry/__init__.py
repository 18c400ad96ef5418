"""The entry daemon."""

from sedgepin import settings


def run(cfg: settings.EntrySettings) -> None:
    """Run."""
