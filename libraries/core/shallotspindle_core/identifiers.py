"""Identifiers of teams, services, upstreams, failure domains and instances."""

from dataclasses import dataclass
from typing import NewType

# HMAC-SHA256 of a key, which stands for the key everywhere.
KEY_DIGEST_BYTES = 32

TeamName = NewType("TeamName", str)
ServiceName = NewType("ServiceName", str)
UpstreamName = NewType("UpstreamName", str)
FailureDomain = NewType("FailureDomain", str)
# Identifies one run of one process: 128 random bits in hex, drawn at its start.
Incarnation = NewType("Incarnation", str)


@dataclass(frozen=True, slots=True, order=True)
class Instance:
    """One running process of the fleet.

    :param address: ``ip:port`` on which it listens for peers.
    :param domain: failure domain that it runs in.
    """

    incarnation: Incarnation
    address: str
    domain: FailureDomain
