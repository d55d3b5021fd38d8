"""Ranks the lenders of slots, and remembers which of them did not respond."""

from collections.abc import Mapping, Set
from dataclasses import dataclass

from absl import logging

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import FailureDomain, ServiceName
from shallotspindle_core.randomness import RandomSource
from shallotspindle_gateway.election import rank_lenders, rank_substitute_lenders
from shallotspindle_gateway.following import StoreFollower
from shallotspindle_gateway.records import Member

# A lender that did not respond is not asked for this time; each further failure doubles
# the time up to the maximum.
INITIAL_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 8.0
# A domain none of whose lenders responded counts as one without instances for this
# time. The leases show the loss of a domain just as late, and until then its upstreams
# would get no requests.
LOST_DOMAIN_SECONDS = 3.0
MAX_LENDERS_TRIED = 3


@dataclass(frozen=True, slots=True)
class LenderBackoff:
    """Time for which a lender that did not respond is not asked.

    :param until: end of the backoff, as boot-time in seconds.
    :param duration_seconds: length of the backoff.
    """

    until: float
    duration_seconds: float


def choose_unpopulated_domain(
    upstream_counts: Mapping[FailureDomain, int],
    own_domain: FailureDomain,
    populated: Set[FailureDomain],
    random: RandomSource,
) -> FailureDomain | None:
    """Return a domain without instances to be asked first, or None.

    The upstreams of such a domain get requests only from the instances of other
    domains. The populated domains share them equally, so the choice is weighted by
    that share against the upstreams of the instance's own domain.

    :param upstream_counts: number of usable upstreams by domain.
    :param populated: domains with instances.
    """
    unpopulated = sorted(upstream_counts.keys() - populated - {own_domain})
    shares = [
        upstream_counts[domain] / max(1, len(populated)) for domain in unpopulated
    ]
    drawn = random.random() * (upstream_counts.get(own_domain, 0) + sum(shares))
    for domain, share in zip(unpopulated, shares, strict=True):
        drawn -= share
        if drawn < 0:
            return domain
    return None


class LenderRoster:
    """Knows which lenders to ask, and in which order.

    :param own_instance: this instance.
    """

    def __init__(
        self,
        own_instance: Member,
        follower: StoreFollower,
        clock: Clock,
        random: RandomSource,
    ) -> None:
        self._own_instance = own_instance
        self._follower = follower
        self._clock = clock
        self._random = random
        self._backoffs: dict[str, LenderBackoff] = {}
        self._lost_until: dict[FailureDomain, float] = {}

    def order_domains(self, service: ServiceName) -> list[FailureDomain]:
        """Return the domains with usable upstreams in the order to ask them."""
        counts = self._follower.upstreams.count_usable_by_domain(service)
        populated = self._find_populated_domains()
        own_domain = self._own_instance.domain
        others = sorted(domain for domain in counts if domain != own_domain)
        if others:
            first = self._random.randrange(len(others))
            others = others[first:] + others[:first]
        ordered = [own_domain, *others] if own_domain in counts else others
        first = choose_unpopulated_domain(counts, own_domain, populated, self._random)
        return [first, *(d for d in ordered if d != first)] if first else ordered

    def _find_populated_domains(self) -> set[FailureDomain]:
        """Return the failure domains whose instances lend their upstreams."""
        domains = {member.domain for member in self._follower.members.values()}
        return {domain for domain in domains if not self._is_lost(domain)}

    def _is_lost(self, domain: FailureDomain) -> bool:
        """Return whether none of the lenders of a domain responded recently."""
        return self._clock.boottime() < self._lost_until.get(domain, float("-inf"))

    def rank(self, service: ServiceName, domain: FailureDomain) -> list[str]:
        """Return the lenders to ask, without those in backoff, best first."""
        now = self._clock.boottime()
        rank = rank_substitute_lenders if self._is_lost(domain) else rank_lenders
        ranked = rank(service, domain, self._follower.members.values())
        asked = [lender for lender in ranked if not self._is_in_backoff(lender, now)]
        return asked[:MAX_LENDERS_TRIED]

    def _is_in_backoff(self, lender: str, now: float) -> bool:
        backoff = self._backoffs.get(lender)
        return backoff is not None and now < backoff.until

    def record_response(self, lender: str) -> None:
        """Record that a lender responded."""
        self._backoffs.pop(lender, None)

    def record_silence(self, lender: str, service: ServiceName) -> None:
        """Record that a lender did not respond."""
        previous = self._backoffs.get(lender)
        duration = min(
            MAX_BACKOFF_SECONDS,
            2 * previous.duration_seconds if previous else INITIAL_BACKOFF_SECONDS,
        )
        self._backoffs[lender] = LenderBackoff(
            self._clock.boottime() + duration, duration
        )
        logging.info(
            "lender %s of service %s did not respond; not asking it for %.0f s",
            lender,
            service,
            duration,
        )

    def mark_lost(self, domain: FailureDomain) -> None:
        """Let other domains lend for a domain whose lenders do not respond."""
        if domain == self._own_instance.domain or self._is_lost(domain):
            return
        self._lost_until[domain] = self._clock.boottime() + LOST_DOMAIN_SECONDS
        logging.info(
            "no lender of failure domain %s responded; other domains lend its "
            "upstreams for %.0f s",
            domain,
            LOST_DOMAIN_SECONDS,
        )
