"""Draws the faults of a soak from its seed."""

from collections.abc import Set
from dataclasses import dataclass
from enum import StrEnum
from random import Random


class Fault(StrEnum):
    """What is done to the fleet from outside."""

    PAUSE = "pause"
    KILL = "kill"
    STOP = "stop"
    HANGUP = "hangup"
    STORE_AWAY = "store-away"
    STORE_SLOW = "store-slow"
    STORE_LOSES = "store-loses"
    STORE_FORGETS = "store-forgets"
    CUT = "cut"
    CUT_ONE_WAY = "cut-one-way"
    CUT_PEERS = "cut-peers"
    RESET = "reset"
    DELAY = "delay"
    HANG = "hang"
    ERRORS = "errors"
    BREAK = "break"
    CROSS = "cross"
    DRAIN = "drain"
    WITHDRAW = "withdraw"
    CHANGE = "change"
    SHED = "shed"
    ENDLESS_HEAD = "endless-head"
    ENDLESS_BODY = "endless-body"
    CROWD = "crowd"
    ROLL = "roll"


WEIGHTS = {
    Fault.PAUSE: 2,
    Fault.KILL: 2,
    Fault.STOP: 3,
    Fault.HANGUP: 1,
    Fault.STORE_AWAY: 2,
    Fault.STORE_SLOW: 1,
    Fault.STORE_LOSES: 1,
    Fault.STORE_FORGETS: 1,
    Fault.CUT: 3,
    Fault.CUT_ONE_WAY: 2,
    Fault.CUT_PEERS: 3,
    Fault.RESET: 2,
    Fault.DELAY: 1,
    Fault.HANG: 3,
    Fault.ERRORS: 2,
    Fault.BREAK: 2,
    Fault.CROSS: 2,
    Fault.DRAIN: 2,
    Fault.WITHDRAW: 2,
    Fault.CHANGE: 2,
    Fault.SHED: 2,
    Fault.ENDLESS_HEAD: 1,
    Fault.ENDLESS_BODY: 1,
    Fault.CROWD: 2,
    Fault.ROLL: 2,
}
LONGEST_SECONDS = 6.0
# A cut of the store hides a withdrawal only if the key is taken away meanwhile.
RACE_PART = 0.5
# A planned stop of a crowded fleet begins so long after the crowd came, in seconds.
CROWD_LEAD_SECONDS = (0.3, 1.5)
# What goes on beside a crowd and beside planned stops of all gateways.
BESIDE = {
    Fault.CROWD: (Fault.HANG, Fault.HANG, Fault.SHED, Fault.SHED),
    Fault.ROLL: (Fault.HANG, Fault.SHED),
}


@dataclass(frozen=True, slots=True)
class Event:
    """A fault at a time.

    :param at: seconds from the start of the requests.
    :param seconds: how long it lasts; 0 for what happens at once.
    :param target: which gateway or upstream, as an index that wraps around.
    """

    at: float
    fault: Fault
    seconds: float
    target: int


def draw(
    seed: int, seconds: float, gap: float, without: Set[Fault] = frozenset()
) -> list[Event]:
    """Return the faults of a soak, in order of time.

    :param seconds: time in which faults begin.
    :param gap: mean time between two faults, in seconds.
    :param without: kinds that are left out.
    """
    random = Random(seed)
    kinds = [kind for kind in WEIGHTS if kind not in without]
    weights = [WEIGHTS[kind] for kind in kinds]
    events = []
    at = random.expovariate(1 / gap)
    while at < seconds:
        fault = random.choices(kinds, weights)[0]
        lasts = random.uniform(0.3, LONGEST_SECONDS)
        events.append(Event(at, fault, lasts, random.randrange(1000)))
        if fault in (Fault.CUT, Fault.STORE_AWAY) and random.random() < RACE_PART:
            target = random.randrange(1000)
            events.append(Event(at + 0.1, Fault.WITHDRAW, 0.0, target))
        events += draw_beside(events[-1], random)
        at += random.expovariate(1 / gap)
    return sorted(events, key=lambda event: event.at)


def draw_beside(event: Event, random: Random) -> list[Event]:
    """Return what goes on beside a crowd or beside planned stops of all gateways."""
    beside = [
        Event(event.at + 0.1, fault, event.seconds, random.randrange(1000))
        for fault in BESIDE.get(event.fault, ())
    ]
    if event.fault is Fault.CROWD:
        at = event.at + random.uniform(*CROWD_LEAD_SECONDS)
        beside.append(Event(at, Fault.STOP, 0.0, random.randrange(1000)))
    return beside
