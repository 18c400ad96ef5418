"""Parts that the shells of both daemons share.

A shell feeds a reducer with events and carries out its effects.
"""

from sedgepin._shell._daemon import peers_to_dial
from sedgepin._shell._daemon import StopSignal
from sedgepin._shell._daemon import watch_stop_signals
from sedgepin._shell._driver import Driver
from sedgepin._shell._driver import DriverStopped
from sedgepin._shell._driver import Postponement
from sedgepin._shell._log_folder import open_log
from sedgepin._shell._memory import create_budget
from sedgepin._shell._metrics import create_sink
from sedgepin._shell._metrics import MetricSink
from sedgepin._shell._metrics import NullSink
from sedgepin._shell._metrics import PrometheusSink
from sedgepin._shell._metrics import StatsdSink
from sedgepin._shell._reload import SettingsSource
from sedgepin._shell._reload import watch_settings
from sedgepin._shell._run import run_daemon
from sedgepin._shell._work import limit_work

__all__ = [
    "Driver",
    "DriverStopped",
    "MetricSink",
    "NullSink",
    "Postponement",
    "PrometheusSink",
    "SettingsSource",
    "StatsdSink",
    "StopSignal",
    "create_budget",
    "create_sink",
    "limit_work",
    "open_log",
    "peers_to_dial",
    "run_daemon",
    "watch_settings",
    "watch_stop_signals",
]
