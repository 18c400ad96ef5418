"""A router for model pipelines over mixed accelerators.

The public API is the two reducers and the daemons that run them.  Each is
imported on first access, so that a command loads only the modules it uses.

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

_PACKAGE_OF_NAME = {
    "ControlDaemon": "sedgepin._control",
    "ControlReducer": "sedgepin._control",
    "EntryDaemon": "sedgepin._entry",
    "EntryReducer": "sedgepin._entry",
}


def __getattr__(name: str) -> typing.Any:
    """Import a public name from its package on first access (PEP 562)."""
    package = _PACKAGE_OF_NAME.get(name)
    if package is None:
        raise AttributeError(f"module 'sedgepin' has no attribute {name!r}")
    return getattr(importlib.import_module(package), name)
