"""Health of all services as one instance sees it, and what it tells its peers."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from shallotspindle_core.identifiers import Instance
from shallotspindle_core.randomness import RandomSource
from shallotspindle_health.crashes import CrashLedger
from shallotspindle_health.detection import (
    Description,
    Recovery,
    ServiceHealth,
)
from shallotspindle_health.messages import CrashNotice, SuspicionReport
from shallotspindle_health.samples import Outcome, Thresholds
from shallotspindle_health.suspicions import REPORTERS_RELAYED, Board

REFRESH_SECONDS = 5.0
# Bounds what suspicions cost; a report of one takes 105 bytes, one of sixteen 953.
REPORTS_PER_SECOND = 1.0
REPORTS_AT_ONCE = 10.0
# Bounds the size of a report when a failure domain is lost; the worst come first.
SUSPICIONS_IN_REPORT = 16
Message = SuspicionReport | CrashNotice


@dataclass(frozen=True, slots=True)
class Members:
    """Upstreams of a service and its floor, from the bundle in force."""

    service: str
    upstreams: frozenset[str]
    floor: int


class Overview:
    """Joins suspicions, crash attribution and the health of each service."""

    def __init__(
        self,
        own: Instance,
        random: RandomSource,
        thresholds: Thresholds | None = None,
        recovery: Recovery | None = None,
    ) -> None:
        self._own = own
        self._random = random
        self._thresholds = thresholds
        self._recovery = recovery
        self._board = Board(own.incarnation, own.domain)
        self._services: dict[str, ServiceHealth] = {}
        self._ledger = CrashLedger()
        self._sequence = 0
        self._told: dict[tuple[str, str], bool] = {}
        self._told_at = 0.0
        self._tokens = REPORTS_AT_ONCE
        self._filled_at = 0.0
        self.doubtful = False

    def update(self, members: Iterable[Members], now: float) -> None:
        """Take the services of the bundle in force."""
        known = self._services
        self._services = {}
        for item in members:
            health = known.get(item.service) or ServiceHealth(
                item.service,
                self._board,
                self._random,
                self._thresholds,
                self._recovery,
            )
            self._services[item.service] = health
            health.update(item.upstreams, item.floor, now)

    def get(self, service: str) -> ServiceHealth | None:
        """Return the health of a service of the bundle."""
        return self._services.get(service)

    def is_held(self, fingerprint: int, now: float) -> bool:
        """Return whether a request is held back because it crashes upstreams."""
        return self._ledger.is_held(fingerprint, now)

    def attribute(
        self, fingerprint: int, upstream: str, outcome: Outcome, now: float
    ) -> list[Message]:
        """Note whether a request crashed an upstream; call it after the sample."""
        if outcome is Outcome.WHOLE:
            self._ledger.clear(fingerprint, now)
        if outcome is not Outcome.RESET:
            return []
        self._acquit(self._ledger.record(fingerprint, upstream, now), now)
        notice = self._ledger.describe(fingerprint, now)
        return [notice] if notice else []

    def receive(self, message: Message, now: float) -> list[Message]:
        """Take a message of a peer; return what to pass on."""
        if isinstance(message, SuspicionReport):
            return self._receive_report(message, now)
        before = self._ledger.describe(message.fingerprint, now)
        self._acquit(self._ledger.merge(message, now), now)
        after = self._ledger.describe(message.fingerprint, now)
        if after is None or (before and before.upstreams == after.upstreams):
            return []
        return [after]

    def tick(self, now: float) -> list[Message]:
        """Let time pass; return what to tell peers."""
        held = self._list_held()
        self.doubtful = self._board.doubts_itself(set(held), now)
        for health in self._services.values():
            health.doubtful = self.doubtful
            if not health.settled:
                health.evaluate(now)
        return self._build_report(now)

    def describe(self, now: float) -> Mapping[str, tuple[Description, ...]]:
        """Return the state of all upstreams by service."""
        return {name: item.describe(now) for name, item in self._services.items()}

    def _receive_report(self, report: SuspicionReport, now: float) -> list[Message]:
        relayed = self._board.receive(report, now)
        for service in {item.service for item in report.suspicions}:
            if service in self._services:
                self._services[service].evaluate(now)
        return [report] if relayed and self._take_token(now) else []

    def _list_held(self) -> dict[tuple[str, str], bool]:
        return {
            (item.service, item.upstream): item.ejected
            for health in self._services.values()
            if not health.settled
            for item in health.list_suspicions()
        }

    def _build_report(self, now: float) -> list[Message]:
        held = self._list_held()
        changed = held != self._told
        if not changed and (not held or now - self._told_at < REFRESH_SECONDS):
            return []
        found = [
            item
            for health in self._services.values()
            if not health.settled
            for item in health.list_suspicions()
        ]
        found.sort(key=lambda item: (not item.ejected, -item.score, item.upstream))
        suspicions = tuple(found[:SUSPICIONS_IN_REPORT])
        if not self._take_token(now):
            return []
        self._told, self._told_at = held, now
        counts = [self._board.count_reporters(item, now) for item in suspicions]
        if counts and min(counts) >= REPORTERS_RELAYED:
            # Enough others say the same.
            return []
        self._sequence += 1
        own = self._own
        return [
            SuspicionReport(
                own.incarnation, own.domain, self._sequence, self.doubtful, suspicions
            )
        ]

    def _take_token(self, now: float) -> bool:
        gained = (now - self._filled_at) * REPORTS_PER_SECOND
        self._tokens = min(REPORTS_AT_ONCE, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _acquit(self, names: frozenset[str], now: float) -> None:
        for name in names:
            for health in self._services.values():
                health.acquit(name, now)
