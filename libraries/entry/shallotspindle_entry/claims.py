"""Task that keeps idempotency claims and the answers of this instance's requests.

A claim is granted only in the step in which this instance is seen to act for the
partition at the epoch of its ledger.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import astuple, dataclass
from typing import Any, Protocol

from absl import logging

from shallotspindle_core.clock import Clock
from shallotspindle_core.hashing import find_partition
from shallotspindle_core.identifiers import (
    FailureDomain,
    Incarnation,
    Instance,
    TeamName,
)
from shallotspindle_core.randomness import RandomSource
from shallotspindle_entry.interfaces import (
    ClaimResult,
    ClaimState,
    PartitionGained,
    PartitionLost,
    PartitionOwnership,
    PeerMessaging,
    PeerUnreachable,
    StoredResponse,
)
from shallotspindle_entry.tasks import InboxTask
from shallotspindle_idempotency import ledger as ledgers
from shallotspindle_idempotency import messages
from shallotspindle_idempotency.ledger import RETENTION_SECONDS, ClaimLedger
from shallotspindle_idempotency.messages import (
    AbandonReport,
    AlreadyClaimed,
    ClaimGrant,
    ClaimRequest,
    DifferentBody,
    HolderUnavailable,
    LedgerSnapshot,
    OutcomeReport,
    Quarantined,
    RecordedResponse,
    ReplayRequest,
    RequestInProgress,
    ResponseDiscarded,
)
from shallotspindle_idempotency.response_cache import ResponseCache

# Name of the state in a hand-over.
STATE_NAME = "claims"
# About 12 MB of records; 11 keys a second are kept for the retention.
CLAIM_LIMIT = 40_000
REPLY_SECONDS = 1.0
REPORT_TRIES = 3
REPORT_PAUSE_SECONDS = 0.5
MAX_ATTEMPT = 1 << 62


class EpochRights(PartitionOwnership, Protocol):
    """Rights that also tell the epoch."""

    def find_epoch(self, partition: int) -> int | None:
        """Return the epoch of the right on a partition; None without a right."""


@dataclass(frozen=True, slots=True)
class Received:
    """A message of an instance, which may be this one."""

    sender: Instance
    message: ClaimRequest | OutcomeReport | AbandonReport | ReplayRequest


@dataclass(frozen=True, slots=True)
class Begin:
    """A grant was received."""

    key: bytes
    attempt: int


@dataclass(frozen=True, slots=True)
class Finish:
    """A run ended; the reply is the number of its grant."""

    key: bytes
    answer: RecordedResponse | None


@dataclass(frozen=True, slots=True)
class Withdraw:
    """A run was certainly not sent; the reply is the number of its grant."""

    key: bytes


@dataclass(frozen=True, slots=True)
class Done:
    """Reply to ``OutcomeReport`` and ``AbandonReport``."""


def encode_state(state: LedgerSnapshot) -> bytes:
    """Encode the state of a ledger for a hand-over."""
    rows = [
        [item.hex() if isinstance(item, bytes) else item for item in astuple(claim)]
        for claim in state.claims
    ]
    return json.dumps([state.quarantine_seconds, rows], separators=(",", ":")).encode()


def decode_state(data: bytes) -> LedgerSnapshot:
    """Decode the state of a ledger.

    :raises ValueError: or ``TypeError`` if the data is malformed.
    """
    quarantine, rows = json.loads(data)
    claims = tuple(
        messages.ClaimSnapshot(bytes.fromhex(key), bytes.fromhex(body), *rest)
        for key, body, *rest in rows
    )
    return LedgerSnapshot(float(quarantine), claims)


class ClaimsTask(InboxTask):
    """Keeps claims of held partitions; implements ``Claims``.

    Subscribe it to the ownership task under ``STATE_NAME``.

    :param me: this instance.
    """

    def __init__(
        self,
        me: Instance,
        rights: EpochRights,
        link: PeerMessaging,
        clock: Clock,
        source: RandomSource,
        sleep: Callable[[float], Any] = asyncio.sleep,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._me = me
        self._rights = rights
        self._link = link
        self._clock = clock
        self._sleep = sleep
        self._response_cache = ResponseCache()
        self._ledgers: dict[int, tuple[int, ClaimLedger]] = {}
        self._reports: set[asyncio.Task] = set()
        self._attempt = source.randrange(MAX_ATTEMPT)
        for kind in (ClaimRequest, OutcomeReport, AbandonReport, ReplayRequest):
            link.register(kind, self._on_peer)

    async def claim(
        self,
        team: TeamName,
        idempotency_key: str,
        request_digest: bytes,
        deadline: float,
    ) -> ClaimResult:
        self._attempt += 1
        partition = find_partition(team, idempotency_key)
        name = ledgers.digest_idempotency_key(team, idempotency_key)
        message = ClaimRequest(partition, name, request_digest, self._attempt)
        holder = self._rights.find_holder(partition)
        if holder is None:
            return ClaimResult(ClaimState.UNAVAILABLE)
        try:
            reply = await self._request(holder, message, deadline)
            return await self._conclude(message, reply, deadline)
        except asyncio.CancelledError:
            self._report(AbandonReport(partition, name, message.attempt_id))
            raise

    async def finish(
        self, team: TeamName, idempotency_key: str, response: StoredResponse | None
    ) -> None:
        answer = response and RecordedResponse(
            response.status, response.headers, response.body
        )
        name = ledgers.digest_idempotency_key(team, idempotency_key)
        attempt = await self.ask(Finish(name, answer))
        if attempt is not None:
            partition = find_partition(team, idempotency_key)
            self._report(OutcomeReport(partition, name, attempt, answer is not None))

    async def abandon(self, team: TeamName, idempotency_key: str) -> None:
        name = ledgers.digest_idempotency_key(team, idempotency_key)
        attempt = await self.ask(Withdraw(name))
        if attempt is not None:
            self._report(
                AbandonReport(find_partition(team, idempotency_key), name, attempt)
            )

    async def stop(self, exception: Exception | None = None) -> None:
        for report in self._reports:
            report.cancel()
        await super().stop(exception)

    async def handle(self, message: Any) -> Any:
        now = self._clock.boottime()
        match message:
            case Received(sender, content):
                return self._receive(sender, content, now)
            case PartitionGained():
                return self._gain(message, now)
            case PartitionLost(partition):
                return self._lose(partition, now)
        return self._note_run(message, now)

    def _receive(self, sender: Instance, message: Any, now: float) -> Any:
        match message:
            case ClaimRequest():
                return self._claim(sender, message, now)
            case ReplayRequest(key, attempt):
                return self._response_cache.find(key, attempt, now)
        return self._settle(sender, message, now)

    def _note_run(self, message: Begin | Finish | Withdraw, now: float) -> int | None:
        match message:
            case Begin(key, attempt):
                self._response_cache.begin(key, attempt, now)
            case Finish(key, answer):
                return self._response_cache.finish(key, answer, now)
            case Withdraw(key):
                return self._response_cache.abandon(key)
        return None

    def _claim(self, sender: Instance, message: ClaimRequest, now: float) -> Any:
        ledger = self._find_ledger(message.partition, now)
        if ledger is None or self._is_full(ledger, message.key_digest, now):
            return HolderUnavailable()
        return ledger.claim(message, sender, now)

    def _settle(
        self, sender: Instance, report: OutcomeReport | AbandonReport, now: float
    ) -> Any:
        ledger = self._find_ledger(report.partition, now)
        if ledger is None:
            return HolderUnavailable()
        if isinstance(report, AbandonReport):
            ledger.abandon(report, sender)
        else:
            ledger.record_outcome(report, sender, now)
        return Done()

    def _find_ledger(self, partition: int, now: float) -> ClaimLedger | None:
        """Return the ledger if this instance acts for it now."""
        epoch, ledger = self._ledgers.get(partition, (None, None))
        if ledger is None or epoch != self._rights.find_epoch(partition):
            return None
        return ledger if self._rights.may_act(partition, now) else None

    def _is_full(self, ledger: ClaimLedger, key: bytes, now: float) -> bool:
        """Return whether a new key is refused.

        Dropping an older claim instead could run its request twice.
        """
        if ledger.has_claim(key):
            return False
        kept = [each for _, each in self._ledgers.values()]
        if sum(map(len, kept)) < CLAIM_LIMIT:
            return False
        for each in kept:
            each.expire(now)
        return sum(map(len, kept)) >= CLAIM_LIMIT

    def _gain(self, message: PartitionGained, now: float) -> None:
        ledger = self._restore(message, now)
        self._ledgers[message.partition] = (message.epoch, ledger)

    @staticmethod
    def _restore(message: PartitionGained, now: float) -> ClaimLedger:
        data = dict(message.states).get(STATE_NAME)
        if data is not None and not message.is_takeover:
            try:
                return ledgers.restore(decode_state(data), now)
            except (ValueError, TypeError) as error:
                logging.error("claims of %d are damaged: %r", message.partition, error)
        if data is None and message.epoch == 1:
            return ClaimLedger()
        return ClaimLedger(now + RETENTION_SECONDS)

    def _lose(self, partition: int, now: float) -> bytes:
        _, ledger = self._ledgers.pop(
            partition, (0, ClaimLedger(now + RETENTION_SECONDS))
        )
        return encode_state(ledger.export(now))

    async def _on_peer(self, sender: Instance, message: Any) -> Any:
        return await self.ask(Received(sender, message))

    async def _request(self, peer: Instance, message: Any, deadline: float) -> Any:
        if peer == self._me:
            return await self.ask(Received(self._me, message))
        left = deadline - self._clock.boottime()
        if left <= 0:
            return PeerUnreachable("claims", "the deadline has passed")
        return await self._link.request(peer, message, min(left, REPLY_SECONDS))

    async def _conclude(
        self, message: ClaimRequest, reply: Any, deadline: float
    ) -> ClaimResult:
        match reply:
            case ClaimGrant():
                return await self._begin(message, deadline)
            case AlreadyClaimed():
                return await self._replay(message, reply, deadline)
            case DifferentBody():
                return ClaimResult(ClaimState.DIFFERENT_BODY)
            case Quarantined():
                return ClaimResult(ClaimState.UNKNOWN)
            case PeerUnreachable():
                # The holder may have granted the key; this attempt never runs.
                self._report(
                    AbandonReport(
                        message.partition, message.key_digest, message.attempt_id
                    )
                )
        return ClaimResult(ClaimState.UNAVAILABLE)

    async def _begin(self, message: ClaimRequest, deadline: float) -> ClaimResult:
        if self._clock.boottime() >= deadline:
            self._report(
                AbandonReport(message.partition, message.key_digest, message.attempt_id)
            )
            return ClaimResult(ClaimState.UNAVAILABLE)
        await self.ask(Begin(message.key_digest, message.attempt_id))
        return ClaimResult(ClaimState.GRANTED)

    async def _replay(
        self, message: ClaimRequest, present: AlreadyClaimed, deadline: float
    ) -> ClaimResult:
        runner = Instance(
            Incarnation(present.incarnation),
            present.address,
            FailureDomain(present.domain),
        )
        question = ReplayRequest(message.key_digest, present.attempt_id)
        reply = await self._request(runner, question, deadline)
        match reply:
            case RecordedResponse(status, headers, body):
                response = StoredResponse(status, headers, body)
                return ClaimResult(ClaimState.REPLAY, response)
            case RequestInProgress():
                return ClaimResult(ClaimState.IN_PROGRESS)
            case ResponseDiscarded():
                return ClaimResult(ClaimState.COMPLETED)
        done = present.is_completed
        return ClaimResult(ClaimState.COMPLETED if done else ClaimState.UNKNOWN)

    def _report(self, report: OutcomeReport | AbandonReport) -> None:
        task = asyncio.create_task(self._deliver(report))
        self._reports.add(task)
        task.add_done_callback(self._reports.discard)

    async def _deliver(self, report: OutcomeReport | AbandonReport) -> None:
        """Tell the holder; a lost report only makes later answers less exact."""
        for _ in range(REPORT_TRIES):
            holder = self._rights.find_holder(report.partition)
            deadline = self._clock.boottime() + REPLY_SECONDS
            if holder is not None:
                reply = await self._request(holder, report, deadline)
                if isinstance(reply, Done):
                    return
            await self._sleep(REPORT_PAUSE_SECONDS)
