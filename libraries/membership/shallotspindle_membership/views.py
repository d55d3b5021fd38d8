"""The membership view: what one instance knows about the others.

Peers are known from the platform's list, which lags, and from their messages.
Heartbeats go to the neighbours, to the instances that chose this one as a neighbour,
and to substitutes for neighbours that do not acknowledge heartbeats.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from shallotspindle_core.identifiers import Incarnation, Instance
from shallotspindle_membership import neighbours
from shallotspindle_membership.freshness import FreshnessTracker
from shallotspindle_membership.heartbeats import (
    HEARTBEAT_INTERVAL_SECONDS,
    Heartbeat,
    HeartbeatExchange,
    StateSummary,
)

# A peer that acknowledged nothing for this time is unusable, so that a connection that
# works in one direction only is detected. The design page states the same bound.
MAX_ACKNOWLEDGEMENT_AGE_SECONDS = 4.0
# Time for which a peer is unusable after a message to it failed.
FAILURE_COOLDOWN_SECONDS = 4.0
# Time for which a message makes a peer known that is not or no longer listed.
UNLISTED_PEER_TTL_SECONDS = 10.0
# With more suspects than this, no peer is treated as a suspect, which bounds the cost
# of the heartbeats when no peer responds.
MAX_SUSPECTS = 16
MAX_HEARTBEAT_TARGETS = 12
# A recent contact with the store is relayed before the next regular heartbeat, so that
# it crosses the fleet within the 4 s of the freshness rule. The minimum gap bounds the
# extra cost.
MIN_RELAY_GAP_SECONDS = 0.25
MIN_RELAYED_GAIN_SECONDS = 0.5
# Longer than the regular interval, so that the next contact to relay arrives before the
# timer fires.
RELAY_INTERVAL_SECONDS = 1.2


@dataclass(frozen=True, slots=True)
class HeartbeatResult:
    """What a received heartbeat showed.

    :param may_be_ahead: whether the sender may have state that this instance lacks.
    """

    may_be_ahead: bool


def may_be_ahead(own_summary: StateSummary, peer_summary: StateSummary) -> bool:
    """Return whether a peer may have state that this instance lacks."""
    return (
        peer_summary.bundle_version > own_summary.bundle_version
        or peer_summary.table_version > own_summary.table_version
        or peer_summary.withdrawals != own_summary.withdrawals
        or peer_summary.suspicions != own_summary.suspicions
    )


def may_miss_withdrawal(own_summary: StateSummary, peer_summary: StateSummary) -> bool:
    """Return whether the peer may know a withdrawn key that this instance does not."""
    if peer_summary.bundle_version > own_summary.bundle_version:
        return True
    return peer_summary.withdrawals != own_summary.withdrawals


class MembershipView:
    """Peers, heartbeats and freshness of one instance.

    :param own_instance: this instance.
    :param freshness: tracks when the store and the failure domains were heard.
    :param now: boot time in seconds.
    """

    def __init__(
        self, own_instance: Instance, freshness: FreshnessTracker, now: float
    ) -> None:
        self.own_instance = own_instance
        self.freshness = freshness
        self.next_heartbeat_at = now
        self._last_heartbeat_at = float("-inf")
        self._is_relaying = False
        self._listed: dict[Incarnation, Instance] = {}
        self._leaving: frozenset[Incarnation] = frozenset()
        self._heard: dict[Incarnation, tuple[Instance, float]] = {}
        self._failed_at: dict[Incarnation, float] = {}
        self._exchanges: dict[Incarnation, HeartbeatExchange] = {}
        self._suspects: set[Incarnation] = set()
        self._neighbours: tuple[str, ...] = ()
        self._substitutes: tuple[str, ...] = ()
        self._known: frozenset[Incarnation] = frozenset()

    def set_listed_instances(
        self, listed: Iterable[Instance], leaving: Iterable[Instance]
    ) -> None:
        """Replace the platform's list.

        :param listed: all instances, including those that are leaving.
        """
        own_incarnation = self.own_instance.incarnation
        items = tuple(listed)
        self._listed = {
            item.incarnation: item
            for item in items
            if item.incarnation != own_incarnation
        }
        self._leaving = frozenset(item.incarnation for item in leaving)
        self.freshness.add_domains(item.domain for item in items)

    def record_message(self, peer: Instance, now: float) -> None:
        """Record a message of a peer, which may not be listed yet."""
        self._heard[peer.incarnation] = (peer, now)
        self._failed_at.pop(peer.incarnation, None)

    def record_failure(self, peer: Instance, now: float) -> None:
        """Record that a peer did not receive a message or did not respond to it."""
        self._failed_at[peer.incarnation] = now

    def find_peer(self, incarnation: str) -> Instance | None:
        """Return a peer that is listed or was heard, whether usable or not."""
        found = self._listed.get(Incarnation(incarnation))
        if found is None and incarnation in self._heard:
            return self._heard[Incarnation(incarnation)][0]
        return found

    def list_usable_peers(self, now: float) -> tuple[Instance, ...]:
        """Return the peers that messages may go to, ordered by incarnation.

        A peer that receives heartbeats must have acknowledged one recently. Any other
        peer is usable unless a message to it failed recently.
        """
        known = sorted(self._list_known(now))
        peers = [self.find_peer(name) for name in known if self._is_usable(name, now)]
        return tuple(peer for peer in peers if peer is not None)

    def list_heartbeat_peers(self, now: float) -> tuple[Instance, ...]:
        """Return the usable peers that receive heartbeats."""
        names = [name for name in self._exchanges if self._is_usable(name, now)]
        peers = map(self.find_peer, names)
        return tuple(peer for peer in peers if peer is not None)

    def _list_known(self, now: float) -> frozenset[Incarnation]:
        heard = {
            name
            for name, (_, heard_at) in self._heard.items()
            if now - heard_at <= UNLISTED_PEER_TTL_SECONDS
        }
        return frozenset((self._listed.keys() | heard) - self._leaving)

    def _is_usable(self, name: Incarnation, now: float) -> bool:
        if now - self._failed_at.get(name, float("-inf")) <= FAILURE_COOLDOWN_SECONDS:
            return False
        exchange = self._exchanges.get(name)
        if exchange is None:
            return True
        started_at = min(now, exchange.started_at)
        # A new exchange has one interval for its first acknowledgement, unless the peer
        # was already suspected.
        if (
            name not in self._suspects
            and now - started_at <= HEARTBEAT_INTERVAL_SECONDS
        ):
            return True
        return now - exchange.acked_at <= MAX_ACKNOWLEDGEMENT_AGE_SECONDS

    def create_heartbeats(
        self, summary: StateSummary, now: float
    ) -> tuple[tuple[Instance, Heartbeat], ...]:
        """Return the heartbeats that are due and set the time of the next ones."""
        interval = (
            RELAY_INTERVAL_SECONDS if self._is_relaying else HEARTBEAT_INTERVAL_SECONDS
        )
        self.next_heartbeat_at = now + interval
        self._last_heartbeat_at = now
        self._is_relaying = False
        self._drop_expired(now)
        self._choose_neighbours(now)
        targets = self._list_targets(now)
        self._exchanges = {
            name: self._exchanges.get(name) or HeartbeatExchange(now)
            for name in targets
        }
        return tuple(
            (peer, self._create_heartbeat(name, summary, now))
            for name in targets
            if (peer := self.find_peer(name)) is not None
        )

    def _drop_expired(self, now: float) -> None:
        """Drop messages and failures that no longer count."""
        self._heard = {
            name: item
            for name, item in self._heard.items()
            if now - item[1] <= UNLISTED_PEER_TTL_SECONDS
        }
        self._failed_at = {
            name: failed_at
            for name, failed_at in self._failed_at.items()
            if now - failed_at <= FAILURE_COOLDOWN_SECONDS
        }

    def _choose_neighbours(self, now: float) -> None:
        """Choose neighbours among all peers and substitutes among unsuspected ones."""
        suspects = {
            name
            for name, exchange in self._exchanges.items()
            if now - max(exchange.started_at, exchange.acked_at)
            > MAX_ACKNOWLEDGEMENT_AGE_SECONDS
        }
        responding = {name for name in self._exchanges if name not in suspects}
        suspects |= self._suspects - responding
        if len(suspects) > MAX_SUSPECTS:
            suspects = set()
        known = self._list_known(now)
        if known == self._known and suspects == self._suspects:
            return
        own_incarnation = self.own_instance.incarnation
        self._known, self._suspects = known, suspects
        self._neighbours = neighbours.find_neighbours(own_incarnation, known)
        self._substitutes = neighbours.find_neighbours(
            own_incarnation, known - suspects
        )

    def _list_targets(self, now: float) -> list[Incarnation]:
        """Return the names of the peers that receive the next heartbeats."""
        choosers = [
            name
            for name, exchange in self._exchanges.items()
            if now - exchange.chosen_at <= MAX_ACKNOWLEDGEMENT_AGE_SECONDS
        ]
        names = dict.fromkeys((*self._neighbours, *self._substitutes, *choosers))
        return [Incarnation(name) for name in names][:MAX_HEARTBEAT_TARGETS]

    def _create_heartbeat(
        self, name: Incarnation, summary: StateSummary, now: float
    ) -> Heartbeat:
        exchange = self._exchanges[name]
        return Heartbeat(
            exchange.record_sent(now),
            exchange.last_received_number,
            exchange.compute_held_milliseconds(now),
            summary,
            name in self._neighbours or name in self._substitutes,
            self.freshness.compute_store_age_steps(now),
            self.freshness.compute_domain_ages(now),
        )

    def receive_heartbeat(
        self, peer: Instance, heartbeat: Heartbeat, summary: StateSummary, now: float
    ) -> HeartbeatResult:
        """Record a heartbeat.

        The ages in it count only if the peer cannot know a withdrawn key that this
        instance does not know.

        :param summary: what this instance knows.
        """
        self.record_message(peer, now)
        exchange = self._exchanges.setdefault(peer.incarnation, HeartbeatExchange(now))
        transit_seconds = exchange.receive(heartbeat, now)
        previous_store_contacted_at = self.freshness.store_contacted_at
        if transit_seconds is not None and not may_miss_withdrawal(
            summary, heartbeat.summary
        ):
            self.freshness.record_heartbeat(
                heartbeat, peer.domain, now - transit_seconds
            )
        if (
            self.freshness.store_contacted_at - previous_store_contacted_at
            > MIN_RELAYED_GAIN_SECONDS
        ):
            self._schedule_relay(now)
        return HeartbeatResult(may_be_ahead(summary, heartbeat.summary))

    def _schedule_relay(self, now: float) -> None:
        """Bring the next heartbeats forward unless the last ones were just sent."""
        earliest = max(now, self._last_heartbeat_at + MIN_RELAY_GAP_SECONDS)
        if now - self._last_heartbeat_at >= MIN_RELAY_GAP_SECONDS:
            self._is_relaying = True
            self.next_heartbeat_at = min(self.next_heartbeat_at, earliest)

    def is_fresh(self, now: float) -> bool:
        """Return whether the freshness rule of the design page holds."""
        return self.freshness.is_fresh(now)
