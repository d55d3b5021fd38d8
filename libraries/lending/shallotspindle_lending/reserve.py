"""Keeps slots free for cheap, urgent requests while expensive ones fill a service.

Under more load than a small service can carry, expensive requests of low priority
would hold every slot, and each urgent request would wait until one of them ends. Slots
are kept free only where that wait makes urgent requests miss their latency objective;
with many slots one of them ends soon.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from shallotspindle_lending.grants import GRANT_RATE_WINDOW_SECONDS, RecentGrants

# A request is cheap beside another if its expected duration, multiplied by this, does
# not exceed the other's. Two equally frequent routes begin to differ in cost at a
# factor of 1.67 and cease to at 1.44 (``costs``).
EXPENSIVE_FACTOR = 1.5
# Slots are kept free if urgent requests could wait for less than this multiple of the
# mean time until a slot becomes free: one in twelve would then miss its objective.
MIN_SPARE_FACTOR = 2.5
# One in this many slots, rounded down, may be kept free at the most.
SLOTS_PER_RESERVED_SLOT = 2


@dataclass(frozen=True, slots=True)
class CostClass:
    """What the reserve needs to know of a request.

    :param priority: 0 is the highest.
    :param seconds: expected duration.
    """

    priority: int
    seconds: float


def is_held_back(
    wanted: CostClass,
    running: Iterable[CostClass],
    grants: RecentGrants,
    slots: int,
    now: float,
) -> bool:
    """Return whether a request must leave the free slots to cheaper, urgent ones.

    The number of slots that the latter need is the product of their rate and their
    duration.

    :param running: the requests that hold slots.
    :param slots: number of slots of the service.
    """
    max_seconds = wanted.seconds / EXPENSIVE_FACTOR
    urgent = grants.list_urgent(wanted.priority, max_seconds, now)
    if not urgent or not slots:
        return False
    spare_seconds = sum(grant.spare_seconds for grant in urgent) / len(urgent)
    if spare_seconds >= MIN_SPARE_FACTOR * wanted.seconds / slots:
        return False
    work = sum(grant.expected_seconds for grant in urgent)
    needed = max(1, round(work / GRANT_RATE_WINDOW_SECONDS))
    reserved = min(needed, slots // SLOTS_PER_RESERVED_SLOT)
    competing = sum(
        item.priority >= wanted.priority and item.seconds > max_seconds
        for item in running
    )
    return competing >= max(1, slots - reserved)
