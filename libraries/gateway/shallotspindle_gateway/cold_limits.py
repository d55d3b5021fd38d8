"""Keeps the limits on cold upstreams in line with the configuration and the members.

The share of a lender depends on its rank among the members. An instance whose view is
too old may have lost its rank to another one, and grants cold upstreams nothing.
"""

from absl import logging

from shallotspindle_core.identifiers import FailureDomain, ServiceName
from shallotspindle_gateway.election import find_lender_rank
from shallotspindle_gateway.following import StoreFollower
from shallotspindle_gateway.records import Bounds, Member
from shallotspindle_lending.cold import NO_LIMIT, ColdLimit, compute_share

# A change of the members is active within this time at every instance that is in touch
# with the store or with a watcher.
MAX_VIEW_AGE_SECONDS = 2.0
LOG_INTERVAL_SECONDS = 5.0

LenderRole = tuple[ServiceName, FailureDomain]


class ColdLimits:
    """Owns the limits of this instance, by service and failure domain."""

    def __init__(
        self, own_instance: Member, follower: StoreFollower, bounds: Bounds
    ) -> None:
        self._own_instance = own_instance
        self._follower = follower
        self.bounds = bounds
        self._limits: dict[LenderRole, ColdLimit] = {}
        # Ranks among these members.
        self._ranked_members: tuple[Member, ...] = ()
        self._ranks: dict[LenderRole, int | None] = {}
        self._logged_denials: dict[ServiceName, int] = {}
        self._logged_at = float("-inf")

    @property
    def denials(self) -> dict[ServiceName, int]:
        """Decisions in which a cold upstream was passed over, by service."""
        counts: dict[ServiceName, int] = {}
        for (service, _), limit in self._limits.items():
            if limit.denials:
                counts[service] = counts.get(service, 0) + limit.denials
        return counts

    def get(self, service: ServiceName, domain: FailureDomain, now: float) -> ColdLimit:
        """Return the limit of a service in a failure domain."""
        role = (service, domain)
        if role not in self._limits:
            self._limits[role] = ColdLimit()
            self._configure(role, now)
        return self._limits[role]

    def refresh(self, now: float) -> None:
        """Apply the present configuration and the present rank to all limits."""
        for role in self._limits:
            self._configure(role, now)

    def _configure(self, role: LenderRole, now: float) -> None:
        limit = self._limits[role]
        cold_start = self._follower.configuration.cold_starts.get(role[0], NO_LIMIT)
        if not cold_start.is_limited:
            limit.configure(cold_start, 0, now)
            return
        share = compute_share(
            cold_start,
            self.bounds.cold_overage,
            self.bounds.cold_slack,
            self._find_rank(role, now),
        )
        if share != limit.share:
            logging.info(
                "cold upstreams of service %s in failure domain %s get at most %d "
                "requests per second from this instance",
                *role,
                share,
            )
        limit.configure(cold_start, share, now)

    def _find_rank(self, role: LenderRole, now: float) -> int | None:
        """Return the rank of this instance, or None if it may have changed."""
        if self._follower.compute_response_age(now) > MAX_VIEW_AGE_SECONDS:
            return None
        members = tuple(self._follower.members.values())
        if members != self._ranked_members:
            self._ranked_members = members
            self._ranks.clear()
        if role not in self._ranks:
            address = self._own_instance.address
            self._ranks[role] = find_lender_rank(address, *role, members)
        return self._ranks[role]

    def log_denials(self, now: float) -> None:
        """Log the denials since the last time, one line for each service."""
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        for service, count in self.denials.items():
            added = count - self._logged_denials.get(service, 0)
            if added:
                logging.info(
                    "cold upstreams of service %s were passed over in %d decisions, "
                    "since they had their requests for the second",
                    service,
                    added,
                )
            self._logged_denials[service] = count
