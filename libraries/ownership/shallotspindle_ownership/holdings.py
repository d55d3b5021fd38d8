"""The partitions that one instance holds and may act for.

An instance acts only for a table entry that it expects: one that it wrote itself, or
one that was offered to it, since its session last expired. It writes any other entry
that names it again at a higher epoch, because an observer could take that entry over
at the same moment.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType

from shallotspindle_core.identifiers import Incarnation
from shallotspindle_ownership import sessions
from shallotspindle_ownership import table as tables
from shallotspindle_ownership.messages import Handover
from shallotspindle_ownership.sessions import Phase, Session
from shallotspindle_ownership.table import OwnershipEntry, OwnershipTable

# Maximum wait for the state of a partition that the table already assigns to this
# instance.
STATE_WAIT_SECONDS = 10.0
# If the table does not show an accepted offer for this time after the wait for the
# state, the offer is dropped. Should the table show it later, this instance writes the
# entry again at a higher epoch.
OFFER_TTL_SECONDS = 60.0
EMPTY_MAPPING: Mapping = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Holding:
    """Ownership of one partition by this instance.

    :param expires_at: boot time in seconds at which ownership that the table does not
        show yet expires; None once the table shows it.
    """

    epoch: int
    expires_at: float | None = None


@dataclass(frozen=True, slots=True)
class OwnershipState:
    """Session and holdings of one instance.

    :param held: holdings by partition.
    :param expected: for each partition, the epoch at which this instance may act when
        the table names it, and the boot time until which it waits for the state of
        the partition; None when no state is going to arrive.
    :param min_epochs: lowest epoch by partition that this instance may still gain.
    """

    incarnation: Incarnation
    session: Session = field(default_factory=Session)
    held: Mapping[int, Holding] = field(default_factory=lambda: EMPTY_MAPPING)
    expected: Mapping[int, tuple[int, float | None]] = field(
        default_factory=lambda: EMPTY_MAPPING
    )
    min_epochs: Mapping[int, int] = field(default_factory=lambda: EMPTY_MAPPING)


@dataclass(frozen=True, slots=True)
class Gained:
    """This instance acts for a partition from now on.

    :param is_takeover: whether a former holder may have had state that did not arrive.
    :param states: pairs of task name and handed over state.
    """

    partition: int
    epoch: int
    is_takeover: bool
    states: tuple[tuple[str, bytes], ...] = ()


@dataclass(frozen=True, slots=True)
class Lost:
    """This instance no longer acts for a partition."""

    partition: int


OwnershipEvent = Gained | Lost


def may_act(state: OwnershipState, partition: int, now: float) -> bool:
    """Return whether the instance may act for a partition at this moment."""
    holding = state.held.get(partition)
    if holding is None:
        return False
    if holding.expires_at is not None and now >= holding.expires_at:
        return False
    return sessions.find_phase(state.session, now) is not Phase.EXPIRED


def drop_expired(
    state: OwnershipState, now: float
) -> tuple[OwnershipState, list[OwnershipEvent]]:
    """Drop expired holdings; an expired session drops all holdings and offers."""
    if sessions.find_phase(state.session, now) is Phase.EXPIRED:
        expired = list(state.held)
        released = release(state, expired)
        return replace(released, expected=EMPTY_MAPPING), [
            Lost(partition) for partition in expired
        ]
    expired = [
        partition for partition in state.held if not may_act(state, partition, now)
    ]
    return release(state, expired), [Lost(partition) for partition in expired]


def record_renewal(
    state: OwnershipState, counter: int, sent_at: float, now: float
) -> tuple[OwnershipState, list[OwnershipEvent]]:
    """Record a renewal that took effect, after dropping what expired before it."""
    current, events = drop_expired(state, now)
    session = sessions.acknowledge_renewal(current.session, counter, sent_at, now)
    return replace(current, session=session), events


def release(state: OwnershipState, partitions: Iterable[int]) -> OwnershipState:
    """Stop acting for partitions; their epochs cannot be gained again."""
    held, min_epochs = dict(state.held), dict(state.min_epochs)
    for partition in partitions:
        holding = held.pop(partition, None)
        if holding is not None:
            min_epochs[partition] = max(min_epochs.get(partition, 0), holding.epoch + 1)
    return replace(state, held=held, min_epochs=min_epochs)


def expect_own_entries(
    state: OwnershipState, changes: Mapping[int, OwnershipEntry]
) -> OwnershipState:
    """Expect the entries that this instance is about to write for itself."""
    own = {
        partition: (entry.epoch, None)
        for partition, entry in changes.items()
        if entry.holder == state.incarnation
    }
    return replace(state, expected={**state.expected, **own})


def expect_offered(
    state: OwnershipState, offered: Iterable[tuple[int, int]], now: float
) -> tuple[OwnershipState, bool]:
    """Expect the entries that a holder offers.

    :param offered: pairs of partition and its epoch after the handover.
    :returns: the new state and whether the offer is accepted.
    """
    is_expired = sessions.find_phase(state.session, now) is Phase.EXPIRED
    if is_expired or not sessions.may_renew(state.session):
        return state, False
    accepted = {
        partition: (epoch, now + STATE_WAIT_SECONDS) for partition, epoch in offered
    }
    return replace(state, expected={**state.expected, **accepted}), True


def apply_table(
    state: OwnershipState, table: OwnershipTable, now: float
) -> tuple[OwnershipState, list[OwnershipEvent]]:
    """Update the holdings from a table that was read or written."""
    state, events = drop_expired(state, now)
    if sessions.find_phase(state.session, now) is Phase.EXPIRED:
        return state, events
    held = dict(state.held)
    for partition, holding in state.held.items():
        entry = table.entries.get(partition)
        if entry is None or entry.epoch < holding.epoch:
            continue
        if entry == OwnershipEntry(state.incarnation, holding.epoch):
            held[partition] = Holding(holding.epoch)
        else:
            del held[partition]
            events.append(Lost(partition))
    state = replace(state, held=held)
    return _gain_expected(state, table, now, events)


def _gain_expected(
    state: OwnershipState,
    table: OwnershipTable,
    now: float,
    events: list[OwnershipEvent],
) -> tuple[OwnershipState, list[OwnershipEvent]]:
    held, expected = dict(state.held), dict(state.expected)
    for partition, (epoch, wait_until) in state.expected.items():
        if table.entries.get(partition) != OwnershipEntry(state.incarnation, epoch):
            is_stale = wait_until is not None and now >= wait_until + OFFER_TTL_SECONDS
            if is_stale or tables.find_epoch(table, partition) >= epoch:
                del expected[partition]
            continue
        if wait_until is not None and now < wait_until:
            continue
        del expected[partition]
        if epoch >= state.min_epochs.get(partition, 0) and partition not in held:
            held[partition] = Holding(epoch)
            # At epoch 1 there was no former holder, so no state can be missing.
            events.append(Gained(partition, epoch, epoch > 1))
    return replace(state, held=held, expected=expected), events


def receive_handover(
    state: OwnershipState, message: Handover, table: OwnershipTable, now: float
) -> tuple[OwnershipState, list[OwnershipEvent], tuple[int, ...]]:
    """Take over partitions from their holder.

    A recorded handover counts only when the table is known to name this instance.
    Until then the caller keeps the message and reads the table.

    :returns: the new state, the events and the partitions gained.
    """
    state, events = drop_expired(state, now)
    expires_at = message.offer_accepted_at + message.remaining_seconds
    if sessions.find_phase(state.session, now) is Phase.EXPIRED or now >= expires_at:
        return state, events, ()
    held, expected, gained = dict(state.held), dict(state.expected), []
    for item in message.partitions:
        if expected.get(item.partition, (0, None))[0] != item.epoch:
            continue
        if item.epoch < state.min_epochs.get(item.partition, 0):
            continue
        entry = table.entries.get(item.partition)
        is_recorded = entry == OwnershipEntry(state.incarnation, item.epoch)
        if message.is_recorded and not is_recorded:
            continue
        if entry is not None and entry.epoch >= item.epoch and not is_recorded:
            continue
        del expected[item.partition]
        held[item.partition] = Holding(item.epoch, None if is_recorded else expires_at)
        events.append(Gained(item.partition, item.epoch, False, item.states))
        gained.append(item.partition)
    return replace(state, held=held, expected=expected), events, tuple(gained)


def list_unrecorded_entries(state: OwnershipState) -> dict[int, OwnershipEntry]:
    """Return the entries of this instance's holdings that the table does not show."""
    return {
        partition: OwnershipEntry(state.incarnation, holding.epoch)
        for partition, holding in state.held.items()
        if holding.expires_at is not None
    }


