"""Which members take a role for the others: watching, lending, holding rates.

Instances of one fleet may differ by a factor of 40 in the capacity of their links. A
role costs its holder traffic from the whole domain, so that strong instances come
first; among equals the order is that of the rendezvous hash.
"""

from collections.abc import Iterable

from shallotspindle_core import hashing
from shallotspindle_core.identifiers import FailureDomain, ServiceName
from shallotspindle_gateway.records import Member

# Part of the largest capacity from which a member counts as strong.
STRONG_CAPACITY_RATIO = 0.5


def rank_members(role: str, members: Iterable[Member]) -> list[str]:
    """Return the addresses of members in the order in which they take a role."""
    found = set(members)
    largest = max((member.capacity for member in found), default=0.0)
    strong = {m.address for m in found if m.capacity >= STRONG_CAPACITY_RATIO * largest}
    others = {member.address for member in found} - strong
    return [
        *hashing.rank_rendezvous(role, strong),
        *hashing.rank_rendezvous(role, others),
    ]


def rank_lenders(
    service: ServiceName, domain: FailureDomain, members: Iterable[Member]
) -> list[str]:
    """Return the addresses of the members that lend a domain's slots, in their order.

    The upstreams of a domain whose instances are all gone are lent by the others.
    """
    found = tuple(members)
    near = [member for member in found if member.domain == domain]
    if near:
        return rank_members(f"lender {service}", near)
    return rank_substitute_lenders(service, domain, found)


def rank_substitute_lenders(
    service: ServiceName, domain: FailureDomain, members: Iterable[Member]
) -> list[str]:
    """Return the members that lend for a domain without instances, in their order."""
    far = [member for member in members if member.domain != domain]
    return rank_members(f"lender {service} {domain}", far)
