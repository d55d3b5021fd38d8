"""Remembers draining upstreams that an older copy of the store shows as ready.

A store that comes back older may have lost the announcement that an upstream is
draining. The upstream announces itself again, but requests that are sent before that
would reach an upstream which is about to stop.
"""

from dataclasses import replace

from shallotspindle_core.identifiers import UpstreamName
from shallotspindle_registry.records import (
    AnnouncedState,
    Announcement,
    Incarnation,
)

# Bounds the memory used; the copy of a store is only some seconds old.
MAX_REMEMBERED = 4096


class DrainedUpstreams:
    """Incarnations that announced that they are draining, by upstream."""

    def __init__(self) -> None:
        self._drained: dict[UpstreamName, Incarnation] = {}
        # Announcements up to this revision may be older than what was known before.
        self._copied_until = 0

    def begin_era(self, revision: int) -> None:
        """Handle the first read of an era.

        :param revision: revision of the store at that read.
        """
        self._copied_until = revision

    def correct(self, item: Announcement, revision: int) -> Announcement:
        """Return an announcement as it applies, and remember it if it is draining.

        An incarnation that was draining before the era stays so until it announces
        itself after the first read of the era.

        :param revision: revision of the write of the announcement.
        """
        if item.state is AnnouncedState.DRAINING:
            self._remember(item)
            return item
        if self._drained.get(item.name) != item.incarnation:
            return item
        if revision <= self._copied_until:
            return replace(item, state=AnnouncedState.DRAINING)
        del self._drained[item.name]
        return item

    def _remember(self, item: Announcement) -> None:
        self._drained.pop(item.name, None)
        self._drained[item.name] = item.incarnation
        if len(self._drained) > MAX_REMEMBERED:
            del self._drained[next(iter(self._drained))]
