"""Detects requests that crash the upstreams that run them.

A request that reset the connections of two upstreams without a complete response in
between is quarantined, and its failures no longer count against these upstreams.
"""

from collections import OrderedDict
from dataclasses import dataclass

from shallotspindle_health.messages import CrashNotice

MIN_QUARANTINE_UPSTREAMS = 2
# Time from the last crash for which a request is quarantined.
QUARANTINE_SECONDS = 600.0


@dataclass(slots=True)
class CrashRecord:
    """Upstreams that crashed while they ran one request.

    :param last_crash_at: local time of the last crash, in seconds.
    :param was_seen_here: whether this instance sent the request to one of them.
    :param is_stored: whether the store holds the record.
    """

    upstreams: set[str]
    last_crash_at: float
    was_seen_here: bool = False
    is_stored: bool = False

    @property
    def is_quarantined(self) -> bool:
        """Whether enough upstreams crashed to blame the request."""
        return len(self.upstreams) >= MIN_QUARANTINE_UPSTREAMS


class CrashTracker:
    """Crashes by fingerprint of the request, in bounded memory.

    :param capacity: number of fingerprints; the least recently crashed goes first.
    :param window_seconds: time after which the crash of a single upstream is forgotten.
    :param quarantine_seconds: time from the last crash for which a request is
        quarantined.
    """

    def __init__(
        self,
        capacity: int = 1024,
        window_seconds: float = 60.0,
        quarantine_seconds: float = QUARANTINE_SECONDS,
    ) -> None:
        self._capacity = capacity
        self._window_seconds = window_seconds
        self._quarantine_seconds = quarantine_seconds
        self._records: OrderedDict[int, CrashRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def is_quarantined(self, fingerprint: int, now: float) -> bool:
        """Return whether a request must not be sent to any upstream."""
        record = self._find(fingerprint, now)
        return record is not None and record.is_quarantined

    def record(self, fingerprint: int, upstream: str, now: float) -> frozenset[str]:
        """Count a crash; return the upstreams that it shows to be not at fault."""
        not_at_fault = self._add(fingerprint, {upstream}, now)
        self._records[fingerprint].was_seen_here = True
        return not_at_fault

    def clear(self, fingerprint: int, now: float) -> None:
        """Forget the crash of a request that got a complete response.

        A quarantined request stays in quarantine.
        """
        if self._records and not self.is_quarantined(fingerprint, now):
            self._records.pop(fingerprint, None)

    def merge(self, notice: CrashNotice, now: float) -> frozenset[str]:
        """Add the crashes that a peer saw; return the upstreams not at fault."""
        crashed_at = now - max(0.0, notice.age_seconds)
        if now - crashed_at > self._quarantine_seconds:
            return frozenset()
        return self._add(notice.fingerprint, set(notice.upstreams), crashed_at)

    def build_notice(self, fingerprint: int, now: float) -> CrashNotice | None:
        """Return the notice for peers, or None if the request has no crashes."""
        record = self._find(fingerprint, now)
        if record is None:
            return None
        upstreams = tuple(sorted(record.upstreams))
        return CrashNotice(fingerprint, upstreams, now - record.last_crash_at)

    def list_unstored(self, now: float) -> list[CrashNotice]:
        """Return the quarantined requests that this instance has to store."""
        fingerprints = [
            fingerprint
            for fingerprint, record in self._records.items()
            if record.was_seen_here and record.is_quarantined and not record.is_stored
        ]
        notices = [self.build_notice(item, now) for item in fingerprints]
        return [notice for notice in notices if notice is not None]

    def mark_stored(self, fingerprint: int) -> None:
        """Record that the store holds a request."""
        if fingerprint in self._records:
            self._records[fingerprint].is_stored = True

    def _add(
        self, fingerprint: int, upstreams: set[str], crashed_at: float
    ) -> frozenset[str]:
        record = self._find(fingerprint, crashed_at)
        if record is None:
            record = CrashRecord(set(), crashed_at)
            self._records[fingerprint] = record
        before = frozenset(record.upstreams)
        record.upstreams |= upstreams
        record.last_crash_at = max(record.last_crash_at, crashed_at)
        self._records.move_to_end(fingerprint)
        while len(self._records) > self._capacity:
            self._records.popitem(last=False)
        if not record.is_quarantined:
            return frozenset()
        # Each upstream is returned once, since the caller takes one failure back.
        returned = before if len(before) >= MIN_QUARANTINE_UPSTREAMS else frozenset()
        return frozenset(record.upstreams) - returned

    def _find(self, fingerprint: int, now: float) -> CrashRecord | None:
        record = self._records.get(fingerprint)
        if record is None:
            return None
        if now - record.last_crash_at > (
            self._quarantine_seconds if record.is_quarantined else self._window_seconds
        ):
            del self._records[fingerprint]
            return None
        return record
