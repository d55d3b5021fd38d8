"""Task that keeps idempotency claims and the responses of this instance's requests.

A claim is granted only if this instance owns the partition at the epoch of its ledger.
Both are checked in the same step as the grant, without an await in between.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import astuple, dataclass
from typing import Annotated, Any, ClassVar, Protocol

from absl import logging
from expression import Error, Ok, Result
from pydantic import Field, TypeAdapter

from shallotspindle_core.bounds import MAX_SECONDS
from shallotspindle_core.clock import Clock
from shallotspindle_core.failures import Failure
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
from shallotspindle_validation import documents
from shallotspindle_validation.fields import Address, Name, Revision

# Identifies the state in a handover.
STATE_NAME = "claims"
# Records take about 12 MB. Covers 11 keys a second for the retention period.
MAX_CLAIMS = 40_000
RESPONSE_TIMEOUT_SECONDS = 1.0
MAX_REPORT_ATTEMPTS = 3
REPORT_RETRY_SECONDS = 0.5
MAX_INITIAL_ATTEMPT_ID = 1 << 62


class EpochOwnership(PartitionOwnership, Protocol):
    """Partition ownership with its epochs."""

    def find_epoch(self, partition: int) -> int | None:
        """Return the epoch of this instance's ownership; None if it is not owner."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from an instance, which may be this one."""

    sender: Instance
    message: ClaimRequest | OutcomeReport | AbandonReport | ReplayRequest


@dataclass(frozen=True, slots=True)
class ExecutionStarted:
    """This instance received the grant of a claim and runs the request."""

    key_digest: bytes
    attempt_id: int


@dataclass(frozen=True, slots=True)
class ExecutionFinished:
    """The request of a grant ended; the reply is the attempt id of the grant.

    :param response: the complete response; None if it is unknown or too large.
    """

    key_digest: bytes
    response: RecordedResponse | None


@dataclass(frozen=True, slots=True)
class ExecutionAbandoned:
    """The request of a grant was certainly not sent.

    The reply is the attempt id of the grant.
    """

    key_digest: bytes


@dataclass(frozen=True, slots=True)
class ReportAcknowledged:
    """Response to ``OutcomeReport`` and ``AbandonReport``."""

    KIND: ClassVar[str] = "done"


ClaimSeconds = Annotated[float, Field(ge=-MAX_SECONDS, le=MAX_SECONDS)]
Digest = Annotated[str, Field(pattern=r"^([0-9a-f]{2})*$")]
# The fields of a claim in the order of ``ClaimSnapshot``; the digests are in hex.
ClaimRow = tuple[Digest, Digest, Name, Address, Name, Revision, bool, ClaimSeconds]
SNAPSHOT_ADAPTER = TypeAdapter(tuple[ClaimSeconds, list[ClaimRow]])


def encode_snapshot(snapshot: LedgerSnapshot) -> bytes:
    """Encode the state of a ledger for a handover."""
    rows = [
        [item.hex() if isinstance(item, bytes) else item for item in astuple(claim)]
        for claim in snapshot.claims
    ]
    return json.dumps(
        [snapshot.quarantine_seconds, rows], separators=(",", ":")
    ).encode()


def decode_snapshot(data: bytes) -> Result[LedgerSnapshot, Failure]:
    """Decode the state of a ledger that was handed over."""
    decoded = documents.decode_with(SNAPSHOT_ADAPTER, "claims", data)
    if decoded.is_error():
        return Error(decoded.error)
    quarantine_seconds, rows = decoded.ok
    claims = tuple(
        messages.ClaimSnapshot(bytes.fromhex(key_digest), bytes.fromhex(body), *rest)
        for key_digest, body, *rest in rows
    )
    return Ok(LedgerSnapshot(quarantine_seconds, claims))


