"""Claims of the idempotency keys of one partition, kept by the partition's holder.

A key is granted once within the retention period. Only the instance that runs the
request can release it earlier, by identifying the grant and confirming that the
request was not sent.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, replace

from shallotspindle_core.identifiers import FailureDomain, Incarnation, Instance
from shallotspindle_idempotency.messages import (
    AbandonReport,
    AlreadyClaimed,
    ClaimGrant,
    ClaimRequest,
    ClaimResponse,
    ClaimSnapshot,
    DifferentBody,
    LedgerSnapshot,
    OutcomeReport,
    Quarantined,
)

RETENTION_SECONDS = 3600.0
KEY_DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """A granted key.

    :param runner: the instance that got the grant and runs the request.
    :param is_completed: whether the runner reported a complete response.
    :param expires_at: time in seconds at which the claim is forgotten.
    """

    request_digest: bytes
    runner: Instance
    attempt_id: int
    is_completed: bool
    expires_at: float


def digest_idempotency_key(team: str, key: str) -> bytes:
    """Return the digest that identifies a team's idempotency key.

    The team's name is preceded by its length, so that no two pairs of team and key
    give the same input.
    """
    size = len(team.encode()).to_bytes(4, "big")
    text = size + team.encode() + key.encode()
    return hashlib.blake2b(text, digest_size=KEY_DIGEST_BYTES).digest()


class ClaimLedger:
    """Claimed keys of one partition.

    :param quarantined_until: boot time before which a key without a claim is not
        granted, since a former holder may have granted it and its state is lost.
    """

    def __init__(self, quarantined_until: float = 0.0) -> None:
        self._quarantined_until = quarantined_until
        # Ordered by expiry time.
        self._records: OrderedDict[bytes, ClaimRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def claim(
        self, request: ClaimRequest, requester: Instance, now: float
    ) -> ClaimResponse:
        """Grant a key without a claim, or return who holds its claim."""
        self.expire(now)
        record = self._records.get(request.key_digest)
        if record is not None:
            return self._refuse(record, request)
        if now < self._quarantined_until:
            return Quarantined()
        self._records[request.key_digest] = ClaimRecord(
            request.request_digest,
            requester,
            request.attempt_id,
            False,
            now + RETENTION_SECONDS,
        )
        return ClaimGrant()

    def has_claim(self, key_digest: bytes) -> bool:
        return key_digest in self._records

    def record_outcome(
        self, report: OutcomeReport, runner: Instance, now: float
    ) -> None:
        """Record how a granted request ended and restart the retention of its claim.

        A report that does not match the claim's runner and attempt is ignored.
        """
        self.expire(now)
        record = self._records.get(report.key_digest)
        if record is None or not self._is_granted_to(record, runner, report.attempt_id):
            return
        ended = replace(
            record, is_completed=report.is_completed, expires_at=now + RETENTION_SECONDS
        )
        self._records[report.key_digest] = ended
        self._records.move_to_end(report.key_digest)

    def abandon(self, report: AbandonReport, runner: Instance) -> None:
        """Release a key whose request was not sent.

        A report that does not match the claim's runner and attempt is ignored.
        """
        record = self._records.get(report.key_digest)
        if record is not None and self._is_granted_to(
            record, runner, report.attempt_id
        ):
            del self._records[report.key_digest]

    def expire(self, now: float) -> None:
        """Remove claims whose retention has ended."""
        while self._records:
            key_digest, record = next(iter(self._records.items()))
            if now < record.expires_at:
                return
            del self._records[key_digest]

    def export(self, now: float) -> LedgerSnapshot:
        """Return the state for the next holder.

        Times are relative to now, since boot times differ between machines.
        """
        self.expire(now)
        claims = tuple(
            ClaimSnapshot(
                key_digest,
                record.request_digest,
                record.runner.incarnation,
                record.runner.address,
                record.runner.domain,
                record.attempt_id,
                record.is_completed,
                record.expires_at - now,
            )
            for key_digest, record in self._records.items()
        )
        return LedgerSnapshot(max(0.0, self._quarantined_until - now), claims)

    @staticmethod
    def _is_granted_to(record: ClaimRecord, runner: Instance, attempt_id: int) -> bool:
        return record.runner == runner and record.attempt_id == attempt_id

    @staticmethod
    def _refuse(
        record: ClaimRecord, request: ClaimRequest
    ) -> AlreadyClaimed | DifferentBody:
        if record.request_digest != request.request_digest:
            return DifferentBody()
        runner = record.runner
        return AlreadyClaimed(
            runner.incarnation,
            runner.address,
            runner.domain,
            record.attempt_id,
            record.is_completed,
        )


def restore(snapshot: LedgerSnapshot, now: float) -> ClaimLedger:
    """Build the ledger of a partition that was handed over.

    Remaining times count from now, so the duration of the transfer can lengthen the
    retention of a claim but never shorten it.
    """
    ledger = ClaimLedger(now + snapshot.quarantine_seconds)
    for claim in sorted(snapshot.claims, key=lambda claim: claim.remaining_seconds):
        runner = Instance(
            Incarnation(claim.incarnation), claim.address, FailureDomain(claim.domain)
        )
        ledger._records[claim.key_digest] = ClaimRecord(
            claim.request_digest,
            runner,
            claim.attempt_id,
            claim.is_completed,
            now + claim.remaining_seconds,
        )
    return ledger
