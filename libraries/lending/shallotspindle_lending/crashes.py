"""Recognises a request that crashes the upstreams that run it.

The crash of one upstream says little of the request; the same request at the third
crash on at least two upstreams is held back, and none of them is blamed any longer.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from shallotspindle_core.identifiers import UpstreamName

HELD_CRASHES = 3
LEAST_UPSTREAMS = 2
MEMORY_SECONDS = 60.0
# Bounds the memory; the oldest fingerprints are forgotten first.
LARGEST_COUNT = 4096


@dataclass(slots=True)
class Record:
    """Crashes of one request.

    :param at: time of the last crash, in seconds.
    """

    at: float
    count: int = 0
    upstreams: set[UpstreamName] = field(default_factory=set)


class Crashes:
    """Crashes by fingerprint of the request."""

    def __init__(self) -> None:
        self._records: dict[int, Record] = {}

    def note(self, fingerprint: int, upstream: UpstreamName, now: float) -> None:
        """Count a crash."""
        record = self._records.pop(fingerprint, None) or Record(now)
        record.at = now
        record.count += 1
        record.upstreams.add(upstream)
        self._records[fingerprint] = record
        if len(self._records) > LARGEST_COUNT:
            del self._records[next(iter(self._records))]

    def acquit(self, fingerprint: int) -> None:
        """Report that the request ran to its end somewhere."""
        self._records.pop(fingerprint, None)

    def is_held(self, fingerprint: int, now: float) -> bool:
        """Return whether the request is held back."""
        record = self._records.get(fingerprint)
        if record is None or now - record.at > MEMORY_SECONDS:
            return False
        return record.count >= HELD_CRASHES and len(record.upstreams) >= LEAST_UPSTREAMS

    def list_blamed(self, fingerprint: int) -> Iterable[UpstreamName]:
        """Return the upstreams that the request crashed."""
        record = self._records.get(fingerprint)
        return tuple(record.upstreams) if record else ()
