"""Bounds the memory of all responses that are buffered, until callers have got them.

A response is buffered while it arrives, and after that until its caller has read it.
When all together exceed the limit, the largest one is aborted. An endless response, or
a long one whose caller does not read, thus makes room for the ordinary ones.
"""

import itertools
from collections.abc import Callable

from shallotspindle_entry.response_limits import ResponseMemory

Abort = Callable[[], None]


class BufferedResponses:
    """Sizes of the buffered responses, and how each is aborted.

    :param max_bytes: limit on the sum of all responses.
    """

    def __init__(self, max_bytes: int) -> None:
        self._memory = ResponseMemory(max_bytes)
        self._aborts: dict[int, Abort] = {}
        self._numbers = itertools.count()
        self._notify_growth: Callable[[], None] = lambda: None

    @property
    def used_bytes(self) -> int:
        """Size of all buffered responses."""
        return self._memory.used_bytes

    def watch(self, notify_growth: Callable[[], None]) -> None:
        """Call a function whenever a response has grown."""
        self._notify_growth = notify_growth

    def create_number(self) -> int:
        """Return the number of a new response."""
        return next(self._numbers)

    def set_size(self, number: int, size: int, abort: Abort) -> None:
        """Record the size of a response, and abort the largest one if necessary.

        :param size: bytes of the response that are in memory.
        :param abort: ends the response; it may release it.
        """
        self._aborts[number] = abort
        largest = self._memory.set_size(number, size)
        if largest is not None:
            abort_largest = self._aborts[largest]
            self.release(largest)
            abort_largest()
        self._notify_growth()

    def release(self, number: int) -> None:
        """Stop counting a response; does nothing if it is not counted."""
        self._memory.release(number)
        self._aborts.pop(number, None)
