"""The latest changes of the store, kept to tell them to neighbours.

A snapshot is compared with the values at hand, so that an instance that read all values
still tells its neighbours only what changed.
"""

from collections import deque
from dataclasses import dataclass

from shallotspindle_gateway.messages import ChangesResponse
from shallotspindle_gateway.storage import Changes, Snapshot, StoredValue

LARGEST_COUNT = 1024
# What fits into a datagram, with room for its headers.
LARGEST_BYTES = 40_000


@dataclass(frozen=True, slots=True)
class ViewFreshness:
    """How recent the view of the store is.

    :param age: time since the question to the store that was answered last, in seconds.
    :param silence: time since that answer, in seconds.
    :param grace: for how long entries of upstreams that vanish are kept, in seconds.
    """

    age: float
    silence: float
    grace: float = 0.0


class ChangeLog:
    """Values at hand and the latest changes, by revision."""

    def __init__(self) -> None:
        self.revision = 0
        self._items: dict[str, StoredValue] = {}
        # Revision after which the log is complete.
        self._since = 0
        self._entries: deque[tuple[int, StoredValue | str]] = deque()

    def compare(self, snapshot: Snapshot) -> Changes:
        """Return the changes that lead to a snapshot."""
        listed = {item.key: item for item in snapshot.items}
        changed = [i for i in snapshot.items if self._items.get(i.key) != i]
        removed = [key for key in self._items if key not in listed]
        if not self.revision:
            self._since = snapshot.revision
        return Changes((*changed, *removed), snapshot.revision)

    def add(self, changes: Changes) -> list[StoredValue | str]:
        """Take changes and return those that are news here."""
        news: list[StoredValue | str] = []
        for event in changes.events:
            if not self._is_news(event):
                continue
            news.append(event)
            if isinstance(event, StoredValue):
                self._items[event.key] = event
            else:
                del self._items[event]
            self._entries.append((changes.revision, event))
        self.revision = max(self.revision, changes.revision)
        while len(self._entries) > LARGEST_COUNT:
            self._since = self._entries.popleft()[0]
        return news

    def _is_news(self, event: StoredValue | str) -> bool:
        if isinstance(event, str):
            return event in self._items
        known = self._items.get(event.key)
        return known is None or known.revision < event.revision

    def tell(self, revision: int, at: ViewFreshness) -> ChangesResponse:
        """Return what changed after a revision."""
        if revision < self._since or not self.revision:
            return self._build(self.revision, at, is_history_missing=True)
        events: list[tuple[str, bytes, int, bool]] = []
        size = 0
        told = revision
        for changed_at, event in self._entries:
            if changed_at <= revision:
                continue
            entry = (event, b"", 0, True) if isinstance(event, str) else _pack(event)
            size += len(entry[0]) + len(entry[1])
            if size > LARGEST_BYTES and events and changed_at > told:
                return self._build(told, at, tuple(events), is_complete=False)
            events.append(entry)
            told = changed_at
        return self._build(max(self.revision, revision), at, tuple(events))

    @staticmethod
    def _build(
        revision: int,
        at: ViewFreshness,
        events: tuple[tuple[str, bytes, int, bool], ...] = (),
        *,
        is_history_missing: bool = False,
        is_complete: bool = True,
    ) -> ChangesResponse:
        return ChangesResponse(
            revision,
            at.age,
            at.silence,
            at.grace,
            events,
            is_history_missing,
            is_complete,
        )


def _pack(item: StoredValue) -> tuple[str, bytes, int, bool]:
    return (item.key, item.value, item.revision, False)
