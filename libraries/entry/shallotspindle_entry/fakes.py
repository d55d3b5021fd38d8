"""Fakes of the fleet-wide interfaces that keep their state in this instance."""

import asyncio
from collections import Counter

from shallotspindle_bundles.records import Upstream
from shallotspindle_core.identifiers import ServiceName, TeamName, UpstreamName
from shallotspindle_core.randomness import RandomSource
from shallotspindle_entry.configuration import ConfigurationTask
from shallotspindle_entry.interfaces import (
    Admitted,
    Assignment,
    AttemptSample,
    ClaimResult,
    ClaimState,
    NoCapacity,
    StoredResponse,
)
from shallotspindle_notices.notices import Notice


class AlwaysFresh:
    """Freshness of an instance that always knows all key withdrawals."""

    def is_fresh(self, now: float) -> bool:
        return True


class UnlimitedAdmission:
    """Admits every request."""

    async def acquire(self, team: TeamName, deadline: float) -> Admitted:
        return Admitted()


class LocalClaims:
    """Claims of idempotency keys that only this instance knows."""

    def __init__(self) -> None:
        self._digests: dict[tuple[TeamName, str], bytes] = {}
        self._responses: dict[tuple[TeamName, str], StoredResponse | None] = {}

    async def claim(
        self,
        team: TeamName,
        idempotency_key: str,
        request_digest: bytes,
        deadline: float,
    ) -> ClaimResult:
        claimed_digest = self._digests.setdefault(
            (team, idempotency_key), request_digest
        )
        if claimed_digest != request_digest:
            return ClaimResult(ClaimState.DIFFERENT_BODY)
        if (team, idempotency_key) in self._responses:
            stored = self._responses[team, idempotency_key]
            state = ClaimState.REPLAY if stored else ClaimState.UNKNOWN
            return ClaimResult(state, stored)
        if claimed_digest is not request_digest:
            return ClaimResult(ClaimState.IN_PROGRESS)
        return ClaimResult(ClaimState.GRANTED)

    async def finish(
        self, team: TeamName, idempotency_key: str, response: StoredResponse | None
    ) -> None:
        self._responses[team, idempotency_key] = response

    async def abandon(self, team: TeamName, idempotency_key: str) -> None:
        self._digests.pop((team, idempotency_key), None)


class LocalBalancer:
    """Chooses the less loaded of two random upstreams, by requests in flight.

    :ivar samples: the measurements of all ended attempts.
    """

    def __init__(self, configuration: ConfigurationTask, random: RandomSource) -> None:
        self._configuration = configuration
        self._random = random
        self._in_flight: Counter[UpstreamName] = Counter()
        self.samples: list[AttemptSample] = []

    async def assign(
        self,
        service: ServiceName,
        team: TeamName,
        fingerprint: int,
        tried_upstreams: frozenset[UpstreamName],
        deadline: float,
    ) -> Assignment | NoCapacity:
        await asyncio.sleep(0)
        upstreams = self._configuration.current.bundle.services[service].upstreams
        candidates = [
            u for u in upstreams if not u.draining and u.name not in tried_upstreams
        ]
        if not candidates:
            return NoCapacity("service", "no upstream is available")
        drawn = [candidates[self._random.randrange(len(candidates))] for _ in "ab"]
        chosen = min(drawn, key=lambda upstream: self._in_flight[upstream.name])
        self._in_flight[chosen.name] += 1
        return Assignment(chosen, 0)

    def finish(self, assignment: Assignment, sample: AttemptSample) -> None:
        self._in_flight[assignment.upstream.name] -= 1
        self.samples.append(sample)

    def record_notice(self, upstream: Upstream, notice: Notice) -> None:
        """Ignore the notice; this balancer excludes no upstream."""

    def may_retry(self, service: ServiceName) -> bool:
        return True
