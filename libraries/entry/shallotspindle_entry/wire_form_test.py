"""Wire format of all messages between entry daemons and of stored partition state."""

import msgpack
import pytest

from shallotspindle_bundles.withdrawals import Withdrawal
from shallotspindle_core.identifiers import (
    FailureDomain,
    Incarnation,
    Instance,
    TeamName,
)
from shallotspindle_entry import coordination
from shallotspindle_entry.bundle_messages import (
    ChunkRequest,
    ChunkResponse,
    DeltasRequest,
    DeltasResponse,
    ManifestNotice,
    ManifestRequest,
    ManifestResponse,
    WithdrawalsNotice,
    WithdrawalsRequest,
)
from shallotspindle_entry.claims import ReportAcknowledged
from shallotspindle_health.messages import CrashNotice, Suspicion, SuspicionReport
from shallotspindle_idempotency.messages import (
    AbandonReport,
    AlreadyClaimed,
    ClaimGrant,
    ClaimRequest,
    DifferentBody,
    HolderUnavailable,
    OutcomeReport,
    Quarantined,
    RecordedResponse,
    ReplayRequest,
    RequestInProgress,
    ResponseDiscarded,
    UnknownOutcome,
)
from shallotspindle_limits.records import (
    NotHolder,
    PartitionState,
    ShareState,
    TokenDenial,
    TokenGrant,
    TokenRequest,
)
from shallotspindle_membership.heartbeats import Heartbeat, StateSummary
from shallotspindle_ownership.messages import (
    HandedOverPartition,
    Handover,
    HandoverOffer,
    HandoverReceived,
    OfferAccepted,
    OfferDeclined,
    OwnershipChangeNotice,
    TableRequest,
    TableResponse,
)
from shallotspindle_wire import envelopes
from shallotspindle_wire.codec import Codec
from shallotspindle_wire.envelopes import Ask, Gossip, Introduction, Reply, Tell

