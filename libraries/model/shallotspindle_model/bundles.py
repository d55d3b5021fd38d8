"""Versions of the bundle at the store and at two instances.

Two operators publish. Pushes and reads of the store arrive late, several times or
never.
"""

from typing import NamedTuple

from shallotspindle_model.specification import Removed, Specification, Step

LAST_VERSION = 3

NEWER = "only higher versions come into force"
COMPARE = "compare-and-swap of the manifest"


class State(NamedTuple):
    """``read`` is the version that each operator read before it writes; ``sent`` holds
    the versions in messages that may arrive at any time."""

    up: bool = True
    store: int = 0
    highest: int = 0
    read: tuple = (-1, -1)
    versions: tuple = (0, 0)
    sent: frozenset = frozenset()
    lowered: bool = False


def put(items: tuple, index: int, item) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def list_writes(state: State, removed: Removed) -> list[Step]:
    steps = []
    for index, base in enumerate(state.read):
        if base < 0:
            reading = state._replace(read=put(state.read, index, state.store))
            steps.append((f"operator {index} reads", reading))
            continue
        done = state._replace(read=put(state.read, index, -1))
        steps.append((f"operator {index} gives up", done))
        if base == LAST_VERSION or (base != state.store and COMPARE not in removed):
            continue
        written = state._replace(
            store=base + 1,
            highest=max(state.highest, base + 1),
            lowered=state.lowered or base + 1 <= state.highest,
        )
        steps.append((f"operator {index} writes, answer lost", written))
        after = written._replace(read=done.read)
        steps.append((f"operator {index} writes", after))
    return steps


def list_messages(state: State, removed: Removed) -> list[Step]:
    steps = []
    told = {*state.versions, *([state.store] if state.up else [])}
    for version in told - state.sent:
        sent = state.sent | {version}
        steps.append((f"send {version}", state._replace(sent=sent)))
    for index, current in enumerate(state.versions):
        for version in state.sent:
            if version > current or NEWER in removed:
                after = state._replace(
                    versions=put(state.versions, index, version),
                    lowered=state.lowered or version < current,
                )
                steps.append((f"instance {index} learns {version}", after))
    return steps


def list_steps(state: State, removed: Removed) -> list[Step]:
    writes = list_writes(state, removed) if state.up else []
    outage = ("store", state._replace(up=not state.up))
    return [outage, *writes, *list_messages(state, removed)]


SPECIFICATION = Specification(
    "versions of the bundle",
    State(),
    list_steps,
    "no version goes down or is used twice",
    lambda state, _: not state.lowered,
    (NEWER, COMPARE),
)
