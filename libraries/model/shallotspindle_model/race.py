"""Two instances that both write themselves into a free entry of the ownership table.

Writes and their responses may be delayed or lost.
"""

from typing import NamedTuple

from shallotspindle_model.specification import RemovedRules, Specification, Step

INSTANCES = ("U", "V")

COMPARE_AND_SWAP = "compare-and-swap"
READ_BACK = "reading the table back after a lost response"


class State(NamedTuple):
    """State of the entry and of both instances, by the index of the instance.

    ``pending_writes`` holds "current" for a delayed write and "stale" once the table
    has changed since it was sent. ``has_sent`` says whether an instance has sent a
    write, whose response it may have missed.
    """

    is_store_up: bool = True
    recorded_holder: str = ""
    pending_writes: tuple = ("", "")
    has_sent: tuple = (False, False)
    is_acting: tuple = (False, False)


def replace_item(items: tuple, index: int, item) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def apply_write(state: State, index: int, removed_rules: RemovedRules) -> State:
    """Return the state after a delayed write reached the store."""
    pending_write = state.pending_writes[index]
    after = state._replace(pending_writes=replace_item(state.pending_writes, index, ""))
    if pending_write == "stale" and COMPARE_AND_SWAP not in removed_rules:
        return after
    pending_writes = tuple(
        "stale" if pending else "" for pending in after.pending_writes
    )
    return after._replace(
        recorded_holder=INSTANCES[index], pending_writes=pending_writes
    )


def list_instance_steps(
    state: State, index: int, removed_rules: RemovedRules
) -> list[Step]:
    name = INSTANCES[index]
    steps = []
    if state.is_acting[index]:
        return steps
    if (
        state.is_store_up
        and not state.recorded_holder
        and not state.pending_writes[index]
    ):
        writing = state._replace(
            pending_writes=replace_item(state.pending_writes, index, "current"),
            has_sent=replace_item(state.has_sent, index, True),
        )
        steps.append((f"{name} writes, delayed", writing))
    if state.is_store_up and state.pending_writes[index]:
        steps.append(
            (f"write of {name} takes effect", apply_write(state, index, removed_rules))
        )
        lost = state._replace(
            pending_writes=replace_item(state.pending_writes, index, "")
        )
        steps.append((f"write of {name} is lost", lost))
    is_recorded = state.recorded_holder == name
    assumes_success = (
        READ_BACK in removed_rules
        and state.has_sent[index]
        and not state.pending_writes[index]
    )
    if state.is_store_up and (is_recorded or assumes_success):
        acting = state._replace(is_acting=replace_item(state.is_acting, index, True))
        steps.append((f"{name} reads table", acting))
    return steps


def list_steps(state: State, removed_rules: RemovedRules) -> list[Step]:
    return [
        ("store", state._replace(is_store_up=not state.is_store_up)),
        *list_instance_steps(state, 0, removed_rules),
        *list_instance_steps(state, 1, removed_rules),
    ]


def list_acting(state: State) -> list[str]:
    return [
        name
        for name, is_acting in zip(INSTANCES, state.is_acting, strict=True)
        if is_acting
    ]


SPECIFICATION = Specification(
    "race for a free table entry",
    State(),
    list_steps,
    "at most one instance acts",
    lambda state, _: len(list_acting(state)) <= 1,
    (COMPARE_AND_SWAP, READ_BACK),
)
