"""The slot requests that wait for a slot, and their order.

Requests that can still meet their latency objective go first, by priority and then by
arrival; late requests come after them.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from shallotspindle_lending.records import SlotRequest
from shallotspindle_lending.upstreams import LeaseKey


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A slot request with the times that bound its place in the queue.

    :param queued_at: in seconds.
    :param expires_at: when it is refused, in seconds.
    """

    request: SlotRequest
    queued_at: float
    expires_at: float

    @property
    def lease_key(self) -> LeaseKey:
        return (self.request.requester, self.request.number)

    def get_sort_key(
        self, typical_seconds: float, now: float
    ) -> tuple[bool, int, float]:
        """Return the key by which the queue is sorted, in ascending order.

        :param typical_seconds: duration that most attempts do not exceed.
        """
        remaining = self.request.objective_seconds - (now - self.queued_at)
        return (remaining < typical_seconds, self.request.priority, self.queued_at)


class RequestQueue:
    """Slot requests that wait.

    :param get_typical_seconds: returns the duration that most attempts of a route,
        given by its hash, do not exceed.
    """

    def __init__(self, get_typical_seconds: Callable[[int], float]) -> None:
        self._get_typical_seconds = get_typical_seconds
        self._items: list[QueuedRequest] = []

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self._items)

    def add(self, item: QueuedRequest) -> None:
        """Add a slot request."""
        self._items.append(item)

    def replace(self, items: list[QueuedRequest]) -> None:
        """Replace the slot requests that wait."""
        self._items = items

    def remove(self, key: LeaseKey) -> None:
        """Remove the slot request that would get this lease, if it waits."""
        self._items = [item for item in self._items if item.lease_key != key]

    def sort(self, now: float) -> None:
        """Put the slot requests into the order in which they get slots."""
        self._items.sort(key=self._build_sort_key(now))

    def is_first(self, queued: QueuedRequest, now: float) -> bool:
        """Return whether a slot request would be the first of the queue."""
        get_key = self._build_sort_key(now)
        sort_key = get_key(queued)
        return all(sort_key < get_key(item) for item in self._items)

    def list_ahead(self, queued: QueuedRequest, now: float) -> list[QueuedRequest]:
        """Return the waiting requests that get a slot before this one."""
        get_key = self._build_sort_key(now)
        sort_key = get_key(queued)
        return [item for item in self._items if get_key(item) <= sort_key]

    def _build_sort_key(
        self, now: float
    ) -> Callable[[QueuedRequest], tuple[bool, int, float]]:
        """Return the function that gives the sort key of a slot request.

        The duration of a route is looked up once for all requests of the queue.
        """
        typical: dict[int, float] = {}

        def get_key(item: QueuedRequest) -> tuple[bool, int, float]:
            route_hash = item.request.route_hash
            if route_hash not in typical:
                typical[route_hash] = self._get_typical_seconds(route_hash)
            return item.get_sort_key(typical[route_hash], now)

        return get_key
