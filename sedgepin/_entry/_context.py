"""State and policies that the parts of an entry VM's reducer share."""

import dataclasses
import datetime
import random

from sedgepin import _admission as admission
from sedgepin import _crash_causes as crash_causes
from sedgepin._entry import _fleet
from sedgepin._entry import _paths
from sedgepin._entry import _permits
from sedgepin import _membership as membership
from sedgepin import _model as model
from sedgepin import _routing as routing
from sedgepin import _service_levels as service_levels
from sedgepin import settings


@dataclasses.dataclass(slots=True, frozen=True)
class ReducerContext:
    """The fleet, the endpoints and the policies used for decisions."""

    cfg: settings.EntrySettings
    follower: _fleet.FleetFollower
    gossip: membership.GossipNode
    router: routing.Router
    retries: admission.RetryBudget
    quarantine: admission.Quarantine
    crash_causes: crash_causes.CrashCauseTracker
    paths: _paths.PathFollower
    permits: _permits.PermitClient
    generator: random.Random
    levels: service_levels.ServiceLevels

    def eligible(
        self, now: datetime.datetime
    ) -> tuple[model.Announcement, ...]:
        """Return the announcements of the endpoints that may get new work."""
        return self.gossip.endpoints.eligible(now)

    @property
    def entry_count(self) -> int:
        """Return the number of entry VMs that share the balancer's load."""
        return max(1, len(self.cfg.entries))

    def admission_settings(self) -> admission.AdmissionSettings:
        """Return the admission limits of the customers in the settings."""
        limits = {
            customer.id: admission.CustomerLimits(
                weight=customer.weight,
                open_requests=customer.open_requests,
            )
            for customer in self.cfg.customers
        }
        return admission.AdmissionSettings(
            customers=limits, queued_requests=self.cfg.limits.open_requests
        )
