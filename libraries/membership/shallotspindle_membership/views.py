"""This instance's view of the others.

Peers come from the platform's list, which lags, and from own messages. Heartbeats go
to the neighbours, to whoever chose this instance as a neighbour, and to substitutes
of neighbours that acknowledge nothing.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from shallotspindle_core.identifiers import Incarnation, Instance
from shallotspindle_membership import neighbours
from shallotspindle_membership.freshness import Horizon
from shallotspindle_membership.heartbeats import (
    INTERVAL_SECONDS,
    Exchange,
    Heartbeat,
    Progress,
)

# The bound of the design page for one-way cuts.
ACKNOWLEDGED_SECONDS = 4.0
# A peer that a message could not reach is tried again after this time.
FAILED_SECONDS = 4.0
# How long an instance that is not listed yet, or no longer, counts after a message.
HEARD_SECONDS = 10.0
# Ends the growth of the heartbeats' cost when nobody answers.
SUSPECT_LIMIT = 16
TARGET_LIMIT = 12
# News of the store is passed on early, so that it crosses the fleet within the 4 s of
# the freshness rule; the shortest gap keeps the extra cost bounded.
EARLY_GAP_SECONDS = 0.25
NEWS_SECONDS = 0.5
# Longer than the interval, so that the next news comes before the timer.
RELAY_INTERVAL_SECONDS = 1.2


@dataclass(frozen=True, slots=True)
class BeatOutcome:
    """What a heartbeat showed.

    :param differs: whether the sender knows something that is missing here.
    """

    differs: bool


def is_missing(own: Progress, theirs: Progress) -> bool:
    """Return whether a peer may know something that this instance does not."""
    return (
        theirs.bundle_version > own.bundle_version
        or theirs.table_version > own.table_version
        or theirs.withdrawals != own.withdrawals
        or theirs.suspicions != own.suspicions
    )


def may_miss_withdrawal(own: Progress, theirs: Progress) -> bool:
    """Return whether a withdrawn key may be known to the peer only."""
    if theirs.bundle_version > own.bundle_version:
        return True
    return theirs.withdrawals != own.withdrawals


class View:
    """Peers, heartbeats and freshness of one instance.

    :param own: this instance.
    :param horizon: what was heard of the store and the failure domains.
    :param now: boot-time in seconds.
    """

    def __init__(self, own: Instance, horizon: Horizon, now: float) -> None:
        self.own = own
        self.horizon = horizon
        self.next_beat = now
        self._last_beat = float("-inf")
        self._relays = False
        self._listed: dict[Incarnation, Instance] = {}
        self._leaving: frozenset[Incarnation] = frozenset()
        self._heard: dict[Incarnation, tuple[Instance, float]] = {}
        self._failed: dict[Incarnation, float] = {}
        self._exchanges: dict[Incarnation, Exchange] = {}
        self._suspects: set[Incarnation] = set()
        self._neighbours: tuple[str, ...] = ()
        self._substitutes: tuple[str, ...] = ()
        self._known: frozenset[Incarnation] = frozenset()

    def update_list(
        self, listed: Iterable[Instance], leaving: Iterable[Instance]
    ) -> None:
        """Take over the platform's list.

        :param listed: all instances, also those that leave.
        """
        own = self.own.incarnation
        items = tuple(listed)
        self._listed = {
            item.incarnation: item for item in items if item.incarnation != own
        }
        self._leaving = frozenset(item.incarnation for item in leaving)
        self.horizon.add_domains(item.domain for item in items)

    def note_heard(self, peer: Instance, now: float) -> None:
        """Count a message of a peer, which may not be listed yet."""
        self._heard[peer.incarnation] = (peer, now)
        self._failed.pop(peer.incarnation, None)

    def note_failed(self, peer: Instance, now: float) -> None:
        """Count a message that a peer did not answer or get."""
        self._failed[peer.incarnation] = now

    def find_peer(self, incarnation: str) -> Instance | None:
        """Return a peer that is listed or was heard, usable or not."""
        found = self._listed.get(Incarnation(incarnation))
        if found is None and incarnation in self._heard:
            return self._heard[Incarnation(incarnation)][0]
        return found

    def list_usable(self, now: float) -> tuple[Instance, ...]:
        """Return the peers that messages may go to, ordered by incarnation.

        A peer that gets heartbeats must have acknowledged one recently. Any other is
        usable unless a message to it failed recently.
        """
        known = sorted(self._list_known(now))
        peers = [self.find_peer(name) for name in known if self._is_usable(name, now)]
        return tuple(peer for peer in peers if peer is not None)

    def list_neighbours(self, now: float) -> tuple[Instance, ...]:
        """Return the usable peers that get heartbeats."""
        names = [name for name in self._exchanges if self._is_usable(name, now)]
        peers = map(self.find_peer, names)
        return tuple(peer for peer in peers if peer is not None)

    def _list_known(self, now: float) -> frozenset[Incarnation]:
        heard = {
            name for name, (_, at) in self._heard.items() if now - at <= HEARD_SECONDS
        }
        return frozenset((self._listed.keys() | heard) - self._leaving)

    def _is_usable(self, name: Incarnation, now: float) -> bool:
        if now - self._failed.get(name, float("-inf")) <= FAILED_SECONDS:
            return False
        exchange = self._exchanges.get(name)
        if exchange is None:
            return True
        started = min(now, exchange.since)
        # A new exchange gets the time of a first acknowledgement only if the peer
        # was not suspected before.
        if name not in self._suspects and now - started <= INTERVAL_SECONDS:
            return True
        return now - exchange.acked_at <= ACKNOWLEDGED_SECONDS

    def beat(
        self, progress: Progress, now: float
    ) -> tuple[tuple[Instance, Heartbeat], ...]:
        """Return the heartbeats that are due and set the time of the next ones."""
        interval = RELAY_INTERVAL_SECONDS if self._relays else INTERVAL_SECONDS
        self.next_beat = now + interval
        self._last_beat = now
        self._relays = False
        self._forget(now)
        self._choose_neighbours(now)
        targets = self._list_targets(now)
        self._exchanges = {
            name: self._exchanges.get(name) or Exchange(now) for name in targets
        }
        return tuple(
            (peer, self._make_beat(name, progress, now))
            for name in targets
            if (peer := self.find_peer(name)) is not None
        )

    def _forget(self, now: float) -> None:
        self._heard = {
            name: item
            for name, item in self._heard.items()
            if now - item[1] <= HEARD_SECONDS
        }
        self._failed = {
            name: at for name, at in self._failed.items() if now - at <= FAILED_SECONDS
        }

    def _choose_neighbours(self, now: float) -> None:
        suspects = {
            name
            for name, exchange in self._exchanges.items()
            if now - max(exchange.since, exchange.acked_at) > ACKNOWLEDGED_SECONDS
        }
        answering = {name for name in self._exchanges if name not in suspects}
        suspects |= self._suspects - answering
        if len(suspects) > SUSPECT_LIMIT:
            suspects = set()
        known = self._list_known(now)
        if known == self._known and suspects == self._suspects:
            return
        own = self.own.incarnation
        self._known, self._suspects = known, suspects
        self._neighbours = neighbours.find_neighbours(own, known)
        self._substitutes = neighbours.find_neighbours(own, known - suspects)

    def _list_targets(self, now: float) -> list[Incarnation]:
        choosers = [
            name
            for name, exchange in self._exchanges.items()
            if now - exchange.chosen_at <= ACKNOWLEDGED_SECONDS
        ]
        names = dict.fromkeys((*self._neighbours, *self._substitutes, *choosers))
        return [Incarnation(name) for name in names][:TARGET_LIMIT]

    def _make_beat(
        self, name: Incarnation, progress: Progress, now: float
    ) -> Heartbeat:
        exchange = self._exchanges[name]
        return Heartbeat(
            exchange.note_sent(now),
            exchange.received,
            exchange.measure_held(now),
            progress,
            name in self._neighbours or name in self._substitutes,
            self.horizon.measure_store_age(now),
            self.horizon.measure_ages(now),
        )

    def receive(
        self, peer: Instance, beat: Heartbeat, progress: Progress, now: float
    ) -> BeatOutcome:
        """Count a heartbeat.

        What a peer heard counts here only if the peer knows no withdrawal that may be
        missing here.

        :param progress: what this instance knows.
        """
        self.note_heard(peer, now)
        exchange = self._exchanges.setdefault(peer.incarnation, Exchange(now))
        under_way = exchange.receive(beat, now)
        before = self.horizon.store_heard
        if under_way is not None and not may_miss_withdrawal(progress, beat.progress):
            self.horizon.note_beat(beat, peer.domain, now - under_way)
        if self.horizon.store_heard - before > NEWS_SECONDS:
            self._relay(now)
        return BeatOutcome(is_missing(progress, beat.progress))

    def _relay(self, now: float) -> None:
        early = max(now, self._last_beat + EARLY_GAP_SECONDS)
        if now - self._last_beat >= EARLY_GAP_SECONDS:
            self._relays = True
            self.next_beat = min(self.next_beat, early)

    def is_fresh(self, now: float) -> bool:
        """Return whether the freshness rule of the design page holds."""
        return self.horizon.is_fresh(now)
