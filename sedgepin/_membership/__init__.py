"""Membership: which endpoints and VMs exist, and which accept new work."""

from sedgepin._membership._clocks import Echo
from sedgepin._membership._directory import AnnouncementOutcome
from sedgepin._membership._directory import EndpointDirectory
from sedgepin._membership._directory import Tombstone
from sedgepin._membership._events import AnnouncementReceived
from sedgepin._membership._events import ApplyAnnouncement
from sedgepin._membership._events import ApplyRumour
from sedgepin._membership._events import Effect
from sedgepin._membership._events import EndpointFailed
from sedgepin._membership._events import EntriesChanged
from sedgepin._membership._events import Event
from sedgepin._membership._events import GossipReceived
from sedgepin._membership._events import PeerDown
from sedgepin._membership._events import PeerUp
from sedgepin._membership._events import RefuseAnnouncement
from sedgepin._membership._events import ReplyToAnnouncement
from sedgepin._membership._events import ReportEndpointJoined
from sedgepin._membership._events import ReportEndpointLeaving
from sedgepin._membership._events import ReportEndpointLost
from sedgepin._membership._events import RumourStarted
from sedgepin._membership._events import SendGossip
from sedgepin._membership._events import TimerFired
from sedgepin._membership._events import WakeAt
from sedgepin._membership._failures import DirectoryFull
from sedgepin._membership._failures import NumberTooLarge
from sedgepin._membership._frames import GossipFrame
from sedgepin._membership._gossip import GossipNode
from sedgepin._membership._liveness import DeclareJoined
from sedgepin._membership._liveness import DeclareLost
from sedgepin._membership._liveness import HeartbeatBatch
from sedgepin._membership._liveness import HeartbeatRelay
from sedgepin._membership._liveness import HeartbeatsReceived
from sedgepin._membership._liveness import LeadershipGained
from sedgepin._membership._liveness import LeadershipLost
from sedgepin._membership._liveness import LeaseTimerFired
from sedgepin._membership._liveness import LivenessEffect
from sedgepin._membership._liveness import LivenessEvent
from sedgepin._membership._liveness import NoteCoverage
from sedgepin._membership._liveness import NotifyLost
from sedgepin._membership._liveness import VmHeartbeat
from sedgepin._membership._liveness import VmIncarnation
from sedgepin._membership._liveness import VmLiveness
from sedgepin._membership._rumours import RumourStore
from sedgepin._membership._settings import MembershipSettings
from sedgepin._membership._topology import choose_subset
from sedgepin._membership._topology import Scope

__all__ = [
    "AnnouncementOutcome",
    "AnnouncementReceived",
    "ApplyAnnouncement",
    "ApplyRumour",
    "DeclareJoined",
    "DeclareLost",
    "DirectoryFull",
    "Echo",
    "Effect",
    "EndpointDirectory",
    "EndpointFailed",
    "EntriesChanged",
    "Event",
    "GossipFrame",
    "GossipNode",
    "GossipReceived",
    "HeartbeatBatch",
    "HeartbeatRelay",
    "HeartbeatsReceived",
    "LeadershipGained",
    "LeadershipLost",
    "LeaseTimerFired",
    "LivenessEffect",
    "LivenessEvent",
    "MembershipSettings",
    "NoteCoverage",
    "NotifyLost",
    "NumberTooLarge",
    "PeerDown",
    "PeerUp",
    "RefuseAnnouncement",
    "ReplyToAnnouncement",
    "ReportEndpointJoined",
    "ReportEndpointLeaving",
    "ReportEndpointLost",
    "RumourStarted",
    "RumourStore",
    "Scope",
    "SendGossip",
    "TimerFired",
    "Tombstone",
    "VmHeartbeat",
    "VmIncarnation",
    "VmLiveness",
    "WakeAt",
    "choose_subset",
]
