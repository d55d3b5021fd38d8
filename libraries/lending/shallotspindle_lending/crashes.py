"""Recognises requests that crash the upstreams that run them.

One crash says little about the request. After ``QUARANTINE_CRASHES`` crashes on at
least ``MIN_QUARANTINE_UPSTREAMS`` upstreams the request is quarantined: it gets no
slot, and the upstreams are no longer blamed for the crashes.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from shallotspindle_core.identifiers import UpstreamName

QUARANTINE_CRASHES = 3
MIN_QUARANTINE_UPSTREAMS = 2
RETENTION_SECONDS = 60.0
# Bounds the memory used; the fingerprint whose last crash is oldest is dropped first.
MAX_FINGERPRINTS = 4096


@dataclass(slots=True)
class CrashRecord:
    """Crashes caused by one request.

    :param last_crash_at: time of the last crash, in seconds.
    """

    last_crash_at: float
    count: int = 0
    upstreams: set[UpstreamName] = field(default_factory=set)


class CrashTracker:
    """Crashes by fingerprint of the request."""

    def __init__(self) -> None:
        self._records: dict[int, CrashRecord] = {}

    def record_crash(
        self, fingerprint: int, upstream: UpstreamName, now: float
    ) -> None:
        """Count a crash of an upstream while it ran the request."""
        record = self._records.pop(fingerprint, None) or CrashRecord(now)
        record.last_crash_at = now
        record.count += 1
        record.upstreams.add(upstream)
        self._records[fingerprint] = record
        if len(self._records) > MAX_FINGERPRINTS:
            del self._records[next(iter(self._records))]

    def record_success(self, fingerprint: int) -> None:
        """Forget the crashes of a request that an upstream completed."""
        self._records.pop(fingerprint, None)

    def is_quarantined(self, fingerprint: int, now: float) -> bool:
        """Return whether the request must not be sent to any upstream."""
        record = self._records.get(fingerprint)
        if record is None or now - record.last_crash_at > RETENTION_SECONDS:
            return False
        return (
            record.count >= QUARANTINE_CRASHES
            and len(record.upstreams) >= MIN_QUARANTINE_UPSTREAMS
        )

    def list_crashed_upstreams(self, fingerprint: int) -> Iterable[UpstreamName]:
        """Return the upstreams that crashed while they ran the request."""
        record = self._records.get(fingerprint)
        return tuple(record.upstreams) if record else ()
