"""Suspicions that other instances report, each with a limited lifetime."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from shallotspindle_health.messages import Suspicion, SuspicionReport

REPORT_LIFETIME_SECONDS = 15.0
MAX_REPORTERS = 1024
# A single instance may be faulty, and a whole failure domain may be cut off.
QUORUM_REPORTERS = 3
QUORUM_DOMAINS = 2
# Each instance adds at most 1, so that one faulty instance cannot reach this sum alone.
QUORUM_SCORE = 1.3
# Leaves a quorum after some reports expire; more reports would only cost traffic.
MAX_RELAYED_REPORTERS = 6
# With more suspicions that no peer shares, this instance suspects itself.
MAX_LONE_SUSPICIONS = 2
# Bounds the effect of one score, also of one that a faulty peer reports.
MAX_SCORE = 10.0


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report with the local time of its receipt."""

    report: SuspicionReport
    received_at: float


class PeerReports:
    """The latest report of each other instance.

    :param own_incarnation: incarnation of this instance.
    :param own_domain: failure domain of this instance.
    :param quorum_reporters: instances that have to suspect an upstream for a quorum.
    """

    def __init__(
        self,
        own_incarnation: str,
        own_domain: str,
        quorum_reporters: int = QUORUM_REPORTERS,
    ) -> None:
        self._own_incarnation = own_incarnation
        self._own_domain = own_domain
        self._quorum_reporters = quorum_reporters
        self._received: OrderedDict[str, ReceivedReport] = OrderedDict()

    def receive(self, report: SuspicionReport, now: float) -> bool:
        """Store a report; return whether it is new and worth relaying to others."""
        known = self._received.get(report.reporter)
        if report.reporter == self._own_incarnation:
            return False
        if known is not None and known.report.sequence >= report.sequence:
            return False
        has_few_reporters = any(
            self.count_reporters(item, now) < MAX_RELAYED_REPORTERS
            for item in report.suspicions
        )
        self._received[report.reporter] = ReceivedReport(report, now)
        self._received.move_to_end(report.reporter)
        while len(self._received) > MAX_REPORTERS:
            self._received.popitem(last=False)
        return has_few_reporters or not report.suspicions

    def list_current(self, now: float) -> list[SuspicionReport]:
        """Return the reports that hold suspicions and have not expired."""
        return [
            item.report
            for item in self._received.values()
            if now - item.received_at < REPORT_LIFETIME_SECONDS
            and item.report.suspicions
        ]

    def count_reporters(self, suspicion: Suspicion, now: float) -> int:
        """Return how many other instances suspect the same upstream."""
        key = (suspicion.service, suspicion.upstream)
        return sum(
            any((item.service, item.upstream) == key for item in report.suspicions)
            for report in self.list_current(now)
        )

    def group_by_upstream(
        self, service: str, now: float
    ) -> dict[str, list[tuple[str, Suspicion]]]:
        """Return the suspicions of a service, each with its reporter's domain.

        Reports of instances that suspect themselves are left out.
        """
        found: dict[str, list[tuple[str, Suspicion]]] = {}
        for report in self.list_current(now):
            if report.suspects_itself:
                continue
            for item in report.suspicions:
                if item.service == service:
                    found.setdefault(item.upstream, []).append((report.domain, item))
        return found

    def has_quorum(
        self,
        peer_suspicions: Sequence[tuple[str, Suspicion]],
        own_score: float | None,
    ) -> bool:
        """Return whether enough instances suspect an upstream on enough evidence.

        :param peer_suspicions: failure domains and suspicions of other instances.
        :param own_score: evidence of this instance, or None if it has no suspicion.
        """
        domains = [domain for domain, _ in peer_suspicions]
        scores = [min(1.0, item.score) for _, item in peer_suspicions]
        if own_score is not None:
            domains.append(self._own_domain)
            scores.append(min(1.0, own_score))
        has_reporters = (
            len(domains) >= self._quorum_reporters
            and len(set(domains)) >= QUORUM_DOMAINS
        )
        return has_reporters and sum(scores) >= QUORUM_SCORE

    def suspects_itself(self, own_suspected: set[tuple[str, str]], now: float) -> bool:
        """Return whether this instance suspects far more upstreams than the others.

        Then its own connections are the likely cause, and not the upstreams.

        :param own_suspected: service and name of the upstreams that this instance
            suspects.
        """
        peer_suspected = {
            (item.service, item.upstream)
            for report in self.list_current(now)
            for item in report.suspicions
        }
        lone_count = len(own_suspected - peer_suspected)
        return lone_count > MAX_LONE_SUSPICIONS and lone_count > 2 * len(
            own_suspected & peer_suspected
        )
