"""A fleet in one process that runs the decisions of this library.

It sees everything and fails when two instances act for a partition. The state
machine tests and the replay of the model checker's traces drive it step by step. A
step that is not possible returns False and changes nothing.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from shallotspindle_core.identifiers import Incarnation
from shallotspindle_ownership import holdings, proofs, sessions
from shallotspindle_ownership import table as tables
from shallotspindle_ownership.holdings import Gained, Holdings
from shallotspindle_ownership.messages import HandOver, Part
from shallotspindle_ownership.proofs import Observation
from shallotspindle_ownership.sessions import Phase
from shallotspindle_ownership.table import Entry, Table


class Outcome(Enum):
    """What happens to a write.

    ``DELAYED`` takes effect when ``land`` is called and is never answered.
    """

    ANSWERED = "answered"
    ANSWER_LOST = "answer lost"
    DELAYED = "delayed"
    LOST = "lost"


class ExclusionError(Exception):
    """Two instances act for one partition, or an epoch was used twice."""


@dataclass(slots=True)
class Node:
    """One instance with its rights and the table that it read.

    :param attempts: when each renewal counter was first sent.
    :param offers: partitions with epochs and the successor's time, by successor.
    """

    rights: Holdings
    alive: bool = True
    listed: bool = True
    table: Table = field(default_factory=Table)
    attempts: dict[int, float] = field(default_factory=dict)
    observed: dict[Incarnation, Observation] = field(default_factory=dict)
    offers: dict[Incarnation, tuple[float, dict[int, int]]] = field(
        default_factory=dict
    )


class Fleet:
    """Instances, a store and messages on their way.

    :param names: the incarnations.
    """

    def __init__(self, names: Iterable[str]) -> None:
        self.now = 0.0
        self.nodes = {
            Incarnation(name): Node(Holdings(Incarnation(name))) for name in names
        }
        self.table = Table()
        self.counters: dict[Incarnation, int] = {}
        self.store_up = True
        self.messages: list[tuple[Incarnation, HandOver]] = []
        self.delayed: list[Callable[[], bool]] = []
        self._epochs: dict[int, int] = {}

    def advance(self, seconds: float) -> bool:
        self.now += seconds
        self._check()
        return True

    def kill(self, name: Incarnation) -> bool:
        self.nodes[name].alive = False
        return True

    def unlist(self, name: Incarnation) -> bool:
        """The platform notices that an instance ended."""
        node = self.nodes[name]
        node.listed = node.listed and node.alive
        return not node.listed

    def find_acting(self, partition: int) -> list[Incarnation]:
        return [
            name
            for name, node in self.nodes.items()
            if node.alive and holdings.may_act(node.rights, partition, self.now)
        ]

    def renew(self, name: Incarnation, outcome: Outcome) -> bool:
        """Write the next renewal counter."""
        node = self.nodes[name]
        if not self._reaches(node) or not sessions.may_renew(node.rights.session):
            return False
        base = node.rights.session.counter
        node.attempts.setdefault(base + 1, self.now)

        def write() -> bool:
            if self.counters.get(name, 0) != base:
                return False
            self.counters[name] = base + 1
            return True

        if self._send(write, outcome):
            self._acknowledge(node, base + 1)
        return True

    def read_session(self, name: Incarnation) -> bool:
        """Read the own record back after a lost answer."""
        node = self.nodes[name]
        counter = self.counters.get(name, 0)
        if not self._reaches(node) or counter <= node.rights.session.counter:
            return False
        self._acknowledge(node, counter)
        return True

    def read_table(self, name: Incarnation) -> bool:
        node = self.nodes[name]
        if not self._reaches(node):
            return False
        node.table = self.table
        self._update(node, holdings.see_table(node.rights, node.table, self.now))
        return True

    def acquire(
        self, name: Incarnation, partitions: Iterable[int], outcome: Outcome
    ) -> bool:
        """Write this instance into entries that are free or that it lost track of."""
        node = self.nodes[name]
        open_entries = {n for n in partitions if n not in node.table.entries}
        open_entries |= set(holdings.list_reclaimable(node.rights, node.table))
        return self._write_own(node, open_entries, outcome)

    def record(self, name: Incarnation, outcome: Outcome) -> bool:
        """Write what was handed over without the store."""
        node = self.nodes[name]
        changes = holdings.list_unrecorded(node.rights)
        newer = {
            n: entry
            for n, entry in changes.items()
            if entry.epoch > tables.find_epoch(node.table, n)
        }
        return bool(newer) and self._write(node, newer, outcome)

    def observe(self, name: Incarnation, holder: Incarnation) -> bool:
        node = self.nodes[name]
        if not self._reaches(node):
            return False
        counter = self.counters.get(holder, 0)
        known = node.observed.get(holder)
        node.observed[holder] = proofs.observe(known, counter, self.now, self.now)
        return True

    def take_over(
        self, name: Incarnation, holder: Incarnation, outcome: Outcome
    ) -> bool:
        """Take the partitions of a holder when a proof holds."""
        node = self.nodes[name]
        known = node.observed.get(holder)
        if name == holder or known is None or not self._reaches(node):
            return False
        self.read_table(name)
        self.observe(name, holder)
        known = node.observed[holder]
        listed = self.nodes[holder].listed
        ended = proofs.proves_termination(known, True, listed, self.now)
        if not ended and not proofs.proves_lapse(known, self.now):
            return False
        held = set(tables.list_held(node.table, holder))
        step = 1 if ended else tables.LAPSE_STEP
        return self._write_own(node, held, outcome, step)

    def offer(
        self, name: Incarnation, successor: Incarnation, partitions: Iterable[int]
    ) -> bool:
        """Ask a successor, which answers with its time."""
        node, other = self.nodes[name], self.nodes[successor]
        if name == successor or not node.alive or not other.alive:
            return False
        held = node.rights.held
        epochs = {n: held[n].epoch + 1 for n in partitions if n in held}
        offered = tuple(epochs.items())
        rights, ready = holdings.expect_offered(other.rights, offered, self.now)
        other.rights = rights
        if ready and epochs:
            node.offers[successor] = (self.now, epochs)
        return ready and bool(epochs)

    def hand_over(
        self, name: Incarnation, successor: Incarnation, outcome: Outcome
    ) -> bool:
        """Hand over what was offered through the store."""
        node = self.nodes[name]
        if successor not in node.offers or not self._reaches(node):
            return False
        if sessions.find_phase(node.rights.session, self.now) is not Phase.QUIET:
            return False
        at, offered = node.offers.pop(successor)
        epochs = {
            n: epoch
            for n, epoch in offered.items()
            if holdings.may_act(node.rights, n, self.now)
            and node.rights.held[n].epoch + 1 == epoch
        }
        remaining = sessions.measure_remaining(node.rights.session, self.now)
        node.rights = holdings.release(node.rights, epochs)
        changes = {n: Entry(successor, epoch) for n, epoch in epochs.items()}
        if self._write(node, changes, outcome):
            self._post(successor, at, remaining, True, epochs)
        return True

    def hand_over_alone(self, name: Incarnation, successor: Incarnation) -> bool:
        """Hand over what was offered without the store."""
        node = self.nodes[name]
        if successor not in node.offers or not node.alive:
            return False
        at, offered = node.offers[successor]
        result = holdings.hand_over_alone(node.rights, offered, self.now)
        if result is None:
            return False
        del node.offers[successor]
        node.rights, epochs, remaining = result
        self._post(successor, at, remaining, False, epochs)
        return True

    def deliver(self, index: int) -> bool:
        """Deliver a message; a recorded one makes the receiver read the table."""
        successor, message = self.messages.pop(index)
        node = self.nodes[successor]
        if not node.alive:
            return False
        if message.recorded and not self.read_table(successor):
            return False
        received = holdings.receive(node.rights, message, node.table, self.now)
        self._update(node, received[:2])
        return bool(received[2])

    def lose(self, index: int) -> bool:
        self.messages.pop(index)
        return True

    def land(self, index: int) -> bool:
        """Let a delayed write reach the store."""
        return self.delayed.pop(index)()

    def _reaches(self, node: Node) -> bool:
        return node.alive and self.store_up

    def _write_own(
        self,
        node: Node,
        partitions: Iterable[int],
        outcome: Outcome,
        step: int = 1,
    ) -> bool:
        phase = sessions.find_phase(node.rights.session, self.now)
        wanted = sorted(partitions)
        if phase is not Phase.QUIET or not wanted:
            return False
        changes = tables.name_holder(node.table, wanted, node.rights.me, step)
        node.rights = holdings.expect_written(node.rights, changes)
        self._write(node, changes, outcome)
        return True

    def _write(
        self, node: Node, changes: Mapping[int, Entry], outcome: Outcome
    ) -> bool:
        """Compare-and-swap the table; returns whether success was answered."""
        base = node.table
        if not self._reaches(node) or not changes:
            return False
        changed = tables.assign(base, changes)

        def write() -> bool:
            if self.table.revision != base.revision:
                return False
            self.table = replace(changed, revision=base.revision + 1)
            return True

        done = self._send(write, outcome)
        if done:
            self.read_table(node.rights.me)
        return done

    def _send(self, write: Callable[[], bool], outcome: Outcome) -> bool:
        if outcome is Outcome.DELAYED:
            self.delayed.append(write)
            return False
        done = outcome is not Outcome.LOST and write()
        return done and outcome is Outcome.ANSWERED

    def _acknowledge(self, node: Node, counter: int) -> None:
        sent = node.attempts[counter]
        self._update(node, holdings.renew(node.rights, counter, sent, self.now))

    def _post(
        self,
        successor: Incarnation,
        at: float,
        remaining: float,
        recorded: bool,
        epochs: Mapping[int, int],
    ) -> None:
        parts = tuple(Part(n, epoch, ()) for n, epoch in epochs.items())
        self.messages.append((successor, HandOver(at, remaining, recorded, parts)))

    def _update(self, node: Node, change: tuple[Holdings, list]) -> None:
        node.rights, effects = change
        for effect in effects:
            if isinstance(effect, Gained):
                self._check_epoch(effect)
        self._check()

    def _check_epoch(self, gained: Gained) -> None:
        if gained.epoch <= self._epochs.get(gained.partition, 0):
            raise ExclusionError(f"epoch {gained.epoch} of {gained.partition} again")
        self._epochs[gained.partition] = gained.epoch

    def _check(self) -> None:
        partitions = {n for node in self.nodes.values() for n in node.rights.held}
        for number in partitions:
            acting = self.find_acting(number)
            if len(acting) > 1:
                raise ExclusionError(f"{acting} act for partition {number}")