class ClaimsTask(InboxTask):
    """Keeps the claims of owned partitions; implements ``Claims``.

    It must be subscribed to the ownership task under ``STATE_NAME``.
    """

    def __init__(
        self,
        own_instance: Instance,
        ownership: EpochOwnership,
        peers: PeerMessaging,
        clock: Clock,
        random: RandomSource,
        sleep: Callable[[float], Any] = asyncio.sleep,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._own_instance = own_instance
        self._ownership = ownership
        self._peers = peers
        self._clock = clock
        self._sleep = sleep
        self._response_cache = ResponseCache()
        self._ledgers: dict[int, tuple[int, ClaimLedger]] = {}
        self._pending_reports: set[asyncio.Task] = set()
        self._last_attempt_id = random.randrange(MAX_INITIAL_ATTEMPT_ID)
        for kind in (ClaimRequest, OutcomeReport, AbandonReport, ReplayRequest):
            peers.register(kind, self._receive_from_peer)

    async def claim(
        self,
        team: TeamName,
        idempotency_key: str,
        request_digest: bytes,
        deadline: float,
    ) -> ClaimResult:
        self._last_attempt_id += 1
        partition = find_partition(team, idempotency_key)
        key_digest = ledgers.digest_idempotency_key(team, idempotency_key)
        message = ClaimRequest(
            partition, key_digest, request_digest, self._last_attempt_id
        )
        holder = self._ownership.find_holder(partition)
        if holder is None:
            return ClaimResult(ClaimState.UNAVAILABLE)
        try:
            response = await self._send_request(holder, message, deadline)
            return await self._interpret_response(message, response, deadline)
        except asyncio.CancelledError:
            self._schedule_report(
                AbandonReport(partition, key_digest, message.attempt_id)
            )
            raise

    async def finish(
        self, team: TeamName, idempotency_key: str, response: StoredResponse | None
    ) -> None:
        recorded = response and RecordedResponse(
            response.status, response.headers, response.body
        )
        key_digest = ledgers.digest_idempotency_key(team, idempotency_key)
        attempt_id = await self.ask(ExecutionFinished(key_digest, recorded))
        if attempt_id is not None:
            partition = find_partition(team, idempotency_key)
            self._schedule_report(
                OutcomeReport(partition, key_digest, attempt_id, recorded is not None)
            )

    async def abandon(self, team: TeamName, idempotency_key: str) -> None:
        key_digest = ledgers.digest_idempotency_key(team, idempotency_key)
        attempt_id = await self.ask(ExecutionAbandoned(key_digest))
        if attempt_id is not None:
            self._schedule_report(
                AbandonReport(
                    find_partition(team, idempotency_key), key_digest, attempt_id
                )
            )

    async def stop(self, exception: Exception | None = None) -> None:
        for report in self._pending_reports:
            report.cancel()
        await super().stop(exception)

    async def handle(self, message: Any) -> Any:
        now = self._clock.boottime()
        match message:
            case MessageReceived(sender, content):
                return self._handle_peer_message(sender, content, now)
            case PartitionGained():
                return self._add_partition(message, now)
            case PartitionLost(partition):
                return self._remove_partition(partition, now)
        return self._update_execution(message, now)

    def _handle_peer_message(self, sender: Instance, message: Any, now: float) -> Any:
        match message:
            case ClaimRequest():
                return self._process_claim(sender, message, now)
            case ReplayRequest(key_digest, attempt_id):
                return self._response_cache.find(key_digest, attempt_id, now)
        return self._apply_report(sender, message, now)

    def _update_execution(
        self,
        message: ExecutionStarted | ExecutionFinished | ExecutionAbandoned,
        now: float,
    ) -> int | None:
        match message:
            case ExecutionStarted(key_digest, attempt_id):
                self._response_cache.begin(key_digest, attempt_id, now)
            case ExecutionFinished(key_digest, response):
                return self._response_cache.finish(key_digest, response, now)
            case ExecutionAbandoned(key_digest):
                return self._response_cache.abandon(key_digest)
        return None

    def _process_claim(
        self, sender: Instance, message: ClaimRequest, now: float
    ) -> Any:
        ledger = self._find_ledger(message.partition, now)
        if ledger is None or self._is_full(ledger, message.key_digest, now):
            return HolderUnavailable()
        return ledger.claim(message, sender, now)

    def _apply_report(
        self, sender: Instance, report: OutcomeReport | AbandonReport, now: float
    ) -> Any:
        ledger = self._find_ledger(report.partition, now)
        if ledger is None:
            return HolderUnavailable()
        if isinstance(report, AbandonReport):
            ledger.abandon(report, sender)
        else:
            ledger.record_outcome(report, sender, now)
        return ReportAcknowledged()

    def _find_ledger(self, partition: int, now: float) -> ClaimLedger | None:
        """Return the ledger of a partition that this instance owns now."""
        epoch, ledger = self._ledgers.get(partition, (None, None))
        if ledger is None or epoch != self._ownership.find_epoch(partition):
            return None
        return ledger if self._ownership.may_act(partition, now) else None

    def _is_full(self, ledger: ClaimLedger, key_digest: bytes, now: float) -> bool:
        """Return whether the memory bound requires that a new key is refused.

        Evicting an older claim instead could let its request run twice.
        """
        if ledger.has_claim(key_digest):
            return False
        held_ledgers = [held for _, held in self._ledgers.values()]
        if sum(map(len, held_ledgers)) < MAX_CLAIMS:
            return False
        for held in held_ledgers:
            held.expire(now)
        return sum(map(len, held_ledgers)) >= MAX_CLAIMS

    def _add_partition(self, message: PartitionGained, now: float) -> None:
        ledger = self._restore_ledger(message, now)
        self._ledgers[message.partition] = (message.epoch, ledger)

    @staticmethod
    def _restore_ledger(message: PartitionGained, now: float) -> ClaimLedger:
        data = dict(message.states).get(STATE_NAME)
        if data is not None and not message.is_takeover:
            snapshot = decode_snapshot(data)
            if snapshot.is_ok():
                return ledgers.restore(snapshot.ok, now)
            logging.error(
                "the handed-over claims of partition %d cannot be decoded and count as "
                "lost: %s",
                message.partition,
                snapshot.error,
            )
        if data is None and message.epoch == 1:
            return ClaimLedger()
        return ClaimLedger(now + RETENTION_SECONDS)

    def _remove_partition(self, partition: int, now: float) -> bytes:
        _, ledger = self._ledgers.pop(
            partition, (0, ClaimLedger(now + RETENTION_SECONDS))
        )
        return encode_snapshot(ledger.export(now))

    async def _receive_from_peer(self, sender: Instance, message: Any) -> Any:
        return await self.ask(MessageReceived(sender, message))

    async def _send_request(self, peer: Instance, message: Any, deadline: float) -> Any:
        if peer == self._own_instance:
            return await self.ask(MessageReceived(self._own_instance, message))
        remaining_seconds = deadline - self._clock.boottime()
        if remaining_seconds <= 0:
            return PeerUnreachable("claims", "the deadline has passed")
        return await self._peers.request(
            peer, message, min(remaining_seconds, RESPONSE_TIMEOUT_SECONDS)
        )

    async def _interpret_response(
        self, message: ClaimRequest, response: Any, deadline: float
    ) -> ClaimResult:
        match response:
            case ClaimGrant():
                return await self._start_execution(message, deadline)
            case AlreadyClaimed():
                return await self._fetch_replay(message, response, deadline)
            case DifferentBody():
                return ClaimResult(ClaimState.DIFFERENT_BODY)
            case Quarantined():
                return ClaimResult(ClaimState.UNKNOWN)
            case PeerUnreachable():
                # The holder may have granted the key, but this attempt will not run.
                self._schedule_report(
                    AbandonReport(
                        message.partition, message.key_digest, message.attempt_id
                    )
                )
        return ClaimResult(ClaimState.UNAVAILABLE)

    async def _start_execution(
        self, message: ClaimRequest, deadline: float
    ) -> ClaimResult:
        if self._clock.boottime() >= deadline:
            self._schedule_report(
                AbandonReport(message.partition, message.key_digest, message.attempt_id)
            )
            return ClaimResult(ClaimState.UNAVAILABLE)
        await self.ask(ExecutionStarted(message.key_digest, message.attempt_id))
        return ClaimResult(ClaimState.GRANTED)

    async def _fetch_replay(
        self, message: ClaimRequest, existing_claim: AlreadyClaimed, deadline: float
    ) -> ClaimResult:
        executing_instance = Instance(
            Incarnation(existing_claim.incarnation),
            existing_claim.address,
            FailureDomain(existing_claim.domain),
        )
        request = ReplayRequest(message.key_digest, existing_claim.attempt_id)
        response = await self._send_request(executing_instance, request, deadline)
        match response:
            case RecordedResponse(status, headers, body):
                stored_response = StoredResponse(status, headers, body)
                return ClaimResult(ClaimState.REPLAY, stored_response)
            case RequestInProgress():
                return ClaimResult(ClaimState.IN_PROGRESS)
            case ResponseDiscarded():
                return ClaimResult(ClaimState.COMPLETED)
        is_completed = existing_claim.is_completed
        return ClaimResult(ClaimState.COMPLETED if is_completed else ClaimState.UNKNOWN)

    def _schedule_report(self, report: OutcomeReport | AbandonReport) -> None:
        task = asyncio.create_task(self._deliver_report(report))
        self._pending_reports.add(task)
        task.add_done_callback(self._pending_reports.discard)

    async def _deliver_report(self, report: OutcomeReport | AbandonReport) -> None:
        """Send a report to the holder, with a few retries.

        If all are lost, later claims of the key only get a less exact result, such as
        unknown instead of completed.
        """
        for _ in range(MAX_REPORT_ATTEMPTS):
            holder = self._ownership.find_holder(report.partition)
            deadline = self._clock.boottime() + RESPONSE_TIMEOUT_SECONDS
            if holder is not None:
                response = await self._send_request(holder, report, deadline)
                if isinstance(response, ReportAcknowledged):
                    return
            await self._sleep(REPORT_RETRY_SECONDS)
