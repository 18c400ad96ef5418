"""The ``sedgepin`` command."""

from sedgepin.cli._main import main

__all__ = ["main"]
