"""Take-over by proof of termination.

S holds a partition, U may get it by consent and V observes S. One tick is half of
the quiet period. The times at which V read each counter of S are ages in ticks. A
pause of S, or a cut between S and the store, is any run without steps of S; a one-way
cut between S and U is a run of lost messages.
"""

from typing import NamedTuple

from shallotspindle_model.specification import Removed, Specification, Step

QUIET = 2
LAST_COUNTER = 3
NONE = -1

COMPARE = "compare-and-swap"
FRESH = "recent counter"
BEFORE_LAST = "counter before the last"
LISTED = "list of the platform"
NO_RENEWAL = "no renewal after an unrecorded hand-over"
ONLY_RECORDED = "only recorded hand-overs in the quiet period"
STOP_FIRST = "stop before the hand-over"


class State(NamedTuple):
    """S, U and V with the table and what is on its way.

    ``delayed`` is the counter of a renewal on its way; ``s_write`` and ``v_write`` are
    writes of the table on their way, by the revision that they expect.
    """

    up: bool = True
    alive: bool = True
    listed: bool = True
    s: bool = True
    u: bool = False
    v: bool = False
    ended: bool = False
    ack: int = 0
    acked: int = 1
    stored: int = 1
    delayed: int = 0
    seen: int = 0
    reads: tuple = (QUIET,) * LAST_COUNTER
    holder: str = "S"
    revision: int = 0
    s_write: int = NONE
    v_write: int = NONE
    message: str = ""
    waited: bool = False


def tick(state: State) -> State:
    return state._replace(
        ack=min(QUIET, state.ack + 1),
        reads=tuple(min(QUIET, age + 1) for age in state.reads),
        waited=state.holder == "U",
    )


def list_faults(state: State) -> list[Step]:
    steps = [("tick", tick(state)), ("store", state._replace(up=not state.up))]
    if state.alive:
        steps.append(("crash", state._replace(alive=False)))
    elif state.listed:
        steps.append(("unlist", state._replace(listed=False)))
    if state.message:
        steps.append(("lose message", state._replace(message="")))
    return steps


def list_renewals(state: State, removed: Removed) -> list[Step]:
    steps = []
    may_renew = NO_RENEWAL in removed or not state.ended
    counter = state.acked + 1
    if state.alive and may_renew and state.up and counter <= LAST_COUNTER:
        if state.stored < counter:
            written = state._replace(stored=counter)
            done = written._replace(acked=counter, ack=0)
            steps.append(("renew", done))
            steps.append(("renew, answer lost", written))
            if not state.delayed:
                steps.append(("renew, delayed", state._replace(delayed=counter)))
        else:
            read = state._replace(acked=state.stored, ack=0)
            steps.append(("read back", read))
    if state.delayed:
        steps.append(("lose renewal", state._replace(delayed=0)))
    if state.delayed and state.up:
        next_one = state.delayed == state.stored + 1
        stored = state.delayed if next_one else state.stored
        landed = state._replace(delayed=0, stored=stored)
        steps.append(("renewal lands", landed))
    return steps


def list_hand_overs(state: State, removed: Removed) -> list[Step]:
    steps = []
    kept = STOP_FIRST in removed
    ready = state.alive and state.s and not state.message
    if ready and state.ack < QUIET and state.up and state.holder == "S":
        stopped = state._replace(s=kept)
        moved = stopped._replace(
            holder="U", revision=state.revision + 1, message="recorded"
        )
        steps.append(("hand over", moved))
        if state.s_write == NONE:
            late = stopped._replace(s_write=state.revision)
            steps.append(("hand over, delayed", late))
    if ready and (state.ack == QUIET or ONLY_RECORDED in removed):
        sent = state._replace(s=kept, ended=True, message="alone")
        steps.append(("hand over alone", sent))
    if state.up and state.message == "recorded" and state.holder == "U":
        steps.append(("deliver", state._replace(message="", u=True)))
    if state.message == "alone" and state.holder == "S":
        steps.append(("deliver", state._replace(message="", u=True)))
    if state.up and state.holder == "U" and state.waited:
        steps.append(("U reads table", state._replace(u=True)))
    if state.up and state.u and state.holder == "S":
        recorded = state._replace(holder="U", revision=state.revision + 1)
        steps.append(("U records", recorded))
    if state.s_write != NONE and state.up:
        after = state._replace(s_write=NONE)
        if state.s_write == state.revision:
            after = after._replace(holder="U", revision=state.revision + 1)
        steps.append(("hand-over lands", after))
    return steps


def read(state: State) -> State:
    """V reads the session of S."""
    ages = list(state.reads)
    ages[state.stored - 1] = 0
    return state._replace(seen=state.stored, reads=tuple(ages))


def proves_termination(state: State, removed: Removed) -> bool:
    if state.listed and LISTED not in removed:
        return False
    distance = 1 if BEFORE_LAST in removed else 2
    older = state.reads[: max(0, state.seen - distance)]
    return FRESH in removed or any(age < QUIET for age in older)


def list_take_overs(state: State, removed: Removed) -> list[Step]:
    steps = []
    if state.up:
        observed = read(state)
        steps.append(("V reads session", observed))
        proved = proves_termination(observed, removed)
        if proved and state.holder == "S" and state.v_write == NONE:
            writing = observed._replace(v_write=state.revision)
            steps.append(("V takes over", writing))
    if state.up and state.v_write != NONE:
        after = state._replace(v_write=NONE)
        if COMPARE in removed or state.v_write == state.revision:
            after = after._replace(holder="V", revision=state.revision + 1, v=True)
        steps.append(("take-over lands", after))
    return steps


def list_steps(state: State, removed: Removed) -> list[Step]:
    if state.v and state.u and state.alive:
        return []
    return [
        *list_faults(state),
        *list_renewals(state, removed),
        *list_hand_overs(state, removed),
        *list_take_overs(state, removed),
    ]


def list_acting(state: State) -> list[str]:
    acting = {"S": state.s and state.alive, "U": state.u, "V": state.v}
    return [name for name, acts in acting.items() if acts]


SPECIFICATION = Specification(
    "take-over by termination",
    State(),
    list_steps,
    "at most one instance acts",
    lambda state, _: len(list_acting(state)) <= 1,
    (COMPARE, FRESH, BEFORE_LAST, LISTED, NO_RENEWAL, ONLY_RECORDED, STOP_FIRST),
)
