"""Handover of partitions to a consenting successor, with or without the store."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import replace

from absl import logging

from shallotspindle_core.identifiers import Incarnation, Instance
from shallotspindle_entry.interfaces import PeerUnreachable
from shallotspindle_entry.ownership_access import OwnershipAccess, ReleasedPartitions
from shallotspindle_ownership import placement
from shallotspindle_ownership import table as tables
from shallotspindle_ownership.messages import Handover, HandoverOffer, OfferAccepted
from shallotspindle_ownership.sessions import Phase
from shallotspindle_ownership.table import OwnershipEntry, WriteResult

RESPONSE_TIMEOUT_SECONDS = 1.0
MAX_MESSAGE_ATTEMPTS = 3
# Partitions have no holder while their batch is handed over. A batch of 341 took more
# than a second.
MAX_BATCH_PARTITIONS = 16
MAX_WRITE_ATTEMPTS = 10
RETRY_PAUSE_SECONDS = 0.5
# When the whole fleet stops, the last instances find no successor.
NO_SUCCESSOR_TIMEOUT_SECONDS = 3.0


def group_by_successor(
    successors: Mapping[int, Incarnation],
) -> dict[Incarnation, tuple[int, ...]]:
    """Return the partitions of each successor."""
    groups: dict[Incarnation, list[int]] = defaultdict(list)
    for partition, successor in successors.items():
        groups[successor].append(partition)
    return {name: tuple(partitions) for name, partitions in groups.items()}


async def hand_over_all(task: OwnershipAccess, deadline: float) -> int:
    """Hand over all partitions before a graceful shutdown.

    :param deadline: boot-time in seconds after which the remaining partitions are
        given up.
    :returns: number of partitions that were given up without a successor.
    """
    refusing_peers: set[Incarnation] = set()
    given_up_count = 0
    last_successor_at = task.clock.boottime()
    while task.state.held and task.clock.boottime() < deadline:
        if task.find_phase() is Phase.EXPIRED:
            break
        available = {
            peer.incarnation for peer in task.peers.list_peers()
        } - refusing_peers
        loads = tables.count_partitions_by_holder(task.table)
        successors = placement.choose_holders(
            sorted(task.state.held), sorted(available), loads
        )
        for successor, partitions in group_by_successor(successors).items():
            batch_given_up_count = await hand_over_in_batches(
                task, successor, partitions
            )
            if batch_given_up_count is None:
                refusing_peers.add(successor)
            given_up_count += batch_given_up_count or 0
        if task.state.held:
            await task.sleep(RETRY_PAUSE_SECONDS)
        now = task.clock.boottime()
        if available:
            last_successor_at = now
        elif now >= last_successor_at + NO_SUCCESSOR_TIMEOUT_SECONDS:
            break
        else:
            refusing_peers.clear()
    return given_up_count + len(task.state.held)


async def hand_over_in_batches(
    task: OwnershipAccess, successor: Incarnation, partitions: tuple[int, ...]
) -> int | None:
    """Hand partitions over in small batches; see ``hand_over`` for the result."""
    given_up_count = 0
    for batch in split_batches(partitions):
        batch_given_up_count = await hand_over(task, successor, batch)
        if batch_given_up_count is None:
            return None
        given_up_count += batch_given_up_count
    return given_up_count


def split_batches(partitions: tuple[int, ...]) -> list[tuple[int, ...]]:
    """Split partitions into batches that are without a holder only for a short time."""
    return [
        partitions[n : n + MAX_BATCH_PARTITIONS]
        for n in range(0, len(partitions), MAX_BATCH_PARTITIONS)
    ]


async def hand_over(
    task: OwnershipAccess, successor: Incarnation, partitions: tuple[int, ...]
) -> int | None:
    """Hand partitions over to one successor.

    :returns: number of partitions given up without a successor; None if the successor
        declined, in which case this instance keeps all of them.
    """
    peer = task.find_instance(successor)
    held = task.state.held
    epochs = tuple((n, held[n].epoch + 1) for n in partitions if n in held)
    if peer is None or not epochs:
        return None
    without_store = task.find_phase() is Phase.DISCONNECTED
    if not without_store and await task.read_table() is None:
        # The connected period allows a handover through the store only, and the store
        # does not respond; the caller tries again later.
        return 0
    response = await task.peers.request(
        peer, HandoverOffer(epochs), RESPONSE_TIMEOUT_SECONDS
    )
    if not isinstance(response, OfferAccepted):
        return None
    numbers = tuple(n for n, _ in epochs)
    released = await task.release(numbers, without_store)
    if released is None or not released.partitions:
        return 0
    if not without_store:
        released = await _record_successor(task, successor, released)
    await _send_handovers(task, peer, response.accepted_at, released, not without_store)
    return len(numbers) - len(released.partitions)


async def _record_successor(
    task: OwnershipAccess, successor: Incarnation, released: ReleasedPartitions
) -> ReleasedPartitions:
    """Record the successor in the table and return the partitions recorded for it.

    Only entries below the offered epoch, which still name this instance, are changed.
    After an undecided write nothing is sent: the successor reads the table and acts if
    the write took effect.
    """
    for _ in range(MAX_WRITE_ATTEMPTS):
        base = await task.read_table()
        if base is not None:
            unchanged = [
                part
                for part in released.partitions
                if tables.find_epoch(base, part.partition) < part.epoch
            ]
            changes = {
                p.partition: OwnershipEntry(successor, p.epoch) for p in unchanged
            }
            released = replace(released, partitions=tuple(unchanged))
            result = await task.write_table(base, changes)
            if result is WriteResult.APPLIED:
                return released
            if result is WriteResult.UNDECIDED:
                break
        await task.sleep(RETRY_PAUSE_SECONDS * task.random.random())
    logging.warning(
        "the table does not show the successor of %d released partitions",
        len(released.partitions),
    )
    return replace(released, partitions=())


async def _send_handovers(
    task: OwnershipAccess,
    peer: Instance,
    offer_accepted_at: float,
    released: ReleasedPartitions,
    is_recorded: bool,
) -> None:
    """Send one message per partition, since the states may be large.

    Sending a message again is harmless, since the successor accepts a partition once.
    """
    for part in released.partitions:
        message = Handover(
            offer_accepted_at, released.remaining_seconds, is_recorded, (part,)
        )
        for _ in range(MAX_MESSAGE_ATTEMPTS):
            response = await task.peers.request(peer, message, RESPONSE_TIMEOUT_SECONDS)
            if not isinstance(response, PeerUnreachable):
                break
        else:
            logging.warning(
                "the state of partition %d did not reach its successor", part.partition
            )
