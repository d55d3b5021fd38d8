"""Draws the faults of a soak test from its seed."""

from collections.abc import Set
from dataclasses import dataclass
from enum import StrEnum
from random import Random


class Fault(StrEnum):
    """Kinds of fault and planned change that a soak test injects."""

    # Signals to a gateway process, and its restart. STOP is a graceful shutdown.
    PAUSE = "pause"
    KILL = "kill"
    STOP = "stop"
    RELOAD = "hangup"
    # The store refuses requests, responds late, or applies writes without a response.
    STORE_UNAVAILABLE = "store-away"
    STORE_SLOW = "store-slow"
    STORE_LOSES_RESPONSES = "store-loses"
    # The store discards its history of changes, so that watches must start anew.
    STORE_LOSES_HISTORY = "store-forgets"
    # Network faults: between a gateway and the store, between the gateways and one
    # upstream, and between a gateway and its peers.
    CUT_STORE = "cut"
    CUT_UPSTREAM_ONE_WAY = "cut-one-way"
    CUT_PEERS = "cut-peers"
    RESET_CONNECTIONS = "reset"
    DELAY_UPSTREAM = "delay"
    # Gray failures of an upstream; see ``UpstreamMode``.
    HANG = "hang"
    ERRORS = "errors"
    TRUNCATED_RESPONSE = "break"
    WRONG_RESPONSE = "cross"
    # Planned changes by an operator.
    DRAIN = "drain"
    WITHDRAW_KEY = "withdraw"
    CHANGE_CONFIGURATION = "change"
    # Further gray failures of an upstream.
    SHED = "shed"
    ENDLESS_HEAD = "endless-head"
    ENDLESS_BODY = "endless-body"
    # More requests than the upstreams can serve.
    OVERLOAD = "crowd"
    # Graceful shutdown of all gateways in turn.
    STOP_ALL = "roll"
    # Another writer leaves malformed entries in the store.
    MALFORMED_ENTRIES = "malformed-entries"
    # An upstream says in its responses that it leaves, or that it wants a pause.
    LEAVE = "leave"
    ASK_FOR_PAUSE = "ask-for-pause"


# Relative frequency of each kind. The faults that a seed draws depend on the order.
FAULT_WEIGHTS = {
    Fault.PAUSE: 2,
    Fault.KILL: 2,
    Fault.STOP: 3,
    Fault.RELOAD: 1,
    Fault.STORE_UNAVAILABLE: 2,
    Fault.STORE_SLOW: 1,
    Fault.STORE_LOSES_RESPONSES: 1,
    Fault.STORE_LOSES_HISTORY: 1,
    Fault.CUT_STORE: 3,
    Fault.CUT_UPSTREAM_ONE_WAY: 2,
    Fault.CUT_PEERS: 3,
    Fault.RESET_CONNECTIONS: 2,
    Fault.DELAY_UPSTREAM: 1,
    Fault.HANG: 3,
    Fault.ERRORS: 2,
    Fault.TRUNCATED_RESPONSE: 2,
    Fault.WRONG_RESPONSE: 2,
    Fault.DRAIN: 2,
    Fault.WITHDRAW_KEY: 2,
    Fault.CHANGE_CONFIGURATION: 2,
    Fault.SHED: 2,
    Fault.ENDLESS_HEAD: 1,
    Fault.ENDLESS_BODY: 1,
    Fault.OVERLOAD: 2,
    Fault.STOP_ALL: 2,
    Fault.MALFORMED_ENTRIES: 2,
    Fault.LEAVE: 2,
    Fault.ASK_FOR_PAUSE: 2,
}
MAX_DURATION_SECONDS = 6.0
# A gateway that is cut off from the store misses a withdrawal only if the key is
# withdrawn meanwhile.
WITHDRAWAL_PROBABILITY = 0.5
# Range of the delay between the start of an overload and the graceful shutdown of a
# gateway that goes with it, in seconds.
OVERLOAD_STOP_DELAY_SECONDS = (0.3, 1.5)
# Faults that accompany an overload and a graceful shutdown of all gateways.
CONCURRENT_FAULTS = {
    Fault.OVERLOAD: (Fault.HANG, Fault.HANG, Fault.SHED, Fault.SHED),
    Fault.STOP_ALL: (Fault.HANG, Fault.SHED),
}


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """A fault with its time and target.

    :param start_seconds: time from the start of the injection.
    :param duration_seconds: how long the fault lasts; 0 for an instantaneous one.
    :param target: index of a gateway, upstream or team; wraps around.
    """

    start_seconds: float
    fault: Fault
    duration_seconds: float
    target: int


def draw_events(
    seed: int,
    period_seconds: float,
    mean_gap_seconds: float,
    excluded_faults: Set[Fault] = frozenset(),
) -> list[FaultEvent]:
    """Return the faults of a soak test, ordered by time.

    :param period_seconds: length of the period in which faults begin.
    :param mean_gap_seconds: mean time between the starts of two faults.
    :param excluded_faults: kinds that are not drawn.
    """
    random = Random(seed)
    kinds = [kind for kind in FAULT_WEIGHTS if kind not in excluded_faults]
    weights = [FAULT_WEIGHTS[kind] for kind in kinds]
    events = []
    start_seconds = random.expovariate(1 / mean_gap_seconds)
    while start_seconds < period_seconds:
        fault = random.choices(kinds, weights)[0]
        duration_seconds = random.uniform(0.3, MAX_DURATION_SECONDS)
        events.append(
            FaultEvent(start_seconds, fault, duration_seconds, random.randrange(1000))
        )
        if (
            fault in (Fault.CUT_STORE, Fault.STORE_UNAVAILABLE)
            and random.random() < WITHDRAWAL_PROBABILITY
        ):
            target = random.randrange(1000)
            events.append(
                FaultEvent(start_seconds + 0.1, Fault.WITHDRAW_KEY, 0.0, target)
            )
        events += draw_concurrent_events(events[-1], random)
        start_seconds += random.expovariate(1 / mean_gap_seconds)
    return sorted(events, key=lambda event: event.start_seconds)


def draw_concurrent_events(event: FaultEvent, random: Random) -> list[FaultEvent]:
    """Return the faults that accompany an overload or a shutdown of all gateways."""
    concurrent_events = [
        FaultEvent(
            event.start_seconds + 0.1,
            fault,
            event.duration_seconds,
            random.randrange(1000),
        )
        for fault in CONCURRENT_FAULTS.get(event.fault, ())
    ]
    if event.fault is Fault.OVERLOAD:
        start_seconds = event.start_seconds + random.uniform(
            *OVERLOAD_STOP_DELAY_SECONDS
        )
        concurrent_events.append(
            FaultEvent(start_seconds, Fault.STOP, 0.0, random.randrange(1000))
        )
    return concurrent_events
