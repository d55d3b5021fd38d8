"""Which upstreams may get requests, from announcements and their removal.

An entry that vanished while the store was away may only have lapsed. It stays in use
for ``GRACE_SECONDS`` after the store is back, and is dropped if it is still missing.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from shallotspindle_core.identifiers import FailureDomain, ServiceName, UpstreamName
from shallotspindle_registry.records import Announcement, State

# A live upstream announces itself again within 2 s of the store's return.
GRACE_SECONDS = 2.0
# For how long an upstream that left is remembered; other views are behind for less.
LEFT_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class Known:
    """An upstream in use.

    :param seen_at: when its announcement was read, in seconds.
    :param missing_since: when its entry was found missing, or None.
    """

    announcement: Announcement
    seen_at: float
    missing_since: float | None = None


Usable = Mapping[UpstreamName, Known]


class Directory:
    """Upstreams by name; the store is the only source of changes."""

    def __init__(self) -> None:
        self._known: dict[UpstreamName, Known] = {}
        # When the entries of upstreams that left were dropped, in seconds.
        self._left: dict[UpstreamName, float] = {}
        self._trusted_from = float("-inf")
        self.version = 0
        # Answers of this version, since each request asks for them.
        self._answered = 0
        self._usable: dict[tuple[ServiceName, FailureDomain | None], Usable] = {}
        self._domains: dict[ServiceName, Mapping[FailureDomain, int]] = {}

    def note_outage_end(self, now: float) -> None:
        """Report that the store answers again after it was away."""
        self.distrust(GRACE_SECONDS, now)

    def distrust(self, seconds: float, now: float) -> None:
        """Keep upstreams whose entries vanish, for some seconds from now."""
        self._trusted_from = max(self._trusted_from, now + seconds)

    def find_grace(self, now: float) -> float:
        """Return for how long vanished entries are kept, in seconds."""
        return max(0.0, self._trusted_from - now)

    def replace(self, announcements: Iterable[Announcement], now: float) -> None:
        """Take the whole list of announcements."""
        listed = {item.name: item for item in announcements}
        for item in listed.values():
            self.announce(item, now)
        for name in self._known.keys() - listed.keys():
            self.remove(name, now)

    def announce(self, item: Announcement, now: float) -> None:
        """Take one announcement."""
        known = self._known.get(item.name)
        if known and known.announcement == item and known.missing_since is None:
            return
        self._known[item.name] = Known(item, now)
        self._left.pop(item.name, None)
        self.version += 1

    def remove(self, name: UpstreamName, now: float) -> None:
        """Report that an entry is not there."""
        known = self._known.get(name)
        if known is None or known.missing_since is not None:
            return
        if now < self._trusted_from and known.announcement.state is State.READY:
            self._known[name] = Known(known.announcement, known.seen_at, now)
            return
        self._drop(name, now)

    def expire(self, now: float) -> None:
        """Drop upstreams whose entries stayed missing after an outage."""
        if now < self._trusted_from:
            return
        for name in [n for n, k in self._known.items() if k.missing_since is not None]:
            self._drop(name, now)

    def _drop(self, name: UpstreamName, now: float) -> None:
        del self._known[name]
        self.version += 1
        kept = {n: at for n, at in self._left.items() if now - at < LEFT_SECONDS}
        self._left = {**kept, name: now}

    def find(self, name: UpstreamName) -> Known | None:
        """Return an upstream by name."""
        return self._known.get(name)

    def has_left(self, name: UpstreamName) -> bool:
        """Return whether an upstream is known to leave, or to have left.

        One that is not known at all has not: another instance may hear of it first.
        """
        known = self._known.get(name)
        if known is None:
            return name in self._left
        return known.announcement.state is not State.READY

    def list_usable(
        self, service: ServiceName, domain: FailureDomain | None = None
    ) -> Usable:
        """Return the upstreams of a service that may get new work.

        :param domain: restricts the result to one failure domain.
        """
        self._forget_outdated()
        asked = (service, domain)
        if asked not in self._usable:
            self._usable[asked] = self._select(service, domain)
        return self._usable[asked]

    def _forget_outdated(self) -> None:
        if self._answered != self.version:
            self._usable.clear()
            self._domains.clear()
            self._answered = self.version

    def _select(self, service: ServiceName, domain: FailureDomain | None) -> Usable:
        return {
            name: known
            for name, known in self._known.items()
            if known.announcement.service == service
            and known.announcement.state is State.READY
            and domain in (None, known.announcement.domain)
        }

    def list_domains(self, service: ServiceName) -> Mapping[FailureDomain, int]:
        """Return the number of usable upstreams of a service by failure domain."""
        self._forget_outdated()
        if service not in self._domains:
            usable = self.list_usable(service).values()
            self._domains[service] = Counter(
                known.announcement.domain for known in usable
            )
        return self._domains[service]
