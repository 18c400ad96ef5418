"""Finds out what lost endpoints have in common, and holds that back.

Each VM reports what the requests on a lost endpoint consisted of: the request
itself and the parts of its prompt.  What endpoints are lost under again and
again, and never answer, is held back on all VMs.  Both quarantines use it.
"""

from sedgepin._crash_causes._evidence import CrashMark
from sedgepin._crash_causes._evidence import Death
from sedgepin._crash_causes._evidence import Evidence
from sedgepin._crash_causes._log_lines import change_line
from sedgepin._crash_causes._log_lines import held_back_line
from sedgepin._crash_causes._tracker import CauseChange
from sedgepin._crash_causes._tracker import CrashCauseTracker
from sedgepin._crash_causes._tracker import SuspectRequest
from sedgepin._crash_causes._trait import part_trait
from sedgepin._crash_causes._trait import request_trait
from sedgepin._crash_causes._trait import Trait
from sedgepin._crash_causes._trait import TraitKind
from sedgepin._crash_causes._verdicts import Cause

__all__ = [
    "Cause",
    "CauseChange",
    "CrashCauseTracker",
    "CrashMark",
    "Death",
    "Evidence",
    "SuspectRequest",
    "Trait",
    "TraitKind",
    "change_line",
    "held_back_line",
    "part_trait",
    "request_trait",
]
