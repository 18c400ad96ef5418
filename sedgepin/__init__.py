"""A router for model pipelines over mixed accelerators.

The two reducers and the daemons around them are the library.  They are
imported when they are first asked for, so that a command needs only what it
uses.

>>> from sedgepin import EntryReducer
>>> EntryReducer.__name__
'EntryReducer'
"""

import importlib
import typing

if typing.TYPE_CHECKING:
    from sedgepin._control import ControlDaemon
    from sedgepin._control import ControlReducer
    from sedgepin._entry import EntryDaemon
    from sedgepin._entry import EntryReducer

__all__ = ["ControlDaemon", "ControlReducer", "EntryDaemon", "EntryReducer"]

_HOMES = {
    "ControlDaemon": "sedgepin._control",
    "ControlReducer": "sedgepin._control",
    "EntryDaemon": "sedgepin._entry",
    "EntryReducer": "sedgepin._entry",
}


def __getattr__(name: str) -> typing.Any:
    """Return a public name, importing the package that holds it."""
    home = _HOMES.get(name)
    if home is None:
        raise AttributeError(f"module 'sedgepin' has no attribute {name!r}")
    return getattr(importlib.import_module(home), name)
