"""Simulated fleet in one process that runs the decisions of this library.

It knows the state of all instances and raises when two instances act for the same
partition. The stateful tests and the replay of the model checker's traces drive it
step by step. A step that is not possible returns False and changes nothing.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from shallotspindle_core.identifiers import Incarnation
from shallotspindle_ownership import holdings, proofs, sessions
from shallotspindle_ownership import table as tables
from shallotspindle_ownership.holdings import Gained, OwnershipState
from shallotspindle_ownership.messages import HandedOverPartition, Handover
from shallotspindle_ownership.proofs import Observation
from shallotspindle_ownership.sessions import Phase
from shallotspindle_ownership.table import OwnershipEntry, OwnershipTable


class WriteDelivery(Enum):
    """What happens to a write and its response.

    ``DELAYED``: the write takes effect when ``apply_delayed_write`` is called and is
    never acknowledged.
    """

    ACKNOWLEDGED = "acknowledged"
    RESPONSE_LOST = "response lost"
    DELAYED = "delayed"
    LOST = "lost"


class MutualExclusionError(Exception):
    """Two instances act for one partition, or an epoch was used twice."""


@dataclass(slots=True)
class SimulatedInstance:
    """One instance with its ownership state and the table that it last read.

    :param is_listed: whether the platform lists the instance.
    :param attempts: when each renewal counter was first sent.
    :param observations: what it knows about other instances' sessions.
    :param offers: for each successor, when it accepted the offer and the offered epoch
        by partition.
    """

    state: OwnershipState
    is_alive: bool = True
    is_listed: bool = True
    table: OwnershipTable = field(default_factory=OwnershipTable)
    attempts: dict[int, float] = field(default_factory=dict)
    observations: dict[Incarnation, Observation] = field(default_factory=dict)
    offers: dict[Incarnation, tuple[float, dict[int, int]]] = field(
        default_factory=dict
    )


class SimulatedFleet:
    """Instances, a store, and the messages and writes in flight.

    :param names: the incarnations.
    """

    def __init__(self, names: Iterable[str]) -> None:
        self.now = 0.0
        self.instances = {
            Incarnation(name): SimulatedInstance(OwnershipState(Incarnation(name)))
            for name in names
        }
        self.table = OwnershipTable()
        self.session_counters: dict[Incarnation, int] = {}
        self.is_store_up = True
        self.messages: list[tuple[Incarnation, Handover]] = []
        self.delayed_writes: list[Callable[[], bool]] = []
        self._last_epochs: dict[int, int] = {}

    def advance(self, seconds: float) -> bool:
        self.now += seconds
        self._check_exclusion()
        return True

    def kill(self, name: Incarnation) -> bool:
        self.instances[name].is_alive = False
        return True

    def unlist(self, name: Incarnation) -> bool:
        """Remove an instance that has ended from the platform's list."""
        instance = self.instances[name]
        instance.is_listed = instance.is_listed and instance.is_alive
        return not instance.is_listed

    def list_acting(self, partition: int) -> list[Incarnation]:
        """Return the live instances that may act for a partition."""
        return [
            name
            for name, instance in self.instances.items()
            if instance.is_alive
            and holdings.may_act(instance.state, partition, self.now)
        ]

    def renew(self, name: Incarnation, delivery: WriteDelivery) -> bool:
        """Write the next renewal counter."""
        instance = self.instances[name]
        if not self._can_reach_store(instance) or not sessions.may_renew(
            instance.state.session
        ):
            return False
        base = instance.state.session.counter
        instance.attempts.setdefault(base + 1, self.now)

        def write() -> bool:
            if self.session_counters.get(name, 0) != base:
                return False
            self.session_counters[name] = base + 1
            return True

        if self._send_write(write, delivery):
            self._acknowledge_renewal(instance, base + 1)
        return True

    def read_own_session(self, name: Incarnation) -> bool:
        """Read the instance's own session record back after a lost response."""
        instance = self.instances[name]
        counter = self.session_counters.get(name, 0)
        if (
            not self._can_reach_store(instance)
            or counter <= instance.state.session.counter
        ):
            return False
        self._acknowledge_renewal(instance, counter)
        return True

    def read_table(self, name: Incarnation) -> bool:
        instance = self.instances[name]
        if not self._can_reach_store(instance):
            return False
        instance.table = self.table
        self._apply_update(
            instance, holdings.apply_table(instance.state, instance.table, self.now)
        )
        return True

    def acquire(
        self, name: Incarnation, partitions: Iterable[int], delivery: WriteDelivery
    ) -> bool:
        """Write this instance into free entries and those that it must reclaim."""
        instance = self.instances[name]
        wanted = {
            partition
            for partition in partitions
            if partition not in instance.table.entries
        }
        wanted |= set(
            holdings.list_reclaimable_partitions(instance.state, instance.table)
        )
        return self._write_own_entries(instance, wanted, delivery)

    def record_handovers(self, name: Incarnation, delivery: WriteDelivery) -> bool:
        """Write the entries that were handed over without the store."""
        instance = self.instances[name]
        changes = holdings.list_unrecorded_entries(instance.state)
        newer = {
            partition: entry
            for partition, entry in changes.items()
            if entry.epoch > tables.find_epoch(instance.table, partition)
        }
        return bool(newer) and self._write_table(instance, newer, delivery)

    def observe_session(self, name: Incarnation, holder: Incarnation) -> bool:
        instance = self.instances[name]
        if not self._can_reach_store(instance):
            return False
        counter = self.session_counters.get(holder, 0)
        previous = instance.observations.get(holder)
        instance.observations[holder] = proofs.add_read(
            previous, counter, self.now, self.now
        )
        return True

    def take_over(
        self, name: Incarnation, holder: Incarnation, delivery: WriteDelivery
    ) -> bool:
        """Take over the partitions of a holder that provably no longer acts."""
        instance = self.instances[name]
        observation = instance.observations.get(holder)
        if name == holder or observation is None or not self._can_reach_store(instance):
            return False
        self.read_table(name)
        self.observe_session(name, holder)
        observation = instance.observations[holder]
        is_listed = self.instances[holder].is_listed
        has_terminated = proofs.proves_termination(
            observation, True, is_listed, self.now
        )
        if not has_terminated and not proofs.proves_expiry(observation, self.now):
            return False
        held = set(tables.list_held_partitions(instance.table, holder))
        epoch_step = 1 if has_terminated else tables.EXPIRY_EPOCH_STEP
        return self._write_own_entries(instance, held, delivery, epoch_step)

    def offer(
        self, name: Incarnation, successor: Incarnation, partitions: Iterable[int]
    ) -> bool:
        """Offer partitions to a successor, which responds with its boot time."""
        instance, other = self.instances[name], self.instances[successor]
        if name == successor or not instance.is_alive or not other.is_alive:
            return False
        held = instance.state.held
        epochs = {
            partition: held[partition].epoch + 1
            for partition in partitions
            if partition in held
        }
        offered = tuple(epochs.items())
        state, is_accepted = holdings.expect_offered(other.state, offered, self.now)
        other.state = state
        if is_accepted and epochs:
            instance.offers[successor] = (self.now, epochs)
        return is_accepted and bool(epochs)

    def hand_over(
        self, name: Incarnation, successor: Incarnation, delivery: WriteDelivery
    ) -> bool:
        """Hand over the offered partitions through the store."""
        instance = self.instances[name]
        if successor not in instance.offers or not self._can_reach_store(instance):
            return False
        if sessions.find_phase(instance.state.session, self.now) is not Phase.CONNECTED:
            return False
        accepted_at, offered = instance.offers.pop(successor)
        epochs = {
            partition: epoch
            for partition, epoch in offered.items()
            if holdings.may_act(instance.state, partition, self.now)
            and instance.state.held[partition].epoch + 1 == epoch
        }
        remaining = sessions.compute_remaining_seconds(instance.state.session, self.now)
        instance.state = holdings.release(instance.state, epochs)
        changes = {
            partition: OwnershipEntry(successor, epoch)
            for partition, epoch in epochs.items()
        }
        if self._write_table(instance, changes, delivery):
            self._send_handover(successor, accepted_at, remaining, True, epochs)
        return True

    def hand_over_without_store(
        self, name: Incarnation, successor: Incarnation
    ) -> bool:
        """Hand over the offered partitions without the store."""
        instance = self.instances[name]
        if successor not in instance.offers or not instance.is_alive:
            return False
        accepted_at, offered = instance.offers[successor]
        result = holdings.hand_over_without_store(instance.state, offered, self.now)
        if result is None:
            return False
        del instance.offers[successor]
        instance.state, epochs, remaining = result
        self._send_handover(successor, accepted_at, remaining, False, epochs)
        return True

    def deliver_message(self, index: int) -> bool:
        """Deliver a handover; the receiver of a recorded one reads the table first."""
        successor, message = self.messages.pop(index)
        instance = self.instances[successor]
        if not instance.is_alive:
            return False
        if message.is_recorded and not self.read_table(successor):
            return False
        received = holdings.receive_handover(
            instance.state, message, instance.table, self.now
        )
        self._apply_update(instance, received[:2])
        return bool(received[2])

    def lose_message(self, index: int) -> bool:
        self.messages.pop(index)
        return True

    def apply_delayed_write(self, index: int) -> bool:
        """Let a delayed write reach the store; returns whether it took effect."""
        return self.delayed_writes.pop(index)()

    def _can_reach_store(self, instance: SimulatedInstance) -> bool:
        return instance.is_alive and self.is_store_up

    def _write_own_entries(
        self,
        instance: SimulatedInstance,
        partitions: Iterable[int],
        delivery: WriteDelivery,
        epoch_step: int = 1,
    ) -> bool:
        phase = sessions.find_phase(instance.state.session, self.now)
        wanted = sorted(partitions)
        if phase is not Phase.CONNECTED or not wanted:
            return False
        changes = tables.create_entries(
            instance.table, wanted, instance.state.incarnation, epoch_step
        )
        instance.state = holdings.expect_own_entries(instance.state, changes)
        self._write_table(instance, changes, delivery)
        return True

    def _write_table(
        self,
        instance: SimulatedInstance,
        changes: Mapping[int, OwnershipEntry],
        delivery: WriteDelivery,
    ) -> bool:
        """Compare-and-swap the table; returns whether success was acknowledged."""
        base = instance.table
        if not self._can_reach_store(instance) or not changes:
            return False
        changed = tables.apply_changes(base, changes)

        def write() -> bool:
            if self.table.revision != base.revision:
                return False
            self.table = replace(changed, revision=base.revision + 1)
            return True

        is_acknowledged = self._send_write(write, delivery)
        if is_acknowledged:
            self.read_table(instance.state.incarnation)
        return is_acknowledged

    def _send_write(self, write: Callable[[], bool], delivery: WriteDelivery) -> bool:
        if delivery is WriteDelivery.DELAYED:
            self.delayed_writes.append(write)
            return False
        is_applied = delivery is not WriteDelivery.LOST and write()
        return is_applied and delivery is WriteDelivery.ACKNOWLEDGED

    def _acknowledge_renewal(self, instance: SimulatedInstance, counter: int) -> None:
        sent_at = instance.attempts[counter]
        self._apply_update(
            instance,
            holdings.record_renewal(instance.state, counter, sent_at, self.now),
        )

    def _send_handover(
        self,
        successor: Incarnation,
        offer_accepted_at: float,
        remaining_seconds: float,
        is_recorded: bool,
        epochs: Mapping[int, int],
    ) -> None:
        partitions = tuple(
            HandedOverPartition(partition, epoch, ())
            for partition, epoch in epochs.items()
        )
        self.messages.append(
            (
                successor,
                Handover(offer_accepted_at, remaining_seconds, is_recorded, partitions),
            )
        )

    def _apply_update(
        self,
        instance: SimulatedInstance,
        update: tuple[OwnershipState, list],
    ) -> None:
        instance.state, events = update
        for event in events:
            if isinstance(event, Gained):
                self._check_epoch(event)
        self._check_exclusion()

    def _check_epoch(self, gained: Gained) -> None:
        if gained.epoch <= self._last_epochs.get(gained.partition, 0):
            raise MutualExclusionError(
                f"partition {gained.partition} was gained at epoch {gained.epoch} "
                f"after epoch {self._last_epochs.get(gained.partition, 0)}"
            )
        self._last_epochs[gained.partition] = gained.epoch

    def _check_exclusion(self) -> None:
        partitions = {
            partition
            for instance in self.instances.values()
            for partition in instance.state.held
        }
        for partition in partitions:
            acting = self.list_acting(partition)
            if len(acting) > 1:
                raise MutualExclusionError(
                    f"several instances act for partition {partition}: {acting}"
                )
