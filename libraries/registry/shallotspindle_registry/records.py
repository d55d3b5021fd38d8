"""Records of upstreams that announce themselves in the store."""

from dataclasses import dataclass
from enum import StrEnum

from shallotspindle_core.identifiers import FailureDomain, ServiceName, UpstreamName


class AnnouncedState(StrEnum):
    """State that an upstream announces; a draining one takes no new requests."""

    READY = "ready"
    DRAINING = "draining"


# Name, and Unix time of the start in milliseconds; 0 if unknown.
Incarnation = tuple[UpstreamName, int]
UNKNOWN_INCARNATION: Incarnation = (UpstreamName(""), 0)


@dataclass(frozen=True, slots=True)
class Announcement:
    """What one incarnation of an upstream announces about itself.

    :param name: identifier of the upstream; a later incarnation may use it again.
    :param address: ``ip:port`` of its HTTP socket.
    :param slots: number of requests that it runs at the same time.
    :param started_at_ms: Unix time at which the incarnation started, in milliseconds;
        0 if unknown.
    :param cold_seconds: how long it stays slow after this announcement.
    """

    name: UpstreamName
    service: ServiceName
    address: str
    domain: FailureDomain
    state: AnnouncedState
    slots: int = 1
    started_at_ms: int = 0
    cold_seconds: float = 0.0

    @property
    def incarnation(self) -> Incarnation:
        """Identifier that differs between incarnations with the same name."""
        return (self.name, self.started_at_ms)