def list_reclaimable_partitions(
    state: OwnershipState, table: OwnershipTable
) -> list[int]:
    """Return the partitions whose entries name this instance unexpectedly.

    An instance that handed over partitions without the store reclaims none.
    """
    if not sessions.may_renew(state.session):
        return []
    return [
        partition
        for partition in tables.list_held_partitions(table, state.incarnation)
        if partition not in state.held
        and state.expected.get(partition, (0, None))[0]
        != table.entries[partition].epoch
    ]


def hand_over_without_store(
    state: OwnershipState, partitions: Iterable[int], now: float
) -> tuple[OwnershipState, dict[int, int], float] | None:
    """Release partitions to a successor without the store.

    :returns: the new state, the new epoch by partition, and the seconds for which the
        ownership still lasts; None outside the disconnected phase, where only the
        table may name a successor.
    """
    if sessions.find_phase(state.session, now) is not Phase.DISCONNECTED:
        return None
    chosen = [partition for partition in partitions if may_act(state, partition, now)]
    epochs = {partition: state.held[partition].epoch + 1 for partition in chosen}
    expiries = [state.held[partition].expires_at for partition in chosen]
    until_first_expiry = min(
        [expires_at - now for expires_at in expiries if expires_at is not None],
        default=None,
    )
    remaining = sessions.compute_remaining_seconds(state.session, now)
    remaining = (
        remaining if until_first_expiry is None else min(remaining, until_first_expiry)
    )
    released = replace(
        release(state, chosen), session=sessions.stop_renewing(state.session)
    )
    return released, epochs, remaining
