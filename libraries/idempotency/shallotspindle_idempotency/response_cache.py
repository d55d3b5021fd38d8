"""Responses of the requests that this instance ran, kept for replays.

The total size of cached responses is bounded. The oldest one is evicted first; its
key stays known as completed until the retention ends.
"""

from collections import OrderedDict
from dataclasses import dataclass

from shallotspindle_idempotency.ledger import RETENTION_SECONDS
from shallotspindle_idempotency.messages import (
    RecordedResponse,
    ReplayResponse,
    RequestInProgress,
    ResponseDiscarded,
    UnknownOutcome,
)

# Size of the body; a response with a larger one is not cached.
MAX_BODY_BYTES = 64 * 1024
MAX_CACHE_BYTES = 8_000_000
# 40,000 runs without responses take about 10 MB and cover 11 requests a second for
# the retention period.
MAX_RUNS = 40_000
# Approximate size of the objects that hold the bytes of one response.
RESPONSE_OVERHEAD_BYTES = 256


@dataclass(frozen=True, slots=True)
class Run:
    """A request that this instance got the grant for.

    :param replay_response: what a replay request gets.
    :param expires_at: time in seconds at which the run is forgotten.
    """

    attempt_id: int
    replay_response: ReplayResponse
    expires_at: float


def estimate_size(response: RecordedResponse) -> int:
    """Return the approximate memory of a cached response, in bytes."""
    headers = sum(len(name) + len(text) + 64 for name, text in response.headers)
    return RESPONSE_OVERHEAD_BYTES + headers + len(response.body)


class ResponseCache:
    """Runs of this instance by key digest, with their responses.

    :param max_bytes: largest total size of cached responses.
    """

    def __init__(self, max_bytes: int = MAX_CACHE_BYTES) -> None:
        self._max_bytes = max_bytes
        # Both are ordered from the oldest to the newest.
        self._runs: OrderedDict[bytes, Run] = OrderedDict()
        self._sizes: OrderedDict[bytes, int] = OrderedDict()
        self._stored_bytes = 0

    @property
    def stored_bytes(self) -> int:
        return self._stored_bytes

    def begin(self, key_digest: bytes, attempt_id: int, now: float) -> None:
        """Record that this instance got a grant and may run the request."""
        self.expire(now)
        self._forget(key_digest)
        while len(self._runs) >= MAX_RUNS:
            self._forget(next(iter(self._runs)))
        self._runs[key_digest] = Run(
            attempt_id, RequestInProgress(), now + RETENTION_SECONDS
        )

    def finish(
        self, key_digest: bytes, response: RecordedResponse | None, now: float
    ) -> int | None:
        """Record the response of a run and restart its retention.

        :param response: None when it is not known how the request ended.
        :returns: the attempt ID of the run; None if no such run is in progress.
        """
        self.expire(now)
        run = self._runs.get(key_digest)
        if run is None or not isinstance(run.replay_response, RequestInProgress):
            return None
        replay_response = self._store(key_digest, response)
        self._runs[key_digest] = Run(
            run.attempt_id, replay_response, now + RETENTION_SECONDS
        )
        self._runs.move_to_end(key_digest)
        return run.attempt_id

    def abandon(self, key_digest: bytes) -> int | None:
        """Remove a run whose request was not sent.

        :returns: the attempt ID of the run; None if no such run is in progress.
        """
        run = self._runs.get(key_digest)
        if run is None or not isinstance(run.replay_response, RequestInProgress):
            return None
        self._forget(key_digest)
        return run.attempt_id

    def find(self, key_digest: bytes, attempt_id: int, now: float) -> ReplayResponse:
        """Return the response to a replay request."""
        self.expire(now)
        run = self._runs.get(key_digest)
        if run is None or run.attempt_id != attempt_id:
            return UnknownOutcome()
        return run.replay_response

    def expire(self, now: float) -> None:
        """Remove runs whose retention has ended."""
        while self._runs:
            key_digest, run = next(iter(self._runs.items()))
            if now < run.expires_at:
                return
            self._forget(key_digest)

    def _store(
        self, key_digest: bytes, response: RecordedResponse | None
    ) -> ReplayResponse:
        if response is None:
            return UnknownOutcome()
        size = estimate_size(response)
        if len(response.body) > MAX_BODY_BYTES or size > self._max_bytes:
            return ResponseDiscarded()
        while self._stored_bytes + size > self._max_bytes:
            self._evict_oldest()
        self._sizes[key_digest] = size
        self._stored_bytes += size
        return response

    def _evict_oldest(self) -> None:
        key_digest, size = self._sizes.popitem(last=False)
        self._stored_bytes -= size
        run = self._runs[key_digest]
        self._runs[key_digest] = Run(
            run.attempt_id, ResponseDiscarded(), run.expires_at
        )

    def _forget(self, key_digest: bytes) -> None:
        self._runs.pop(key_digest, None)
        self._stored_bytes -= self._sizes.pop(key_digest, 0)
