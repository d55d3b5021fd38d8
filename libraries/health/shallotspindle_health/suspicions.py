"""Suspicions of other instances, each with a limited life."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from shallotspindle_health.messages import Suspicion, SuspicionReport

LIFE_SECONDS = 15.0
REPORTERS_KEPT = 1024
# One instance may be wrong or lie, and one failure domain may be cut off.
QUORUM_REPORTERS = 3
QUORUM_DOMAINS = 2
# Each instance adds at most 1, so that a liar alone cannot reach it.
QUORUM_SCORE = 1.3
# Enough reporters for an agreement after some expire; more only cost traffic.
REPORTERS_RELAYED = 6
LONE_SUSPICIONS_TOLERATED = 2
MAX_SCORE = 10.0


@dataclass(frozen=True, slots=True)
class Entry:
    """A report with the local time of its receipt."""

    report: SuspicionReport
    at: float


class Board:
    """The latest report of each other instance.

    :param own: incarnation of this instance.
    :param domain: failure domain of this instance.
    """

    def __init__(self, own: str, domain: str, quorum: int = QUORUM_REPORTERS) -> None:
        self._own = own
        self._domain = domain
        self._quorum = quorum
        self._entries: OrderedDict[str, Entry] = OrderedDict()

    def receive(self, report: SuspicionReport, now: float) -> bool:
        """Keep a report; return whether it was new and others should hear it."""
        known = self._entries.get(report.reporter)
        if report.reporter == self._own:
            return False
        if known is not None and known.report.sequence >= report.sequence:
            return False
        rare = any(
            self.count_reporters(item, now) < REPORTERS_RELAYED
            for item in report.suspicions
        )
        self._entries[report.reporter] = Entry(report, now)
        self._entries.move_to_end(report.reporter)
        while len(self._entries) > REPORTERS_KEPT:
            self._entries.popitem(last=False)
        return rare or not report.suspicions

    def list_live(self, now: float) -> list[SuspicionReport]:
        """Return the reports that have not expired."""
        return [
            entry.report
            for entry in self._entries.values()
            if now - entry.at < LIFE_SECONDS and entry.report.suspicions
        ]

    def count_reporters(self, suspicion: Suspicion, now: float) -> int:
        """Return how many other instances suspect the same upstream."""
        key = (suspicion.service, suspicion.upstream)
        return sum(
            any((item.service, item.upstream) == key for item in report.suspicions)
            for report in self.list_live(now)
        )

    def group(self, service: str, now: float) -> dict[str, list[tuple[str, Suspicion]]]:
        """Return the reporters' domains and suspicions by upstream of a service.

        Reports of instances that suspect themselves are left out.
        """
        found: dict[str, list[tuple[str, Suspicion]]] = {}
        for report in self.list_live(now):
            if report.doubtful:
                continue
            for item in report.suspicions:
                if item.service == service:
                    found.setdefault(item.upstream, []).append((report.domain, item))
        return found

    def is_agreed(
        self, claims: Sequence[tuple[str, Suspicion]], own_score: float | None
    ) -> bool:
        """Return whether several instances agree and their evidence adds up.

        :param claims: failure domains and suspicions of other instances.
        :param own_score: evidence of this instance, or None if it suspects nothing.
        """
        domains = [domain for domain, _ in claims]
        scores = [min(1.0, item.score) for _, item in claims]
        if own_score is not None:
            domains.append(self._domain)
            scores.append(min(1.0, own_score))
        several = len(domains) >= self._quorum and len(set(domains)) >= QUORUM_DOMAINS
        return several and sum(scores) >= QUORUM_SCORE

    def doubts_itself(self, own: set[tuple[str, str]], now: float) -> bool:
        """Return whether this instance suspects far more than the others.

        :param own: service and name of the upstreams that this instance suspects.
        """
        seen = {
            (item.service, item.upstream)
            for report in self.list_live(now)
            for item in report.suspicions
        }
        lone = len(own - seen)
        return lone > LONE_SUSPICIONS_TOLERATED and lone > 2 * len(own & seen)
