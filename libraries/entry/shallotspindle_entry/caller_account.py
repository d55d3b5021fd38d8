"""Account of all bytes that a process holds for its callers."""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from absl import logging

from shallotspindle_core.clock import Clock
from shallotspindle_entry import caller_memory
from shallotspindle_entry.caller_memory import (
    CONNECTION_BYTES,
    PROGRESS_BYTES,
    RELIEF_FRACTION,
    CallerUsage,
    MemoryLimits,
    RequestStage,
)

LOG_INTERVAL_SECONDS = 10.0
EndRequest = Callable[[], None]


class CallerLimit(StrEnum):
    """A limit that ended a connection or a request of a caller."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    HEAD = "head"
    FRAMING = "framing"


class ReceivedBody(Protocol):
    """Body of a request as far as it was received."""

    total_bytes: int

    def is_eof(self) -> bool:
        """Return whether the whole body was received."""


class Holding:
    """The part of the account that belongs to one connection.

    :param close: ends the connection.
    """

    def __init__(self, account: "CallerAccount", usage: CallerUsage, close: EndRequest):
        self.usage = usage
        self._account = account
        self._close = close
        self._end_request: EndRequest | None = None
        self._body: ReceivedBody | None = None
        self._unconfirmed_bytes = 0
        # Whether received bytes are the unread rest of a body that is not used.
        self._is_discarding = False

    def receive(self, size: int) -> None:
        """Count received bytes."""
        if self._is_discarding:
            return
        self._unconfirmed_bytes += size
        if self._unconfirmed_bytes >= PROGRESS_BYTES:
            self._unconfirmed_bytes = 0
            self.usage.progressed_at = self._account.clock.boottime()
        if self._body is not None:
            self.usage.body_bytes = self._body.total_bytes
            self.usage.is_body_complete = self._body.is_eof()
        self._account.change(self.usage, size)

    def release(self, size: int) -> None:
        """Stop counting bytes that were passed on."""
        if not self._is_discarding:
            self._account.change(
                self.usage, -min(size, self.usage.held_bytes - CONNECTION_BYTES)
            )

    def pause(self) -> None:
        """Record that the process does not read from the connection."""
        self.usage.is_paused = True

    def resume(self) -> None:
        """Record that the process reads from the connection again."""
        self.usage.is_paused = False
        self.usage.progressed_at = self._account.clock.boottime()

    def begin_head(self) -> None:
        """Record the first bytes of a request."""
        if self.usage.stage is RequestStage.IDLE:
            self.usage.stage = RequestStage.HEAD
            self.usage.progressed_at = self._account.clock.boottime()

    def begin_body(self) -> None:
        """Record that the head of a request is complete."""
        self._is_discarding = False
        if self.usage.stage < RequestStage.BODY:
            self.usage.stage = RequestStage.BODY
            self.usage.progressed_at = self._account.clock.boottime()

    def begin_request(
        self, body: ReceivedBody, expected_bytes: int | None, end: EndRequest
    ) -> None:
        """Record that a request is served.

        :param expected_bytes: length of its body; None if it is unknown.
        :param end: ends the request with a truthful response.
        """
        usage = self.usage
        usage.stage = RequestStage.BODY
        usage.expected_bytes = expected_bytes
        usage.body_bytes = body.total_bytes
        usage.is_body_complete = body.is_eof()
        usage.has_yielded = False
        self._body = body
        self._end_request = end

    def finish_request(self, body: ReceivedBody, has_successor: bool) -> None:
        """Record that a request got its response; the rest of its body is discarded.

        :param body: its body, also if the request was rejected before it was served.
        :param has_successor: whether another request has already arrived.
        """
        usage = self.usage
        usage.stage = RequestStage.BODY if has_successor else RequestStage.IDLE
        usage.was_served = True
        usage.body_bytes = 0
        usage.expected_bytes = None
        usage.is_body_complete = False
        usage.progressed_at = self._account.clock.boottime()
        self._body = self._end_request = None
        if has_successor:
            self.release(body.total_bytes)
        else:
            self._account.change(usage, CONNECTION_BYTES - usage.held_bytes)
        self._is_discarding = not body.is_eof()

    def yield_all(self) -> None:
        """End the request, or the connection if no request is served."""
        self._account.change(self.usage, CONNECTION_BYTES - self.usage.held_bytes)
        self._is_discarding = True
        (self._end_request or self._close)()

    def close(self) -> None:
        """Stop counting a closed connection."""
        self._account.remove(self)


class CallerAccount:
    """Counts what is held for all callers and makes callers yield at the limits.

    Buffered responses are part of the sum; their own limit chooses among them.
    """

    def __init__(
        self,
        limits: MemoryLimits,
        clock: Clock,
        read_response_bytes: Callable[[], int] = lambda: 0,
    ) -> None:
        self.clock = clock
        self.counts: Counter[CallerLimit] = Counter()
        self._limits = limits
        self._read_response_bytes = read_response_bytes
        self._holdings: dict[int, Holding] = {}
        self._held_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes held for all callers, buffered responses included."""
        return self._held_bytes + self._read_response_bytes()

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._holdings)

    def open(self, close: EndRequest) -> Holding | None:
        """Return the holding of a new connection; None if there is no room for it.

        :param close: ends the connection.
        """
        now = self.clock.boottime()
        if len(self._holdings) >= self._limits.max_connections:
            self.count(CallerLimit.CONNECTIONS)
            usages = (holding.usage for holding in self._holdings.values())
            chosen = caller_memory.choose_closing(usages, now)
            if chosen is None:
                return None
            chosen.has_yielded = True
            holding = self._holdings[id(chosen)]
            holding.yield_all()
            self.remove(holding)
        usage = CallerUsage(now)
        holding = self._holdings[id(usage)] = Holding(self, usage, close)
        self._held_bytes += usage.held_bytes
        self.enforce()
        return holding

    def remove(self, holding: Holding) -> None:
        """Stop counting a connection; does nothing if it is not counted."""
        if self._holdings.pop(id(holding.usage), None) is not None:
            self._held_bytes -= holding.usage.held_bytes

    def change(self, usage: CallerUsage, size: int) -> None:
        """Add to what a connection holds; a negative size is released."""
        if id(usage) not in self._holdings:
            return
        usage.held_bytes += size
        self._held_bytes += size
        if size > 0:
            self.enforce()

    def enforce(self) -> None:
        """Make callers yield if more is held than the limit allows."""
        limit = self._limits.max_total_bytes
        used_bytes = self.used_bytes
        if used_bytes <= limit:
            return
        usages = [holding.usage for holding in self._holdings.values()]
        chosen = caller_memory.choose_yielding(
            usages, int(used_bytes - limit * RELIEF_FRACTION), self.clock.boottime()
        )
        for usage in chosen:
            usage.has_yielded = True
            self.count(CallerLimit.MEMORY)
            self._holdings[id(usage)].yield_all()

    def count(self, limit: CallerLimit) -> None:
        """Count and log that a limit ended a connection or a request."""
        self.counts[limit] += 1
        logging.log_every_n_seconds(
            logging.WARNING,
            "a limit on callers was reached: %s; %d connections hold %d bytes",
            LOG_INTERVAL_SECONDS,
            limit.value,
            self.connection_count,
            self.used_bytes,
        )
