"""Names of the things that the fleet acts on."""

from dataclasses import dataclass
from typing import NewType

TeamName = NewType("TeamName", str)
ServiceName = NewType("ServiceName", str)
UpstreamName = NewType("UpstreamName", str)
FailureDomain = NewType("FailureDomain", str)
# One run of one process: 128 random bits in hex, drawn at start.
Incarnation = NewType("Incarnation", str)


@dataclass(frozen=True, slots=True, order=True)
class Instance:
    """One process of the fleet.

    :param incarnation: the run of the process.
    :param address: ``ip:port`` of its peer socket.
    :param domain: the failure domain that it runs in.
    """

    incarnation: Incarnation
    address: str
    domain: FailureDomain
