"""The entry VM: its reducer, and the daemon around it."""

from sedgepin._entry._daemon import EntryDaemon
from sedgepin._entry._daemon import run
from sedgepin._entry._endpoint_client import EndpointClient
from sedgepin._entry._reducer import EntryReducer

__all__ = ["EndpointClient", "EntryDaemon", "EntryReducer", "run"]
