"""Recognises requests that crash the upstreams that run them.

One crash says little about the request. After ``QUARANTINE_CRASHES`` crashes on at
least ``MIN_QUARANTINE_UPSTREAMS`` upstreams the request is quarantined: it gets no
slot, and the upstreams are no longer blamed for the crashes. A quarantine does not end
with time. A few trials, whose number is stored before they run, let a request through
that was quarantined by mistake; a complete response ends its quarantine.

Every instance counts all crashes that it hears of, and takes over the higher count of
the stored records. A process that starts therefore knows what was stored before.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from shallotspindle_core.identifiers import UpstreamName

QUARANTINE_CRASHES = 3
MIN_QUARANTINE_UPSTREAMS = 2
# Time from the last crash to each trial.
TRIAL_DELAYS_SECONDS = (60.0, 600.0)
# Names of crashed upstreams that a record contains at most.
MAX_RECORDED_UPSTREAMS = 4
# Bounds the memory used; the least important record is dropped first.
MAX_RECORDS = 4096


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """Crashes caused by one request.

    :param upstreams: names of upstreams that crashed, in alphabetical order.
    :param last_crash_at: Unix time of the last crash, in whole seconds.
    :param trials: how often the request was let through while it was quarantined.
    """

    count: int
    upstreams: tuple[UpstreamName, ...]
    last_crash_at: int
    trials: int = 0

    @property
    def is_quarantined(self) -> bool:
        """Whether the request must not be sent to any upstream."""
        return (
            self.count >= QUARANTINE_CRASHES
            and len(self.upstreams) >= MIN_QUARANTINE_UPSTREAMS
        )

    @property
    def importance(self) -> tuple[bool, int, int]:
        """Key by which the records to keep are chosen; the highest are kept."""
        return self.is_quarantined, self.count, self.last_crash_at

    def is_trial_due(self, now: float) -> bool:
        """Return whether the request may be let through once more.

        :param now: Unix time in seconds.
        """
        if not self.is_quarantined or self.trials >= len(TRIAL_DELAYS_SECONDS):
            return False
        return now - self.last_crash_at >= TRIAL_DELAYS_SECONDS[self.trials]

    def merge(self, other: "CrashRecord") -> "CrashRecord":
        """Return what is known from both records, which may count the same crashes."""
        return CrashRecord(
            max(self.count, other.count),
            _join_names(self.upstreams, other.upstreams),
            max(self.last_crash_at, other.last_crash_at),
            max(self.trials, other.trials),
        )


def _join_names(
    first: Iterable[UpstreamName], second: Iterable[UpstreamName]
) -> tuple[UpstreamName, ...]:
    """Return the distinct names, as many as a record contains."""
    return tuple(sorted({*first, *second}))[:MAX_RECORDED_UPSTREAMS]


def select_important(
    records: Mapping[int, CrashRecord], max_records: int
) -> dict[int, CrashRecord]:
    """Return the records that are kept if there are too many."""
    ranked = sorted(records.items(), key=lambda item: item[1].importance, reverse=True)
    return dict(ranked[:max_records])


class CrashTracker:
    """Crashes by fingerprint of the request."""

    def __init__(self) -> None:
        self._records: dict[int, CrashRecord] = {}
        self._stored: Mapping[int, CrashRecord] = {}
        # Requests that an upstream completed although a stored record blames them.
        self._disproved: set[int] = set()
        # Trials of this instance that no request has used.
        self._open_trials: set[int] = set()
        # Completed requests that the other instances must hear of.
        self._completed: set[int] = set()
        # Quarantined requests that were refused, so that a trial would be of use.
        self._refused: set[int] = set()

    def record_crash(
        self, fingerprint: int, upstream: UpstreamName, now: float
    ) -> None:
        """Count a crash of an upstream while it ran the request.

        :param now: Unix time in seconds.
        """
        known = self._records.get(fingerprint, CrashRecord(0, (), 0))
        self._records[fingerprint] = CrashRecord(
            known.count + 1,
            _join_names(known.upstreams, (upstream,)),
            max(known.last_crash_at, int(now)),
            known.trials,
        )
        if len(self._records) > MAX_RECORDS:
            self._records = select_important(self._records, MAX_RECORDS // 2)

    def record_success(self, fingerprint: int) -> None:
        """Forget the crashes of a request that an upstream completed."""
        if fingerprint in self._records:
            self.forget(fingerprint)
            self._completed.add(fingerprint)

    def forget(self, fingerprint: int) -> None:
        """Forget the crashes of a request, also those that are stored."""
        self._records.pop(fingerprint, None)
        if fingerprint in self._stored:
            self._disproved.add(fingerprint)

    def apply_stored(
        self, stored: Mapping[int, CrashRecord], may_be_older: bool = False
    ) -> None:
        """Take over the stored records.

        A record that is gone, or counts fewer crashes, was removed since the request
        was completed.

        :param may_be_older: whether the store may have lost records that it had before.
            The higher counts are kept then, and so are stored again.
        """
        previous, self._stored = self._stored, stored
        if may_be_older:
            previous = {}
        for fingerprint, record in previous.items():
            stored_record = stored.get(fingerprint)
            if stored_record is None or stored_record.count < record.count:
                self._records.pop(fingerprint, None)
                self._disproved.discard(fingerprint)
        for fingerprint, record in stored.items():
            if fingerprint not in self._disproved:
                known = self._records.get(fingerprint, record)
                self._records[fingerprint] = known.merge(record)

    def list_records(self) -> Mapping[int, CrashRecord]:
        """Return all records, as they should be stored."""
        return self._records

    def list_unstored(self) -> set[int]:
        """Return the requests of which the store does not hold what is known."""
        return {
            fingerprint
            for fingerprint in self._records.keys() | self._stored.keys()
            if self._records.get(fingerprint) != self._stored.get(fingerprint)
        }

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether the request must not be sent to any upstream."""
        record = self._records.get(fingerprint)
        return record is not None and record.is_quarantined

    def admits(self, fingerprint: int) -> bool:
        """Return whether the request may get a slot, perhaps as a trial."""
        return not self.is_quarantined(fingerprint) or fingerprint in self._open_trials

    def record_refusal(self, fingerprint: int) -> None:
        """Record that a quarantined request was refused."""
        self._refused.add(fingerprint)

    def take_due_trials(self, now: float) -> dict[int, CrashRecord]:
        """Return the records of refused requests that may be tried, counted as tried.

        They must be stored before ``open_trial`` is called.

        :param now: Unix time in seconds.
        """
        refused, self._refused = self._refused, set()
        due = {
            fingerprint: record
            for fingerprint in refused
            if (record := self._records.get(fingerprint)) and record.is_trial_due(now)
        }
        return {
            fingerprint: replace(record, trials=record.trials + 1)
            for fingerprint, record in due.items()
        }

    def open_trial(self, fingerprint: int, record: CrashRecord) -> None:
        """Let a quarantined request through once; the record is stored."""
        self._records[fingerprint] = record
        self._open_trials.add(fingerprint)

    def use_trial(self, fingerprint: int) -> None:
        """Count a request that got a slot."""
        self._open_trials.discard(fingerprint)

    def take_completed(self) -> set[int]:
        """Return the completed requests that the other instances must hear of."""
        completed, self._completed = self._completed, set()
        return completed

    def list_crashed_upstreams(self, fingerprint: int) -> Iterable[UpstreamName]:
        """Return the upstreams that crashed while they ran the request."""
        record = self._records.get(fingerprint)
        return record.upstreams if record else ()
