"""Finds requests that crash the upstreams that run them.

A request that reset connections of two upstreams without a whole answer in between
is held back, and the upstreams are no longer held responsible.
"""

from collections import OrderedDict
from dataclasses import dataclass

from shallotspindle_health.messages import CrashNotice

UPSTREAMS_TO_HOLD = 2


@dataclass(slots=True)
class Suspect:
    """A fingerprint with the upstreams that crashed while they ran it."""

    upstreams: set[str]
    last: float


class CrashLedger:
    """Fingerprints that crashed upstreams, in bounded memory.

    :param capacity: fingerprints kept; the oldest is dropped first.
    :param window: time after which a single crash is forgotten, in seconds.
    :param hold: time for which a request is held back, in seconds.
    """

    def __init__(
        self, capacity: int = 1024, window: float = 60.0, hold: float = 600.0
    ) -> None:
        self._capacity = capacity
        self._window = window
        self._hold = hold
        self._suspects: OrderedDict[int, Suspect] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    def is_held(self, fingerprint: int, now: float) -> bool:
        """Return whether a request must not be sent to any upstream."""
        suspect = self._find(fingerprint, now)
        return suspect is not None and len(suspect.upstreams) >= UPSTREAMS_TO_HOLD

    def record(self, fingerprint: int, upstream: str, now: float) -> frozenset[str]:
        """Count a crash and return the upstreams that it acquits."""
        return self._add(fingerprint, {upstream}, now)

    def clear(self, fingerprint: int, now: float) -> None:
        """Forget single crashes of a request that was answered whole."""
        if self._suspects and not self.is_held(fingerprint, now):
            self._suspects.pop(fingerprint, None)

    def merge(self, notice: CrashNotice, now: float) -> frozenset[str]:
        """Take over the crashes that a peer saw; return acquitted upstreams."""
        at = now - max(0.0, notice.age)
        if now - at > self._hold:
            return frozenset()
        return self._add(notice.fingerprint, set(notice.upstreams), at)

    def describe(self, fingerprint: int, now: float) -> CrashNotice | None:
        """Return the notice for peers, or None if nothing is known."""
        suspect = self._find(fingerprint, now)
        if suspect is None:
            return None
        names = tuple(sorted(suspect.upstreams))
        return CrashNotice(fingerprint, names, now - suspect.last)

    def _add(self, fingerprint: int, upstreams: set[str], at: float) -> frozenset[str]:
        suspect = self._find(fingerprint, at)
        if suspect is None:
            suspect = Suspect(set(), at)
            self._suspects[fingerprint] = suspect
        before = frozenset(suspect.upstreams)
        suspect.upstreams |= upstreams
        suspect.last = max(suspect.last, at)
        self._suspects.move_to_end(fingerprint)
        while len(self._suspects) > self._capacity:
            self._suspects.popitem(last=False)
        if len(suspect.upstreams) < UPSTREAMS_TO_HOLD:
            return frozenset()
        # Upstreams that were acquitted before are not acquitted twice.
        known = before if len(before) >= UPSTREAMS_TO_HOLD else frozenset()
        return frozenset(suspect.upstreams) - known

    def _find(self, fingerprint: int, now: float) -> Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        held = len(suspect.upstreams) >= UPSTREAMS_TO_HOLD
        if now - suspect.last > (self._hold if held else self._window):
            del self._suspects[fingerprint]
            return None
        return suspect
