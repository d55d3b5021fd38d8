"""Decides whether this instance would know if a key had been withdrawn.

An age is the time since the store or a failure domain itself was heard. Every relay
adds its own delay and the transit time, so that no chain of heartbeats makes old
information look recent.
"""

from collections.abc import Iterable

from shallotspindle_core.identifiers import FailureDomain
from shallotspindle_membership import heartbeats
from shallotspindle_membership.heartbeats import (
    AGE_STEP_SECONDS,
    UNKNOWN_AGE,
    Heartbeat,
)

MAX_FRESH_AGE_SECONDS = 4.0
# Higher ages are not sent, since no receiver can use them.
MAX_SENT_AGE_SECONDS = 8.0


class FreshnessTracker:
    """Tracks when the store and each failure domain were last heard.

    :param own_domain: failure domain of this instance; it always counts as heard.
    :param domains: further failure domains that are known to exist.
    """

    def __init__(
        self, own_domain: FailureDomain, domains: Iterable[FailureDomain]
    ) -> None:
        self._own_hash = heartbeats.hash_domain(own_domain)
        self._domain_hashes = {
            self._own_hash,
            *map(heartbeats.hash_domain, domains),
        }
        self._domain_heard_at: dict[int, float] = {}
        self._has_platform_list = False
        self.store_contacted_at = float("-inf")

    def add_domains(self, domains: Iterable[FailureDomain]) -> None:
        """Add the failure domains of the platform's list.

        Domains are never removed, because a list that is cut off from the other
        regions may contain only a minority of the domains.
        """
        self._has_platform_list = True
        self._domain_hashes.update(map(heartbeats.hash_domain, domains))

    def record_store_contact(self, heard_at: float) -> None:
        """Record a response of the store.

        :param heard_at: when the call began, in seconds.
        """
        self.store_contacted_at = max(self.store_contacted_at, heard_at)

    def record_heartbeat(
        self, heartbeat: Heartbeat, domain: FailureDomain, sent_at: float
    ) -> None:
        """Record the ages that a heartbeat carries.

        :param domain: the sender's failure domain.
        :param sent_at: earliest time at which it may have been sent, in seconds.
        """
        self._record_domain(heartbeats.hash_domain(domain), sent_at)
        for domain_hash, age_steps in heartbeat.domain_ages:
            if age_steps >= 0:
                self._record_domain(domain_hash, sent_at - age_steps * AGE_STEP_SECONDS)
        if heartbeat.store_age_steps >= 0:
            self.record_store_contact(
                sent_at - heartbeat.store_age_steps * AGE_STEP_SECONDS
            )

    def _record_domain(self, domain_hash: int, heard_at: float) -> None:
        # Ignores domains that were never listed, which also bounds the dictionary.
        if domain_hash in self._domain_hashes:
            self._domain_heard_at[domain_hash] = max(
                self._domain_heard_at.get(domain_hash, heard_at), heard_at
            )

    def compute_store_age_steps(self, now: float) -> int:
        """Return the age of the last contact with the store for a heartbeat."""
        age = now - self.store_contacted_at
        return self._round_up(age) if age <= MAX_SENT_AGE_SECONDS else UNKNOWN_AGE

    def compute_domain_ages(self, now: float) -> tuple[tuple[int, int], ...]:
        """Return the hashes and ages of other failure domains for a heartbeat."""
        return tuple(
            (domain_hash, self._round_up(now - heard_at))
            for domain_hash, heard_at in sorted(self._domain_heard_at.items())
            if domain_hash != self._own_hash and now - heard_at <= MAX_SENT_AGE_SECONDS
        )

    @staticmethod
    def _round_up(age_seconds: float) -> int:
        """Return an age in steps, rounded up."""
        return int(max(0.0, age_seconds) / AGE_STEP_SECONDS) + 1

    def is_fresh(self, now: float) -> bool:
        """Return whether the store or a majority of the domains was heard recently.

        Domains count only once the platform's list was read, since the number of
        domains is not known before.
        """
        if now - self.store_contacted_at <= MAX_FRESH_AGE_SECONDS:
            return True
        return self._has_platform_list and (
            self._count_fresh_domains(now) * 2 > len(self._domain_hashes)
        )

    def _count_fresh_domains(self, now: float) -> int:
        fresh = {
            domain_hash
            for domain_hash, heard_at in self._domain_heard_at.items()
            if now - heard_at <= MAX_FRESH_AGE_SECONDS
        }
        return len(fresh | {self._own_hash})
