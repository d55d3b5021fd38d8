"""Failure domains whose upstreams must get no requests because the operator says so.

A domain is evacuated from the time at which this instance learns of it until it learns
that the operator ended it. Nothing else ends an evacuation.
"""

from collections.abc import Set

from shallotspindle_core.identifiers import FailureDomain


class Evacuations:
    """Evacuated failure domains."""

    def __init__(self) -> None:
        self._domains: set[FailureDomain] = set()

    @property
    def domains(self) -> Set[FailureDomain]:
        """The domains that are evacuated now."""
        return self._domains

    def start(self, domain: FailureDomain) -> bool:
        """Evacuate a domain; return whether it was not evacuated before."""
        if domain in self._domains:
            return False
        self._domains.add(domain)
        return True

    def end(self, domain: FailureDomain) -> bool:
        """Let a domain return; return whether it was evacuated before."""
        if domain not in self._domains:
            return False
        self._domains.remove(domain)
        return True
