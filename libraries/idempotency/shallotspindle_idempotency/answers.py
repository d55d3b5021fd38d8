"""First answers to the requests that this instance ran, for replays.

Stored answers are bounded in number of bytes; the oldest is dropped first and its
key stays known as completed until the retention ends.
"""

from collections import OrderedDict
from dataclasses import dataclass

from shallotspindle_idempotency.ledger import RETENTION_SECONDS
from shallotspindle_idempotency.messages import (
    Answer,
    Dropped,
    ReplayReply,
    Running,
    Unknown,
)

ANSWER_LIMIT_BYTES = 64 * 1024
TOTAL_LIMIT_BYTES = 8_000_000
# Runs are small; this many take about 10 MB and cover 11 a second for the retention.
RUN_LIMIT = 40_000
# Rough size of the objects around the bytes of one answer.
OVERHEAD_BYTES = 256


@dataclass(frozen=True, slots=True)
class Run:
    """One granted request of this instance."""

    attempt: int
    reply: ReplayReply
    expires: float


def measure(answer: Answer) -> int:
    """Return the bytes that a stored answer counts for."""
    headers = sum(len(name) + len(text) + 64 for name, text in answer.headers)
    return OVERHEAD_BYTES + headers + len(answer.body)


class Answers:
    """Runs of this instance by key digest, oldest first.

    :param limit: largest sum of the sizes of stored answers, in bytes.
    """

    def __init__(self, limit: int = TOTAL_LIMIT_BYTES) -> None:
        self._limit = limit
        self._runs: OrderedDict[bytes, Run] = OrderedDict()
        self._sizes: OrderedDict[bytes, int] = OrderedDict()
        self._total = 0

    @property
    def stored_bytes(self) -> int:
        return self._total

    def begin(self, key: bytes, attempt: int, now: float) -> None:
        """Note that a grant was received and the request may run."""
        self.expire(now)
        self._forget(key)
        while len(self._runs) >= RUN_LIMIT:
            self._forget(next(iter(self._runs)))
        self._runs[key] = Run(attempt, Running(), now + RETENTION_SECONDS)

    def finish(self, key: bytes, answer: Answer | None, now: float) -> int | None:
        """Keep the answer of a run.

        :param answer: None when it is not known how the request ended.
        :returns: the number of the grant; None if the run is not known.
        """
        self.expire(now)
        run = self._runs.get(key)
        if run is None or not isinstance(run.reply, Running):
            return None
        reply = self._store(key, answer)
        self._runs[key] = Run(run.attempt, reply, now + RETENTION_SECONDS)
        self._runs.move_to_end(key)
        return run.attempt

    def abandon(self, key: bytes) -> int | None:
        """Forget a run that was not sent and return the number of its grant."""
        run = self._runs.get(key)
        if run is None or not isinstance(run.reply, Running):
            return None
        self._forget(key)
        return run.attempt

    def find(self, key: bytes, attempt: int, now: float) -> ReplayReply:
        """Return what is known of a run."""
        self.expire(now)
        run = self._runs.get(key)
        if run is None or run.attempt != attempt:
            return Unknown()
        return run.reply

    def expire(self, now: float) -> None:
        """Forget runs whose retention ended."""
        while self._runs:
            key, run = next(iter(self._runs.items()))
            if now < run.expires:
                return
            self._forget(key)

    def _store(self, key: bytes, answer: Answer | None) -> ReplayReply:
        if answer is None:
            return Unknown()
        size = measure(answer)
        if len(answer.body) > ANSWER_LIMIT_BYTES or size > self._limit:
            return Dropped()
        while self._total + size > self._limit:
            self._drop_oldest()
        self._sizes[key] = size
        self._total += size
        return answer

    def _drop_oldest(self) -> None:
        key, size = self._sizes.popitem(last=False)
        self._total -= size
        run = self._runs[key]
        self._runs[key] = Run(run.attempt, Dropped(), run.expires)

    def _forget(self, key: bytes) -> None:
        self._runs.pop(key, None)
        self._total -= self._sizes.pop(key, 0)
