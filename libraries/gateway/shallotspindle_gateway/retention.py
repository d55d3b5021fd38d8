"""Keys of the operator that stay in force for a while after a new era of the store.

A store that comes back older lacks what was written since its copy. The operator writes
it again, but an instance may read the store before that.
"""

# Time in which the operator writes again what the store has lost.
RETENTION_SECONDS = 10.0


class RetainedKeys:
    """Keys that stay in force although the first read of an era does not show them."""

    def __init__(self) -> None:
        self._keys: set[str] = set()
        self._ends_at = float("-inf")

    def begin_era(self, now: float) -> None:
        """Start the time for which keys are retained, as boot-time in seconds."""
        self._ends_at = now + RETENTION_SECONDS

    def retain(self, key: str) -> None:
        """Keep a key in force that is missing in the first read of an era."""
        self._keys.add(key)

    def release(self, key: str) -> None:
        """Stop retaining a key that was written again; its removal then counts."""
        self._keys.discard(key)

    def take_expired(self, now: float) -> list[str]:
        """Return the keys that were not written again in time, and forget them."""
        if now < self._ends_at:
            return []
        expired, self._keys = sorted(self._keys), set()
        return expired
