"""The control VM: a reducer with all decisions, and its daemon.

The reducer runs without the daemon too: pass events to
``ControlReducer.handle`` and carry out the effects that it returns, in order.
"""

from sedgepin._control._daemon import ControlDaemon
from sedgepin._control._daemon import run
from sedgepin._control._effects import AnswerOperator
from sedgepin._control._effects import ControlEffect
from sedgepin._control._effects import CountMetric
from sedgepin._control._effects import SendMessage
from sedgepin._control._effects import SendOrder
from sedgepin._control._effects import WriteLog
from sedgepin._control._events import ControlEvent
from sedgepin._control._events import DrainRequested
from sedgepin._control._events import OperatorProposed
from sedgepin._control._events import OrderCompleted
from sedgepin._control._events import TimerFired
from sedgepin._control._reducer import ControlReducer

__all__ = [
    "AnswerOperator",
    "ControlDaemon",
    "ControlEffect",
    "ControlEvent",
    "ControlReducer",
    "CountMetric",
    "DrainRequested",
    "OperatorProposed",
    "OrderCompleted",
    "SendMessage",
    "SendOrder",
    "TimerFired",
    "WriteLog",
    "run",
]
