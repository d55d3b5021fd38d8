"""The partitions that one instance acts for.

An instance acts only for a table entry that it expects: one that it wrote itself, or
one that was offered to it, since its session last lapsed. Any other entry that names
it could be taken over by an observer at the same moment and is written anew.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType

from shallotspindle_core.identifiers import Incarnation
from shallotspindle_ownership import sessions
from shallotspindle_ownership import table as tables
from shallotspindle_ownership.messages import HandOver
from shallotspindle_ownership.sessions import Phase, Session
from shallotspindle_ownership.table import Entry, Table

# Longest wait for the state of a partition that the table already gives.
STATE_WAIT_SECONDS = 10.0
# An offer that the table does not show by then is forgotten; should the table show it
# later, this instance writes the entry anew.
OFFER_SECONDS = 60.0
EMPTY: Mapping = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Holding:
    """Right on one partition.

    :param limit: boot-time at which a right that the table does not show yet lapses.
    """

    epoch: int
    limit: float | None = None


@dataclass(frozen=True, slots=True)
class Holdings:
    """All rights of one instance.

    :param held: rights by partition.
    :param expected: epoch by partition that this instance may act for when the table
        names it, and until when it waits for the state; None when the state is lost.
    :param floors: lowest epoch by partition that this instance may still gain.
    """

    me: Incarnation
    session: Session = field(default_factory=Session)
    held: Mapping[int, Holding] = field(default_factory=lambda: EMPTY)
    expected: Mapping[int, tuple[int, float | None]] = field(
        default_factory=lambda: EMPTY
    )
    floors: Mapping[int, int] = field(default_factory=lambda: EMPTY)


@dataclass(frozen=True, slots=True)
class Gained:
    """This instance acts for a partition from now on."""

    partition: int
    epoch: int
    taken_over: bool
    states: tuple[tuple[str, bytes], ...] = ()


@dataclass(frozen=True, slots=True)
class Lost:
    """This instance no longer acts for a partition."""

    partition: int


Effect = Gained | Lost


def may_act(rights: Holdings, partition: int, now: float) -> bool:
    """Return whether the instance acts for a partition at this moment."""
    holding = rights.held.get(partition)
    if holding is None:
        return False
    if holding.limit is not None and now >= holding.limit:
        return False
    return sessions.find_phase(rights.session, now) is not Phase.LAPSED


def expire(rights: Holdings, now: float) -> tuple[Holdings, list[Effect]]:
    """Forget rights that have lapsed; a lapsed session keeps none."""
    if sessions.find_phase(rights.session, now) is Phase.LAPSED:
        gone = list(rights.held)
        dropped = release(rights, gone)
        return replace(dropped, expected=EMPTY), [Lost(n) for n in gone]
    gone = [n for n in rights.held if not may_act(rights, n, now)]
    return release(rights, gone), [Lost(n) for n in gone]


def renew(
    rights: Holdings, counter: int, sent: float, now: float
) -> tuple[Holdings, list[Effect]]:
    """Count a renewal that took effect, after dropping what had lapsed before."""
    current, effects = expire(rights, now)
    session = sessions.acknowledge(current.session, counter, sent, now)
    return replace(current, session=session), effects


def release(rights: Holdings, partitions: Iterable[int]) -> Holdings:
    """Stop acting for partitions, whatever happens afterwards."""
    held, floors = dict(rights.held), dict(rights.floors)
    for number in partitions:
        holding = held.pop(number, None)
        if holding is not None:
            floors[number] = max(floors.get(number, 0), holding.epoch + 1)
    return replace(rights, held=held, floors=floors)


def expect_written(rights: Holdings, changes: Mapping[int, Entry]) -> Holdings:
    """Expect entries that this instance is about to write for itself."""
    mine = {n: (e.epoch, None) for n, e in changes.items() if e.holder == rights.me}
    return replace(rights, expected={**rights.expected, **mine})


def expect_offered(
    rights: Holdings, offered: Iterable[tuple[int, int]], now: float
) -> tuple[Holdings, bool]:
    """Expect entries that a holder offers.

    :returns: the rights and whether the offer is accepted.
    """
    lapsed = sessions.find_phase(rights.session, now) is Phase.LAPSED
    if lapsed or not sessions.may_renew(rights.session):
        return rights, False
    news = {n: (epoch, now + STATE_WAIT_SECONDS) for n, epoch in offered}
    return replace(rights, expected={**rights.expected, **news}), True


def see_table(
    rights: Holdings, table: Table, now: float
) -> tuple[Holdings, list[Effect]]:
    """Compare the rights with a table that was read or written."""
    rights, effects = expire(rights, now)
    if sessions.find_phase(rights.session, now) is Phase.LAPSED:
        return rights, effects
    held = dict(rights.held)
    for number, holding in rights.held.items():
        entry = table.entries.get(number)
        if entry is None or entry.epoch < holding.epoch:
            continue
        if entry == Entry(rights.me, holding.epoch):
            held[number] = Holding(holding.epoch)
        else:
            del held[number]
            effects.append(Lost(number))
    rights = replace(rights, held=held)
    return _gain_expected(rights, table, now, effects)


def _gain_expected(
    rights: Holdings, table: Table, now: float, effects: list[Effect]
) -> tuple[Holdings, list[Effect]]:
    held, expected = dict(rights.held), dict(rights.expected)
    for number, (epoch, wait) in rights.expected.items():
        if table.entries.get(number) != Entry(rights.me, epoch):
            stale = wait is not None and now >= wait + OFFER_SECONDS
            if stale or tables.find_epoch(table, number) >= epoch:
                del expected[number]
            continue
        if wait is not None and now < wait:
            continue
        del expected[number]
        if epoch >= rights.floors.get(number, 0) and number not in held:
            held[number] = Holding(epoch)
            # Epoch 1 follows no other holder, so that no state is lost.
            effects.append(Gained(number, epoch, epoch > 1))
    return replace(rights, held=held, expected=expected), effects


def receive(
    rights: Holdings, message: HandOver, table: Table, now: float
) -> tuple[Holdings, list[Effect], tuple[int, ...]]:
    """Take partitions from their holder.

    A recorded hand-over counts when the table is known to name this instance; until
    then the caller keeps the message and reads the table.

    :returns: rights, effects and the partitions taken.
    """
    rights, effects = expire(rights, now)
    limit = message.at + message.remaining
    if sessions.find_phase(rights.session, now) is Phase.LAPSED or now >= limit:
        return rights, effects, ()
    held, expected, taken = dict(rights.held), dict(rights.expected), []
    for part in message.parts:
        if expected.get(part.partition, (0, None))[0] != part.epoch:
            continue
        if part.epoch < rights.floors.get(part.partition, 0):
            continue
        entry = table.entries.get(part.partition)
        recorded = entry == Entry(rights.me, part.epoch)
        if message.recorded and not recorded:
            continue
        if entry is not None and entry.epoch >= part.epoch and not recorded:
            continue
        del expected[part.partition]
        held[part.partition] = Holding(part.epoch, None if recorded else limit)
        effects.append(Gained(part.partition, part.epoch, False, part.states))
        taken.append(part.partition)
    return replace(rights, held=held, expected=expected), effects, tuple(taken)


def list_unrecorded(rights: Holdings) -> dict[int, Entry]:
    """Return the entries that the table lacks of what this instance holds."""
    return {
        n: Entry(rights.me, holding.epoch)
        for n, holding in rights.held.items()
        if holding.limit is not None
    }


def list_reclaimable(rights: Holdings, table: Table) -> list[int]:
    """Return the entries that name this instance although it does not expect them.

    An instance that gave partitions away without the store takes none back.
    """
    if not sessions.may_renew(rights.session):
        return []
    return [
        n
        for n in tables.list_held(table, rights.me)
        if n not in rights.held
        and rights.expected.get(n, (0, None))[0] != table.entries[n].epoch
    ]


def hand_over_alone(
    rights: Holdings, partitions: Iterable[int], now: float
) -> tuple[Holdings, dict[int, int], float] | None:
    """Give partitions away without the store.

    :returns: rights, the new epoch by partition and the seconds that the right still
        lasts; None outside phase 2, where only the table may name a successor.
    """
    if sessions.find_phase(rights.session, now) is not Phase.ALONE:
        return None
    chosen = [n for n in partitions if may_act(rights, n, now)]
    epochs = {n: rights.held[n].epoch + 1 for n in chosen}
    limits = [rights.held[n].limit for n in chosen]
    bound = min([limit - now for limit in limits if limit is not None], default=None)
    remaining = sessions.measure_remaining(rights.session, now)
    remaining = remaining if bound is None else min(remaining, bound)
    released = replace(release(rights, chosen), session=sessions.end(rights.session))
    return released, epochs, remaining
