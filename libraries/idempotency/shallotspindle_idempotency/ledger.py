"""Claims of one partition, kept by its holder.

A key is granted once in a retention. Only its runner can free it, by naming the grant
and saying that the request was certainly not sent.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, replace

from shallotspindle_core.identifiers import FailureDomain, Incarnation, Instance
from shallotspindle_idempotency.messages import (
    Abandon,
    Claim,
    Claimed,
    ClaimReply,
    ClaimState,
    DifferentBody,
    LedgerState,
    Outcome,
    Present,
    Quarantined,
)

RETENTION_SECONDS = 3600.0
KEY_BYTES = 16


@dataclass(frozen=True, slots=True)
class Record:
    """What is remembered of a granted key."""

    body: bytes
    runner: Instance
    attempt: int
    completed: bool
    expires: float


def digest_key(team: str, key: str) -> bytes:
    """Return the digest under which a team's key is remembered."""
    size = len(team.encode()).to_bytes(4, "big")
    text = size + team.encode() + key.encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


class Ledger:
    """Claimed keys of one partition.

    :param quarantined_until: boot-time before which no unknown key is granted, since
        the state of a former holder is lost.
    """

    def __init__(self, quarantined_until: float = 0.0) -> None:
        self._quarantined_until = quarantined_until
        # Records in the order in which their retention ends.
        self._records: OrderedDict[bytes, Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def claim(self, message: Claim, asker: Instance, now: float) -> ClaimReply:
        """Grant a key that was not granted before, or tell who runs it."""
        self.expire(now)
        record = self._records.get(message.key)
        if record is not None:
            return self._describe(record, message)
        if now < self._quarantined_until:
            return Quarantined()
        self._records[message.key] = Record(
            message.body, asker, message.attempt, False, now + RETENTION_SECONDS
        )
        return Claimed()

    def knows(self, key: bytes) -> bool:
        return key in self._records

    def settle(self, message: Outcome, runner: Instance, now: float) -> None:
        """Note that a granted request ended; its retention starts again."""
        self.expire(now)
        record = self._records.get(message.key)
        if record is None or not self._owns(record, runner, message.attempt):
            return
        ended = replace(
            record, completed=message.completed, expires=now + RETENTION_SECONDS
        )
        self._records[message.key] = ended
        self._records.move_to_end(message.key)

    def abandon(self, message: Abandon, runner: Instance) -> None:
        """Free a key whose request was certainly not sent."""
        record = self._records.get(message.key)
        if record is not None and self._owns(record, runner, message.attempt):
            del self._records[message.key]

    def expire(self, now: float) -> None:
        """Forget claims whose retention ended."""
        while self._records:
            key, record = next(iter(self._records.items()))
            if now < record.expires:
                return
            del self._records[key]

    def export(self, now: float) -> LedgerState:
        """Return the state for the next holder, with times as distances from now."""
        self.expire(now)
        claims = tuple(
            ClaimState(
                key,
                record.body,
                record.runner.incarnation,
                record.runner.address,
                record.runner.domain,
                record.attempt,
                record.completed,
                record.expires - now,
            )
            for key, record in self._records.items()
        )
        return LedgerState(max(0.0, self._quarantined_until - now), claims)

    @staticmethod
    def _owns(record: Record, runner: Instance, attempt: int) -> bool:
        return record.runner == runner and record.attempt == attempt

    @staticmethod
    def _describe(record: Record, message: Claim) -> Present | DifferentBody:
        if record.body != message.body:
            return DifferentBody()
        runner = record.runner
        return Present(
            runner.incarnation,
            runner.address,
            runner.domain,
            record.attempt,
            record.completed,
        )


def restore(state: LedgerState, now: float) -> Ledger:
    """Build the ledger of a partition that was handed over.

    The time of the transfer lengthens the retention and never shortens it.
    """
    ledger = Ledger(now + state.quarantine)
    for claim in sorted(state.claims, key=lambda claim: claim.remaining):
        runner = Instance(
            Incarnation(claim.incarnation), claim.address, FailureDomain(claim.domain)
        )
        ledger._records[claim.key] = Record(
            claim.body, runner, claim.attempt, claim.completed, now + claim.remaining
        )
    return ledger
