"""Decides which upstreams may get requests, from their announcements.

An announcement that vanished while the store was unavailable may only have expired
there. It stays in use for ``OUTAGE_GRACE_SECONDS`` after the store is available again,
and is dropped if it is still missing then.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, replace

from shallotspindle_core.identifiers import FailureDomain, ServiceName, UpstreamName
from shallotspindle_registry.evacuations import Evacuations
from shallotspindle_registry.records import (
    AnnouncedState,
    Announcement,
    Incarnation,
)

# A live upstream announces itself again within 2 s after the store is available again.
OUTAGE_GRACE_SECONDS = 2.0
# How long an upstream that left is remembered. Other instances learn of its departure
# within less time.
DEPARTED_RETENTION_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class KnownUpstream:
    """An upstream with its latest announcement.

    :param seen_at: when the announcement was read, in seconds.
    :param missing_since: when the announcement was found missing, in seconds, or None.
    :param announced_at: when it was announced last, with or without a change of the
        announcement, in seconds.
    :param appeared_at: when the upstream started or returned, in seconds. Its
        announcement may be older than that.
    """

    announcement: Announcement
    seen_at: float
    missing_since: float | None = None
    announced_at: float = float("-inf")
    appeared_at: float = float("-inf")


UsableUpstreams = Mapping[UpstreamName, KnownUpstream]


def _is_ready(known: KnownUpstream, service: ServiceName) -> bool:
    """Return whether an upstream announces that it takes requests of a service."""
    announcement = known.announcement
    return (
        announcement.service == service and announcement.state is AnnouncedState.READY
    )


class UpstreamDirectory:
    """Upstreams by name; the store is the only source of changes."""

    def __init__(self) -> None:
        self._known: dict[UpstreamName, KnownUpstream] = {}
        # When upstreams that left were dropped, in seconds.
        self._departed_at: dict[UpstreamName, float] = {}
        self._evacuations = Evacuations()
        self._grace_ends_at = float("-inf")
        # Whether all announcements of the store were read at least once.
        self._is_complete = False
        self.version = 0
        # Results for this version are cached, since every request asks for them.
        self._cached_version = 0
        self._usable_cache: dict[
            tuple[ServiceName, FailureDomain | None], UsableUpstreams
        ] = {}
        self._domain_counts_cache: dict[ServiceName, Mapping[FailureDomain, int]] = {}

    def start_grace_period(self, now: float) -> None:
        """Handle the end of an outage of the store."""
        self.extend_grace_period(OUTAGE_GRACE_SECONDS, now)

    def extend_grace_period(self, seconds: float, now: float) -> None:
        """Keep upstreams whose announcements vanish, until the given time has passed.

        :param seconds: time from now; a grace period that ends later is not shortened.
        """
        self._grace_ends_at = max(self._grace_ends_at, now + seconds)

    def get_remaining_grace(self, now: float) -> float:
        """Return for how long vanished announcements are kept, in seconds."""
        return max(0.0, self._grace_ends_at - now)

    def replace_all(self, announcements: Iterable[Announcement], now: float) -> None:
        """Apply a complete list of announcements; any other one counts as removed."""
        listed = {item.name: item for item in announcements}
        for item in listed.values():
            self.apply_announcement(item, now)
        for name in self._known.keys() - listed.keys():
            self.remove_announcement(name, now)
        self.complete_first_read()

    def complete_first_read(self) -> None:
        """Record that all announcements were read.

        An upstream that is added from now on has started or returned.
        """
        self._is_complete = True

    def apply_announcement(self, item: Announcement, now: float) -> None:
        """Add or update the upstream that announced itself."""
        known = self._known.get(item.name)
        if known and known.announcement == item and known.missing_since is None:
            self._renew_cold_time(known, now)
            return
        appeared_at = self._find_appearance(item, now)
        self._known[item.name] = KnownUpstream(
            item, now, announced_at=now, appeared_at=appeared_at
        )
        self._departed_at.pop(item.name, None)
        self.version += 1

    def _renew_cold_time(self, known: KnownUpstream, now: float) -> None:
        """Handle an unchanged announcement; a cold time in it begins again."""
        if known.announcement.cold_seconds:
            name = known.announcement.name
            self._known[name] = replace(known, announced_at=now)
            self.version += 1

    def _find_appearance(self, item: Announcement, now: float) -> float:
        """Return when the upstream started or returned, as far as it is known."""
        known = self._known.get(item.name)
        if known is None:
            return now if self._is_complete else float("-inf")
        has_returned = known.missing_since is not None
        if has_returned or known.announcement.incarnation != item.incarnation:
            return now
        return known.appeared_at

    def remove_announcement(self, name: UpstreamName, now: float) -> None:
        """Handle an announcement that is missing in the store.

        The upstream is dropped, or marked as missing if it was ready and the grace
        period lasts.
        """
        known = self._known.get(name)
        if known is None or known.missing_since is not None:
            return
        if (
            now < self._grace_ends_at
            and known.announcement.state is AnnouncedState.READY
        ):
            self._known[name] = replace(known, missing_since=now)
            return
        self._drop(name, now)

    def drop_missing(self, now: float) -> None:
        """Drop the upstreams that are still missing after the grace period."""
        if now < self._grace_ends_at:
            return
        for name in [
            name
            for name, known in self._known.items()
            if known.missing_since is not None
        ]:
            self._drop(name, now)

    def _drop(self, name: UpstreamName, now: float) -> None:
        del self._known[name]
        self.version += 1
        kept = {
            departed: at
            for departed, at in self._departed_at.items()
            if now - at < DEPARTED_RETENTION_SECONDS
        }
        self._departed_at = {**kept, name: now}

    @property
    def evacuated_domains(self) -> Set[FailureDomain]:
        """The failure domains whose upstreams get no requests."""
        return self._evacuations.domains

    def start_evacuation(self, domain: FailureDomain) -> bool:
        """Exclude the upstreams of a domain; return whether they were usable before."""
        if not self._evacuations.start(domain):
            return False
        self.version += 1
        return True

    def end_evacuation(self, domain: FailureDomain, now: float) -> bool:
        """Include the upstreams of a domain; return whether they were excluded."""
        if not self._evacuations.end(domain):
            return False
        self._record_return(domain, now)
        return True

    def _record_return(self, domain: FailureDomain, now: float) -> None:
        """Record that the upstreams of a failure domain are in use again.

        They may be cold, although their announcements do not say so yet.
        """
        for name, known in self._known.items():
            if known.announcement.domain == domain:
                self._known[name] = replace(known, appeared_at=now)
        self.version += 1

    def is_evacuated(self, name: UpstreamName, domain: FailureDomain) -> bool:
        """Return whether an upstream is in an evacuated domain.

        :param domain: the domain of its lender's grant. The announcement may name
            another one, or may not be known here yet.
        """
        evacuated = self._evacuations.domains
        known = self._known.get(name)
        return domain in evacuated or (
            known is not None and known.announcement.domain in evacuated
        )

    def is_service_evacuated(self, service: ServiceName) -> bool:
        """Return whether the usable upstreams of a service are all evacuated."""
        if not self._evacuations.domains or self.list_usable(service):
            return False
        return any(
            _is_ready(known, service)
            and known.announcement.domain in self._evacuations.domains
            for known in self._known.values()
        )

    def find(self, name: UpstreamName) -> KnownUpstream | None:
        """Return an upstream by name."""
        return self._known.get(name)

    def get_incarnation(self, name: UpstreamName) -> Incarnation:
        """Return the latest known incarnation of an upstream."""
        known = self._known.get(name)
        return known.announcement.incarnation if known else (name, 0)

    def has_left(self, name: UpstreamName) -> bool:
        """Return whether an upstream is draining or left a short time ago.

        An upstream that is unknown has not left: other instances may learn of a new
        upstream earlier than this one.
        """
        known = self._known.get(name)
        if known is None:
            return name in self._departed_at
        return known.announcement.state is not AnnouncedState.READY

    def list_usable(
        self, service: ServiceName, domain: FailureDomain | None = None
    ) -> UsableUpstreams:
        """Return the upstreams of a service that may get new requests.

        :param domain: restricts the result to one failure domain.
        """
        self._clear_outdated_caches()
        cache_key = (service, domain)
        if cache_key not in self._usable_cache:
            self._usable_cache[cache_key] = self._select_usable(service, domain)
        return self._usable_cache[cache_key]

    def _clear_outdated_caches(self) -> None:
        if self._cached_version != self.version:
            self._usable_cache.clear()
            self._domain_counts_cache.clear()
            self._cached_version = self.version

    def _select_usable(
        self, service: ServiceName, domain: FailureDomain | None
    ) -> UsableUpstreams:
        return {
            name: known
            for name, known in self._known.items()
            if _is_ready(known, service)
            and domain in (None, known.announcement.domain)
            and known.announcement.domain not in self._evacuations.domains
        }

    def count_usable_by_domain(
        self, service: ServiceName
    ) -> Mapping[FailureDomain, int]:
        """Return the number of usable upstreams of a service by failure domain.

        Domains without a usable upstream are left out.
        """
        self._clear_outdated_caches()
        if service not in self._domain_counts_cache:
            usable = self.list_usable(service).values()
            self._domain_counts_cache[service] = Counter(
                known.announcement.domain for known in usable
            )
        return self._domain_counts_cache[service]
