"""Measures what a question to a lender costs, by the number of its upstreams.

    python tools/desk_cost.py

Prints the processor time of one question with the return of its slot, while a part of
the slots is in use and while the queue is full.
"""

import itertools
import time
from random import Random

from shallotspindle_bench.lending_play import (
    DOMAIN,
    SERVICE,
    announce,
    build_default,
)
from shallotspindle_core.identifiers import UpstreamName
from shallotspindle_lending.records import Outcome, SlotGrant, SlotRequest, SlotReturned
from shallotspindle_lending.scheduler import SlotScheduler

COUNTS = (5, 20, 40, 80, 160)
QUESTIONS = 3000
# Part of the slots that are in use; above one the rest of the questions waits.
LOADS = (0.5, 1.5)
RUN_SECONDS = 0.2


def build_desk(count: int) -> SlotScheduler:
    """Return a desk with upstreams of two slots each."""
    desk = build_default(Random(1))
    names = [UpstreamName(f"u{number}") for number in range(count)]
    desk.update_upstreams({name: announce(name, slots=2) for name in names})
    return desk


def measure(count: int, load: float) -> float:
    """Return microseconds of processor time a question."""
    desk = build_desk(count)
    gap = RUN_SECONDS / (load * 2 * count)
    numbers = itertools.count()
    running: list[tuple[float, SlotGrant]] = []
    now = 0.0
    started = time.process_time()
    for _ in range(QUESTIONS):
        now += gap
        while running and running[0][0] <= now:
            _, lent = running.pop(0)
            returned = SlotReturned(
                lent.number,
                "me",
                SERVICE,
                DOMAIN,
                lent.upstream,
                Outcome.COMPLETE,
                RUN_SECONDS,
            )
            found = desk.return_slot(returned, now)
            running += _list_lent(found, now)
        number = next(numbers)
        asked = SlotRequest(
            number,
            "me",
            SERVICE,
            DOMAIN,
            number % 3 == 0,
            False,
            1,
            1.0,
            0.5,
            0.5,
            number,
        )
        running += _list_lent(desk.request_slot(asked, now), now)
    return (time.process_time() - started) / QUESTIONS * 1e6


def _list_lent(decided, now: float) -> list[tuple[float, SlotGrant]]:
    return [
        (now + RUN_SECONDS, item.decision)
        for item in decided
        if isinstance(item.decision, SlotGrant)
    ]


def main() -> None:
    print("upstreams", *(f"load {load}" for load in LOADS), sep="\t")
    for count in COUNTS:
        print(count, *(f"{measure(count, load):.0f} us" for load in LOADS), sep="\t")


if __name__ == "__main__":
    main()
