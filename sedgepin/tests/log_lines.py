"""What log lines a package can write, for tests that see each of them."""

import pathlib
import re

from sedgepin import events


def find_event_names(package: pathlib.Path) -> set[str]:
    """Return the names of the events that a package's modules name."""
    text = "".join(one.read_text() for one in package.glob("*.py"))
    constants = re.findall(r"\bevents\.([A-Z_]{3,})", text)
    return {getattr(events, one).name for one in constants}
