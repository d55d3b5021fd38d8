"""Hand-over of partitions by consent, through the store or without it."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import replace

from absl import logging

from shallotspindle_core.identifiers import Incarnation, Instance
from shallotspindle_entry.interfaces import PeerUnreachable
from shallotspindle_entry.ownership_access import OwnershipAccess, Released
from shallotspindle_ownership import placement
from shallotspindle_ownership import table as tables
from shallotspindle_ownership.messages import Handover, HandoverOffer, OfferAccepted
from shallotspindle_ownership.sessions import Phase
from shallotspindle_ownership.table import OwnershipEntry, WriteResult

REPLY_SECONDS = 1.0
MESSAGE_TRIES = 3
# 341 partitions in one group had no holder for more than a second.
GROUP_PARTITIONS = 16
WRITE_TRIES = 10
PAUSE_SECONDS = 0.5
# The last instances of a fleet that stops as a whole find nobody to hand over to.
NO_SUCCESSOR_SECONDS = 3.0


def group(
    placed: Mapping[int, Incarnation],
) -> dict[Incarnation, tuple[int, ...]]:
    """Return the partitions of each successor."""
    groups: dict[Incarnation, list[int]] = defaultdict(list)
    for partition, successor in placed.items():
        groups[successor].append(partition)
    return {name: tuple(found) for name, found in groups.items()}


async def hand_over_all(task: OwnershipAccess, deadline: float) -> int:
    """Hand over all partitions until a deadline; see ``OwnershipTask``."""
    refused: set[Incarnation] = set()
    given_up = 0
    had_successor = task.clock.boottime()
    while task.rights.held and task.clock.boottime() < deadline:
        if task.find_phase() is Phase.EXPIRED:
            break
        peers = {peer.incarnation for peer in task.link.list_peers()} - refused
        loads = tables.count_partitions_by_holder(task.table)
        placed = placement.choose_holders(
            sorted(task.rights.held), sorted(peers), loads
        )
        for successor, partitions in group(placed).items():
            lost = await hand_over_groups(task, successor, partitions)
            if lost is None:
                refused.add(successor)
            given_up += lost or 0
        if task.rights.held:
            await task.sleep(PAUSE_SECONDS)
        now = task.clock.boottime()
        if peers:
            had_successor = now
        elif now >= had_successor + NO_SUCCESSOR_SECONDS:
            break
        else:
            refused.clear()
    return given_up + len(task.rights.held)


async def hand_over_groups(
    task: OwnershipAccess, successor: Incarnation, partitions: tuple[int, ...]
) -> int | None:
    """Hand partitions over in small groups; see ``hand_over``."""
    given_up = 0
    for batch in split_groups(partitions):
        lost = await hand_over(task, successor, batch)
        if lost is None:
            return None
        given_up += lost
    return given_up


def split_groups(partitions: tuple[int, ...]) -> list[tuple[int, ...]]:
    """Cut partitions into groups that are without a holder for a short time only."""
    return [
        partitions[n : n + GROUP_PARTITIONS]
        for n in range(0, len(partitions), GROUP_PARTITIONS)
    ]


async def hand_over(
    task: OwnershipAccess, successor: Incarnation, partitions: tuple[int, ...]
) -> int | None:
    """Hand partitions over to one successor.

    :returns: how many were given up without a successor; None if the successor did
        not agree, in which case this instance still acts for all.
    """
    peer = task.find_instance(successor)
    held = task.rights.held
    epochs = tuple((n, held[n].epoch + 1) for n in partitions if n in held)
    if peer is None or not epochs:
        return None
    alone = task.find_phase() is Phase.DISCONNECTED
    if not alone and await task.read_table() is None:
        # The store is away in the quiet period; the caller tries again later.
        return 0
    reply = await task.link.request(peer, HandoverOffer(epochs), REPLY_SECONDS)
    if not isinstance(reply, OfferAccepted):
        return None
    numbers = tuple(n for n, _ in epochs)
    released = await task.release(numbers, alone)
    if released is None or not released.parts:
        return 0
    if not alone:
        released = await _record(task, successor, released)
    await _send(task, peer, reply.accepted_at, released, not alone)
    return len(numbers) - len(released.parts)


async def _record(
    task: OwnershipAccess, successor: Incarnation, released: Released
) -> Released:
    """Name the successor in the table; returns what the table names it for.

    Only entries that still name this instance change, each to the offered epoch. An
    undecided write is left to the table: the successor acts if it took effect.
    """
    for _ in range(WRITE_TRIES):
        base = await task.read_table()
        if base is not None:
            kept = [
                part
                for part in released.parts
                if tables.find_epoch(base, part.partition) < part.epoch
            ]
            changes = {p.partition: OwnershipEntry(successor, p.epoch) for p in kept}
            released = replace(released, parts=tuple(kept))
            verdict = await task.write_table(base, changes)
            if verdict is WriteResult.APPLIED:
                return released
            if verdict is WriteResult.UNDECIDED:
                break
        await task.sleep(PAUSE_SECONDS * task.source.random())
    logging.warning("%d partitions were not recorded", len(released.parts))
    return replace(released, parts=())


async def _send(
    task: OwnershipAccess,
    peer: Instance,
    at: float,
    released: Released,
    recorded: bool,
) -> None:
    """Send one message a partition, as the states may be large.

    Sending again is harmless, since a successor takes a partition once.
    """
    for part in released.parts:
        message = Handover(at, released.remaining, recorded, (part,))
        for _ in range(MESSAGE_TRIES):
            reply = await task.link.request(peer, message, REPLY_SECONDS)
            if not isinstance(reply, PeerUnreachable):
                break
        else:
            logging.warning("the state of partition %d was lost", part.partition)
