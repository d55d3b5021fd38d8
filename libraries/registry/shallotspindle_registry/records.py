"""Records of upstreams that announce themselves."""

from dataclasses import dataclass
from enum import StrEnum

from shallotspindle_core.identifiers import FailureDomain, ServiceName, UpstreamName


class State(StrEnum):
    """What an upstream says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Announcement:
    """One run of an upstream as it announced itself.

    :param name: identifier of the upstream; it may be used again by a later run.
    :param born: Unix time at which the run began, in milliseconds; 0 if not told.
    :param address: ``ip:port`` of its HTTP socket.
    :param slots: requests that it runs at the same time.
    :param cold_seconds: how long it stays slow after this announcement.
    """

    name: UpstreamName
    service: ServiceName
    address: str
    domain: FailureDomain
    state: State
    slots: int = 1
    born: int = 0
    cold_seconds: float = 0.0

    @property
    def run(self) -> tuple[str, int]:
        """What tells this run of the upstream from others."""
        return (self.name, self.born)
