"""Chooses the members that take a role for others, such as watcher or lender.

The links of the instances in one fleet may differ in capacity by a factor of 40. A role
causes traffic from the whole domain to the instance that has it, so members with high
capacity come first. Among the others the order is that of the rendezvous hash.
"""

from collections.abc import Iterable

from shallotspindle_core import hashing
from shallotspindle_core.identifiers import FailureDomain, ServiceName
from shallotspindle_gateway.records import Member

# Ratio to the highest capacity from which a member's capacity counts as high.
HIGH_CAPACITY_RATIO = 0.5


def rank_members(role: str, members: Iterable[Member]) -> list[str]:
    """Return the addresses of members in the order in which they take a role."""
    candidates = set(members)
    max_capacity = max((member.capacity for member in candidates), default=0.0)
    preferred = {
        m.address
        for m in candidates
        if m.capacity >= HIGH_CAPACITY_RATIO * max_capacity
    }
    others = {member.address for member in candidates} - preferred
    return [
        *hashing.rank_rendezvous(role, preferred),
        *hashing.rank_rendezvous(role, others),
    ]


def rank_lenders(
    service: ServiceName, domain: FailureDomain, members: Iterable[Member]
) -> list[str]:
    """Return the addresses of the members that lend a domain's slots, best first.

    If the domain has no instances, those of other domains lend its upstreams.
    """
    candidates = tuple(members)
    local = [member for member in candidates if member.domain == domain]
    if local:
        return rank_members(f"lender {service}", local)
    return rank_substitute_lenders(service, domain, candidates)


def rank_substitute_lenders(
    service: ServiceName, domain: FailureDomain, members: Iterable[Member]
) -> list[str]:
    """Return the members that lend for a domain without instances, best first."""
    remote = [member for member in members if member.domain != domain]
    return rank_members(f"lender {service} {domain}", remote)


def find_lender_rank(
    address: str,
    service: ServiceName,
    domain: FailureDomain,
    members: Iterable[Member],
) -> int | None:
    """Return the place of an instance among the lenders of a domain's slots.

    :returns: 0 for the first lender, None for an instance that is none.
    """
    lenders = rank_lenders(service, domain, members)
    return lenders.index(address) if address in lenders else None
