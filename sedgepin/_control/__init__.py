"""The control daemon."""

from sedgepin import settings


def run(cfg: settings.ControlSettings) -> None:
    """Run."""
