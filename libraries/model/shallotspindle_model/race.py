"""Two instances that write themselves into one free entry of the table.

Writes are delayed or lost, and so are their answers.
"""

from typing import NamedTuple

from shallotspindle_model.specification import Removed, Specification, Step

NAMES = ("U", "V")

COMPARE = "compare-and-swap"
READ_BACK = "reading back a lost answer"


class State(NamedTuple):
    """A write is current until the table changes; ``sent`` marks a lost answer."""

    up: bool = True
    holder: str = ""
    writes: tuple = ("", "")
    sent: tuple = (False, False)
    acts: tuple = (False, False)


def put(items: tuple, index: int, item) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def land(state: State, index: int, removed: Removed) -> State:
    """Let a write reach the store."""
    write = state.writes[index]
    after = state._replace(writes=put(state.writes, index, ""))
    if write == "stale" and COMPARE not in removed:
        return after
    writes = tuple("stale" if each else "" for each in after.writes)
    return after._replace(holder=NAMES[index], writes=writes)


def list_own_steps(state: State, index: int, removed: Removed) -> list[Step]:
    name = NAMES[index]
    steps = []
    if state.acts[index]:
        return steps
    if state.up and not state.holder and not state.writes[index]:
        sending = state._replace(
            writes=put(state.writes, index, "current"),
            sent=put(state.sent, index, True),
        )
        steps.append((f"{name} writes, delayed", sending))
    if state.up and state.writes[index]:
        steps.append((f"write of {name} lands", land(state, index, removed)))
        lost = state._replace(writes=put(state.writes, index, ""))
        steps.append((f"write of {name} is lost", lost))
    mine = state.holder == name
    trusting = READ_BACK in removed and state.sent[index] and not state.writes[index]
    if state.up and (mine or trusting):
        acting = state._replace(acts=put(state.acts, index, True))
        steps.append((f"{name} reads table", acting))
    return steps


def list_steps(state: State, removed: Removed) -> list[Step]:
    return [
        ("store", state._replace(up=not state.up)),
        *list_own_steps(state, 0, removed),
        *list_own_steps(state, 1, removed),
    ]


def list_acting(state: State) -> list[str]:
    return [name for name, acts in zip(NAMES, state.acts, strict=True) if acts]


SPECIFICATION = Specification(
    "race for an entry",
    State(),
    list_steps,
    "at most one instance acts",
    lambda state, _: len(list_acting(state)) <= 1,
    (COMPARE, READ_BACK),
)
