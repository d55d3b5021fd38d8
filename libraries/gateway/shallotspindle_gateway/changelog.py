"""The latest changes of the store, kept to pass them on to peers.

A snapshot is compared with the known values, so that an instance that read all values
still sends its peers only what changed.
"""

import itertools
import operator
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from shallotspindle_gateway.messages import ChangesResponse, StoreEvent
from shallotspindle_gateway.storage import Changes, Position, Snapshot, StoredValue

MAX_ENTRIES = 1024
# Fits into one datagram together with its headers.
MAX_RESPONSE_BYTES = 40_000


@dataclass(frozen=True, slots=True)
class ViewFreshness:
    """How recent the view of the store is.

    :param age_seconds: time since the view was confirmed, counted from the sending of
        the call to the store.
    :param store_response_age_seconds: time since the last response of the store.
    :param grace_seconds: time for which announcements that disappear are kept.
    :param is_store_failing: whether the store fails for this instance, and no peer has
        passed on a later response.
    """

    age_seconds: float
    store_response_age_seconds: float
    grace_seconds: float = 0.0
    is_store_failing: bool = False


class ChangeLog:
    """Known values and the latest changes, by revision.

    The log covers one era, since revisions of different eras cannot be compared.
    """

    def __init__(self) -> None:
        self.era = 0
        self.revision = 0
        self._known_values: dict[str, StoredValue] = {}
        # Revision after which the log is complete.
        self._complete_since = 0
        self._entries: deque[tuple[int, StoredValue | str]] = deque()

    @property
    def position(self) -> Position:
        """Point in the history of the store up to which all changes are known."""
        return Position(self.era, self.revision)

    def diff_snapshot(self, snapshot: Snapshot) -> Changes:
        """Return the changes that lead from the known values to a snapshot."""
        listed = {value.key: value for value in snapshot.values}
        changed = [v for v in snapshot.values if self._known_values.get(v.key) != v]
        removed = [key for key in self._known_values if key not in listed]
        if not self.revision:
            self._complete_since = snapshot.revision
        return Changes((*changed, *removed), snapshot.revision, snapshot.era)

    def add(self, changes: Changes) -> list[StoredValue | str]:
        """Add changes; return the events that were not known before.

        Changes of a newer era must lead to a snapshot of it.
        """
        begins_era = changes.era > self.era
        if begins_era:
            self._begin_era(changes)
        new_events: list[StoredValue | str] = []
        for event in changes.events:
            if not self._is_new(event, begins_era):
                continue
            new_events.append(event)
            if isinstance(event, StoredValue):
                self._known_values[event.key] = event
            else:
                del self._known_values[event]
            self._entries.append((changes.revision, event))
        self.revision = max(self.revision, changes.revision)
        while len(self._entries) > MAX_ENTRIES:
            self._complete_since = self._entries.popleft()[0]
        return new_events

    def _begin_era(self, changes: Changes) -> None:
        self.era, self.revision = changes.era, changes.revision
        self._complete_since = changes.revision
        self._entries.clear()

    def _is_new(self, event: StoredValue | str, begins_era: bool) -> bool:
        if isinstance(event, str):
            return event in self._known_values
        known = self._known_values.get(event.key)
        if known is None or begins_era:
            return known != event
        return known.revision < event.revision

    def build_response(
        self, revision: int, freshness: ViewFreshness, era: int = 0
    ) -> ChangesResponse:
        """Return the changes after a revision, as many as fit into one datagram.

        Changes with one revision stay together. If they alone are too large for a
        datagram, the response contains nothing else.
        """
        if era != self.era or revision < self._complete_since or not self.revision:
            return self._build(self.revision, freshness, is_history_missing=True)
        events: list[StoreEvent] = []
        size = 0
        last_revision = revision
        for changed_at, changes in self._group_by_revision(revision):
            size += sum(len(event[0]) + len(event[1]) for event in changes)
            if size > MAX_RESPONSE_BYTES and events:
                return self._build(
                    last_revision, freshness, tuple(events), is_complete=False
                )
            events.extend(changes)
            last_revision = changed_at
        return self._build(max(self.revision, revision), freshness, tuple(events))

    def build_view(self, freshness: ViewFreshness) -> ChangesResponse:
        """Return all known values, for a requester that is behind the log."""
        events = tuple(map(_pack, self._known_values.values()))
        return self._build(self.revision, freshness, events)

    def _group_by_revision(self, since: int) -> Iterator[tuple[int, list[StoreEvent]]]:
        """Yield the changes after a revision, in order and grouped by revision."""
        later = (entry for entry in self._entries if entry[0] > since)
        for changed_at, entries in itertools.groupby(later, operator.itemgetter(0)):
            yield changed_at, [_pack(event) for _, event in entries]

    def _build(
        self,
        revision: int,
        freshness: ViewFreshness,
        events: tuple[StoreEvent, ...] = (),
        *,
        is_history_missing: bool = False,
        is_complete: bool = True,
    ) -> ChangesResponse:
        return ChangesResponse(
            revision,
            freshness.age_seconds,
            freshness.store_response_age_seconds,
            freshness.grace_seconds,
            events,
            is_history_missing,
            is_complete,
            freshness.is_store_failing,
            self.era,
        )


def _pack(event: StoredValue | str) -> StoreEvent:
    """Return an event in the form in which it is sent to peers."""
    if isinstance(event, str):
        return (event, b"", 0, True)
    return (event.key, event.value, event.revision, False)
