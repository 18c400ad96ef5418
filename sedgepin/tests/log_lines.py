"""Finds the log events a package can write, to test that all are covered."""

import pathlib
import re

from sedgepin import events


def find_event_names(package: pathlib.Path) -> set[str]:
    """Return the names of the events that a package's modules refer to."""
    text = "".join(path.read_text() for path in package.glob("*.py"))
    constants = re.findall(r"\bevents\.([A-Z_]{3,})", text)
    return {getattr(events, constant).name for constant in constants}