MESSAGES = [
    (
        Introduction(
            sender=Instance(
                incarnation=Incarnation("text-1"),
                address="text-2",
                domain=FailureDomain("text-3"),
            ),
            receiver=Incarnation("text-4"),
        ),
        [1, "introduction", ["text-1", "text-2", "text-3"], "text-4"],
    ),
    (Ask(number=1, body=b"data-2"), [1, "ask", 1, b"data-2"]),
    (Reply(number=1, body=b"data-2"), [1, "reply", 1, b"data-2"]),
    (Tell(body=b"data-1"), [1, "tell", b"data-1"]),
    (Gossip(body=b"data-1", remaining_hops=2), [1, "push", b"data-1", 2]),
    (
        Heartbeat(
            sequence_number=1,
            acked_number=2,
            held_milliseconds=3,
            summary=StateSummary(
                bundle_version=4,
                table_version=5,
                withdrawals=b"data-6",
                suspicions=b"data-7",
            ),
            is_neighbour=True,
            store_age_steps=8,
            domain_ages=(
                (
                    9,
                    10,
                ),
            ),
        ),
        [1, "heartbeat", 1, 2, 3, [4, 5, b"data-6", b"data-7"], True, 8, [[9, 10]]],
    ),
    (
        PartitionState(
            shares=(
                ShareState(
                    team=TeamName("text-1"),
                    index=2,
                    tokens=3.5,
                    rate=4.5,
                    burst=5.5,
                    outstanding=6,
                ),
            )
        ),
        [1, "partitionstate", [["text-1", 2, 3.5, 4.5, 5.5, 6]]],
    ),
    (
        ManifestNotice(manifest=b"data-1", delta=b"data-2"),
        [1, "manifestpushed", b"data-1", b"data-2"],
    ),
    (
        WithdrawalsNotice(
            withdrawals=(
                Withdrawal(
                    digest=b"data-1",
                    person="text-2",
                    reason="text-3",
                    time="text-4",
                    signature=b"data-5",
                ),
            )
        ),
        [
            1,
            "withdrawalspushed",
            [[b"data-1", "text-2", "text-3", "text-4", b"data-5"]],
        ],
    ),
    (ManifestRequest(), [1, "manifestpulled"]),
    (ManifestResponse(manifest=b"data-1"), [1, "manifesttold", b"data-1"]),
    (DeltasRequest(version=1), [1, "deltaspulled", 1]),
    (DeltasResponse(deltas=(b"data-1",)), [1, "deltastold", [b"data-1"]]),
    (ChunkRequest(digest="text-1"), [1, "chunkpulled", "text-1"]),
    (ChunkResponse(data=b"data-1"), [1, "chunktold", b"data-1"]),
    (WithdrawalsRequest(), [1, "withdrawalspulled"]),
    (
        Withdrawal(
            digest=b"data-1",
            person="text-2",
            reason="text-3",
            time="text-4",
            signature=b"data-5",
        ),
        [1, "withdrawal", b"data-1", "text-2", "text-3", "text-4", b"data-5"],
    ),
    (
        TokenRequest(team=TeamName("text-1"), index=2, demand=3.5),
        [1, "acquire", "text-1", 2, 3.5],
    ),
    (TokenGrant(prefetched=1), [1, "granted", 1]),
    (TokenDenial(min_wait_seconds=1.5, retry_after=2.5), [1, "denied", 1.5, 2.5]),
    (NotHolder(), [1, "notacting"]),
    (
        ClaimRequest(
            partition=1, key_digest=b"data-2", request_digest=b"data-3", attempt_id=4
        ),
        [1, "claim", 1, b"data-2", b"data-3", 4],
    ),
    (ClaimGrant(), [1, "claimed"]),
    (
        AlreadyClaimed(
            incarnation="text-1",
            address="text-2",
            domain="text-3",
            attempt_id=4,
            is_completed=True,
        ),
        [1, "present", "text-1", "text-2", "text-3", 4, True],
    ),
    (DifferentBody(), [1, "differentbody"]),
    (Quarantined(), [1, "quarantined"]),
    (HolderUnavailable(), [1, "notentitled"]),
    (
        OutcomeReport(
            partition=1, key_digest=b"data-2", attempt_id=3, is_completed=True
        ),
        [1, "outcome", 1, b"data-2", 3, True],
    ),
    (
        AbandonReport(partition=1, key_digest=b"data-2", attempt_id=3),
        [1, "abandon", 1, b"data-2", 3],
    ),
    (ReplayRequest(key_digest=b"data-1", attempt_id=2), [1, "replay", b"data-1", 2]),
    (
        RecordedResponse(
            status=1,
            headers=(
                (
                    "text-2",
                    "text-3",
                ),
            ),
            body=b"data-4",
        ),
        [1, "answer", 1, [["text-2", "text-3"]], b"data-4"],
    ),
    (RequestInProgress(), [1, "running"]),
    (ResponseDiscarded(), [1, "dropped"]),
    (UnknownOutcome(), [1, "unknown"]),
    (ReportAcknowledged(), [1, "done"]),
    (
        HandoverOffer(
            partitions=(
                (
                    1,
                    2,
                ),
            )
        ),
        [1, "offer", [[1, 2]]],
    ),
    (OfferAccepted(accepted_at=1.5), [1, "ready", 1.5]),
    (OfferDeclined(), [1, "declined"]),
    (
        Handover(
            offer_accepted_at=1.5,
            remaining_seconds=2.5,
            is_recorded=True,
            partitions=(
                HandedOverPartition(
                    partition=3,
                    epoch=4,
                    states=(
                        (
                            "text-5",
                            b"data-6",
                        ),
                    ),
                ),
            ),
        ),
        [1, "handover", 1.5, 2.5, True, [[3, 4, [["text-5", b"data-6"]]]]],
    ),
    (HandoverReceived(partitions=(1,)), [1, "accepted", [1]]),
    (
        OwnershipChangeNotice(
            entries=(
                (
                    1,
                    Incarnation("text-2"),
                    3,
                ),
            )
        ),
        [1, "moved", [[1, "text-2", 3]]],
    ),
    (TableRequest(), [1, "tableasked"]),
    (TableResponse(revision=1, data=b"data-2"), [1, "tabletold", 1, b"data-2"]),
    (
        SuspicionReport(
            reporter="text-1",
            domain="text-2",
            sequence=3,
            suspects_itself=True,
            suspicions=(
                Suspicion(
                    service="text-4",
                    upstream="text-5",
                    score=6.5,
                    is_ejected=True,
                    reason="text-7",
                ),
            ),
        ),
        [
            1,
            "suspicionreport",
            "text-1",
            "text-2",
            3,
            True,
            [["text-4", "text-5", 6.5, True, "text-7"]],
        ],
    ),
    (
        CrashNotice(fingerprint=1, upstreams=("text-2",), age_seconds=3.5),
        [1, "crashnotice", 1, ["text-2"], 3.5],
    ),
]


class TestWireForm:
    # Guards against messages that another build cannot decode: during an upgrade two
    # builds run side by side, and a changed kind, field or field order breaks them.

    @pytest.mark.parametrize(("message", "values"), MESSAGES)
    def test_kind_and_field_order_are_kept(self, message, values):
        assert msgpack.unpackb(Codec([type(message)]).encode(message)) == values

    @pytest.mark.parametrize(("message", "values"), MESSAGES)
    def test_bytes_of_an_earlier_build_are_decoded(self, message, values):
        decoded = Codec([type(message)]).decode(msgpack.packb(values))

        assert decoded.ok == message

    def test_every_message_type_of_the_daemon_is_covered(self):
        covered = {type(message) for message, _ in MESSAGES}

        assert covered >= {
            *coordination.MESSAGE_TYPES,
            *envelopes.ENVELOPE_TYPES,
            Heartbeat,
        }
