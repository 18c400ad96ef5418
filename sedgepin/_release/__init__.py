"""Release notes, the fleet they describe, and the orders to reach it."""

from sedgepin._release._acceptance import AcceptedNote
from sedgepin._release._failures import NoteConflict
from sedgepin._release._failures import NoteConflictKind
from sedgepin._release._fleet import decode_fleet
from sedgepin._release._fleet import encode_fleet
from sedgepin._release._fleet import Fleet
from sedgepin._release._ledger import LedgerContents
from sedgepin._release._ledger import NoteLedger
from sedgepin._release._note import Adapter
from sedgepin._release._note import Added
from sedgepin._release._note import Change
from sedgepin._release._note import Changed
from sedgepin._release._note import Item
from sedgepin._release._note import ItemKey
from sedgepin._release._note import Model
from sedgepin._release._note import ReleaseNote
from sedgepin._release._note import Role
from sedgepin._release._note import Selector
from sedgepin._release._note import Service
from sedgepin._release._note import ServiceKind
from sedgepin._release._note import Version
from sedgepin._release._note import Withdrawn
from sedgepin._release._note import WithdrawnAdapter
from sedgepin._release._note import WithdrawnItem
from sedgepin._release._note import WithdrawnModel
from sedgepin._release._note import WithdrawnRole
from sedgepin._release._note import WithdrawnService
from sedgepin._release._note import WithdrawnVersion
from sedgepin._release._order import FencingToken
from sedgepin._release._order import Order
from sedgepin._release._order import OrderAction
from sedgepin._release._parsing import parse_note
from sedgepin._release._placement import Placement
from sedgepin._release._placement import STANDBY_ROLE
from sedgepin._release._planner import OrderPlanner
from sedgepin._release._planner_types import EndpointsObserved
from sedgepin._release._planner_types import FleetChanged
from sedgepin._release._planner_types import LeadershipGained
from sedgepin._release._planner_types import LeadershipLost
from sedgepin._release._planner_types import OrderCompleted
from sedgepin._release._planner_types import OrderOutcome
from sedgepin._release._planner_types import PlannerEffect
from sedgepin._release._planner_types import PlannerEvent
from sedgepin._release._planner_types import PlannerSettings
from sedgepin._release._planner_types import ReportFencingRefused
from sedgepin._release._planner_types import SendOrder
from sedgepin._release._planner_types import StartTimer
from sedgepin._release._planner_types import TimerFired
from sedgepin._release._planner_types import WithheldOrder

__all__ = [
    "AcceptedNote",
    "Adapter",
    "Added",
    "Change",
    "Changed",
    "EndpointsObserved",
    "FencingToken",
    "Fleet",
    "FleetChanged",
    "Item",
    "ItemKey",
    "LeadershipGained",
    "LeadershipLost",
    "LedgerContents",
    "Model",
    "NoteConflict",
    "NoteConflictKind",
    "NoteLedger",
    "Order",
    "OrderAction",
    "OrderCompleted",
    "OrderOutcome",
    "OrderPlanner",
    "Placement",
    "PlannerEffect",
    "PlannerEvent",
    "PlannerSettings",
    "ReleaseNote",
    "ReportFencingRefused",
    "Role",
    "STANDBY_ROLE",
    "Selector",
    "SendOrder",
    "Service",
    "ServiceKind",
    "StartTimer",
    "TimerFired",
    "Version",
    "Withdrawn",
    "WithdrawnAdapter",
    "WithdrawnItem",
    "WithdrawnModel",
    "WithdrawnRole",
    "WithdrawnService",
    "WithdrawnVersion",
    "WithheldOrder",
    "decode_fleet",
    "encode_fleet",
    "parse_note",
]
