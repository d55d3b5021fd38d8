"""Chooses the peers that an instance asks for changes of the store."""

from collections.abc import Mapping, Set

from shallotspindle_core import hashing
from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import FailureDomain
from shallotspindle_gateway.election import rank_members
from shallotspindle_gateway.records import Member

# Each pending watch is a call to the store. If the watcher of a domain fails, watchers
# of other domains replace it.
WATCHERS_PER_DOMAIN = 1
MAX_REMOTE_WATCHERS_ASKED = 2
MAX_PEERS_ASKED = 3
# Instances whose membership ended are still asked for this time. In an outage all
# leases expire, also those of instances that keep serving and reach the store again.
FORMER_MEMBER_TTL_SECONDS = 30.0


class PeerRoster:
    """Ranks the members of the fleet, and remembers those whose membership ended.

    :param members: the present members by key; changed by its owner.
    """

    def __init__(
        self, own_instance: Member, members: Mapping[str, Member], clock: Clock
    ) -> None:
        self._own_instance = own_instance
        self._members = members
        self._clock = clock
        # Instances whose membership ended, with the boot-time of that in seconds.
        self._former_members: dict[Member, float] = {}

    def record_departure(self, member: Member, now: float) -> None:
        """Record that the membership of an instance ended."""
        self._former_members[member] = now

    def rank_watchers(self, domain: FailureDomain | None = None) -> list[str]:
        """Return the addresses of the instances that watch for a domain.

        :param domain: the failure domain; None for that of this instance.
        """
        domain = domain or self._own_instance.domain
        ranked = rank_members("watcher", self.list_members(domain))
        return ranked[:WATCHERS_PER_DOMAIN]

    def list_members(self, domain: FailureDomain) -> list[Member]:
        """Return the instances of a domain, including this instance if it is in it."""
        members = [m for m in self._members.values() if m.domain == domain]
        if domain == self._own_instance.domain and self._own_instance not in members:
            members.append(self._own_instance)
        return members

    def list_remote_watchers(self) -> list[str]:
        """Return watchers of other domains, in an order that differs by instance."""
        domains = {m.domain for m in self._members.values()} - {
            self._own_instance.domain
        }
        ranked = hashing.rank_rendezvous(
            f"stand-in {self._own_instance.address}", domains
        )
        watchers = [
            address for domain in ranked for address in self.rank_watchers(domain)
        ]
        return watchers[:MAX_REMOTE_WATCHERS_ASKED]

    def list_peers_to_ask(self) -> list[str]:
        """Return the instances to ask when the store does not respond."""
        present = set(self._members.values()) - {self._own_instance}
        former = self._list_former_members() - present
        local, remote = self._rank_by_domain(present)
        former_local, former_remote = self._rank_by_domain(former)
        return [
            *[*local, *former_local][: MAX_PEERS_ASKED - 1],
            *[*remote, *former_remote][:1],
        ]

    def _rank_by_domain(self, members: Set[Member]) -> tuple[list[str], list[str]]:
        """Return the addresses in this instance's domain and in other domains.

        The order changes with time, so that different peers are asked.
        """
        local = {m.address for m in members if m.domain == self._own_instance.domain}
        remote = {m.address for m in members} - local
        seed = f"neighbour {self._own_instance.address} {self._clock.boottime():.1f}"
        return (
            hashing.rank_rendezvous(seed, local),
            hashing.rank_rendezvous(seed, remote),
        )

    def _list_former_members(self) -> set[Member]:
        """Return the instances whose membership ended recently."""
        since = self._clock.boottime() - FORMER_MEMBER_TTL_SECONDS
        self._former_members = {
            m: ended_at
            for m, ended_at in self._former_members.items()
            if ended_at > since
        }
        return self._former_members.keys() - {self._own_instance}
