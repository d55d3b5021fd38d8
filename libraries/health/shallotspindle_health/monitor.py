"""Health of the upstreams of all services, as one instance sees it, and its reports."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from shallotspindle_core.identifiers import Instance
from shallotspindle_core.randomness import RandomSource
from shallotspindle_health.crashes import CrashTracker
from shallotspindle_health.detection import (
    RecoverySettings,
    ServiceHealth,
    UpstreamDescription,
)
from shallotspindle_health.messages import CrashNotice, SuspicionReport
from shallotspindle_health.scoring import Outcome, Thresholds
from shallotspindle_health.suspicions import MAX_RELAYED_REPORTERS, PeerReports

REPORT_REFRESH_SECONDS = 5.0
# Limits the traffic of sent and relayed reports; a report of one suspicion takes 105
# bytes, one of sixteen 953.
REPORTS_PER_SECOND = 1.0
MAX_REPORT_BURST = 10.0
# Limits the size of a report when a failure domain is lost. Ejected upstreams come
# first, then the highest scores.
MAX_SUSPICIONS_PER_REPORT = 16
HealthMessage = SuspicionReport | CrashNotice


@dataclass(frozen=True, slots=True)
class ServiceUpstreams:
    """Upstreams of a service and its floor, from the current bundle.

    :param floor: minimum number of upstreams in use.
    """

    service: str
    upstreams: frozenset[str]
    floor: int


class HealthMonitor:
    """Combines the health of each service, reports of peers and crash attribution."""

    def __init__(
        self,
        own_instance: Instance,
        random: RandomSource,
        thresholds: Thresholds | None = None,
        recovery: RecoverySettings | None = None,
    ) -> None:
        self._own_instance = own_instance
        self._random = random
        self._thresholds = thresholds
        self._recovery = recovery
        self._peer_reports = PeerReports(own_instance.incarnation, own_instance.domain)
        self._services: dict[str, ServiceHealth] = {}
        self._crashes = CrashTracker()
        self._sequence = 0
        self._reported: dict[tuple[str, str], bool] = {}
        self._reported_at = 0.0
        self._tokens = MAX_REPORT_BURST
        self._refilled_at = 0.0
        self.suspects_itself = False

    def update(self, services: Iterable[ServiceUpstreams], now: float) -> None:
        """Apply the services of the current bundle."""
        known = self._services
        self._services = {}
        for item in services:
            health = known.get(item.service) or ServiceHealth(
                item.service,
                self._peer_reports,
                self._random,
                self._thresholds,
                self._recovery,
            )
            self._services[item.service] = health
            health.update(item.upstreams, item.floor, now)

    def get(self, service: str) -> ServiceHealth | None:
        """Return the health of a service, or None if it is not in the bundle."""
        return self._services.get(service)

    def is_quarantined(self, fingerprint: int, now: float) -> bool:
        """Return whether a request is quarantined because it crashes upstreams."""
        return self._crashes.is_quarantined(fingerprint, now)

    def record_outcome(
        self, fingerprint: int, upstream: str, outcome: Outcome, now: float
    ) -> list[HealthMessage]:
        """Attribute a crash of an upstream to the request that it ran.

        Call it after ``ServiceHealth.record``, whose failure it may take back.

        :returns: messages for peers.
        """
        if outcome is Outcome.COMPLETE:
            self._crashes.clear(fingerprint, now)
        if outcome is not Outcome.RESET:
            return []
        self._retract_failures(self._crashes.record(fingerprint, upstream, now), now)
        notice = self._crashes.build_notice(fingerprint, now)
        return [notice] if notice else []

    def list_unstored_crashes(self, now: float) -> list[CrashNotice]:
        """Return the quarantined requests that this instance has to store."""
        return self._crashes.list_unstored(now)

    def mark_crash_stored(self, fingerprint: int) -> None:
        """Record that the store holds a quarantined request."""
        self._crashes.mark_stored(fingerprint)

    def receive(self, message: HealthMessage, now: float) -> list[HealthMessage]:
        """Apply a message of a peer; return the messages to relay."""
        if isinstance(message, SuspicionReport):
            return self._receive_report(message, now)
        before = self._crashes.build_notice(message.fingerprint, now)
        self._retract_failures(self._crashes.merge(message, now), now)
        after = self._crashes.build_notice(message.fingerprint, now)
        if after is None or (before and before.upstreams == after.upstreams):
            return []
        return [after]

    def tick(self, now: float) -> list[HealthMessage]:
        """Update what depends on time; return messages for peers."""
        suspected = self._list_suspected()
        self.suspects_itself = self._peer_reports.suspects_itself(set(suspected), now)
        for health in self._services.values():
            health.suspects_itself = self.suspects_itself
            if not health.is_settled:
                health.evaluate(now)
        return self._build_report(now)

    def describe(self, now: float) -> Mapping[str, tuple[UpstreamDescription, ...]]:
        """Return the state of all upstreams by service, for operators."""
        return {name: item.describe(now) for name, item in self._services.items()}

    def _receive_report(
        self, report: SuspicionReport, now: float
    ) -> list[HealthMessage]:
        should_relay = self._peer_reports.receive(report, now)
        for service in {item.service for item in report.suspicions}:
            if service in self._services:
                self._services[service].evaluate(now)
        return [report] if should_relay and self._take_token(now) else []

    def _list_suspected(self) -> dict[tuple[str, str], bool]:
        """Return for each suspected service and upstream whether it is ejected."""
        return {
            (item.service, item.upstream): item.is_ejected
            for health in self._services.values()
            if not health.is_settled
            for item in health.list_suspicions()
        }

    def _build_report(self, now: float) -> list[HealthMessage]:
        """Return a report if the suspicions changed or the last report is old."""
        suspected = self._list_suspected()
        has_changed = suspected != self._reported
        if not has_changed and (
            not suspected or now - self._reported_at < REPORT_REFRESH_SECONDS
        ):
            return []
        found = [
            item
            for health in self._services.values()
            if not health.is_settled
            for item in health.list_suspicions()
        ]
        found.sort(key=lambda item: (not item.is_ejected, -item.score, item.upstream))
        suspicions = tuple(found[:MAX_SUSPICIONS_PER_REPORT])
        if not self._take_token(now):
            return []
        self._reported, self._reported_at = suspected, now
        counts = [self._peer_reports.count_reporters(item, now) for item in suspicions]
        if counts and min(counts) >= MAX_RELAYED_REPORTERS:
            # Enough other instances report each of these suspicions.
            return []
        self._sequence += 1
        own_instance = self._own_instance
        return [
            SuspicionReport(
                own_instance.incarnation,
                own_instance.domain,
                self._sequence,
                self.suspects_itself,
                suspicions,
            )
        ]

    def _take_token(self, now: float) -> bool:
        """Take a token of the bucket that limits reports; return whether it had one."""
        gained = (now - self._refilled_at) * REPORTS_PER_SECOND
        self._tokens = min(MAX_REPORT_BURST, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _retract_failures(self, upstreams: frozenset[str], now: float) -> None:
        for upstream in upstreams:
            for health in self._services.values():
                health.retract_failure(upstream, now)
