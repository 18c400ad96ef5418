"""The control VM: its reducer, and the daemon around it."""

from sedgepin._control._daemon import ControlDaemon
from sedgepin._control._daemon import run
from sedgepin._control._reducer import ControlReducer

__all__ = ["ControlDaemon", "ControlReducer", "run"]
