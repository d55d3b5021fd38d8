"""Take-over by time, with a holder that may be paused or cut off for hours.

S holds a partition, U may get it without the store and V waits for the lapse. One
tick is a quarter of the horizon. A pause of S, or a cut between S and the store, is
any run without steps of S.
"""

from typing import NamedTuple

from shallotspindle_model.specification import Removed, Specification, Step

HORIZON = 4
# The horizon with the allowance for drift, rounded up to whole ticks.
WAIT = 5
NONE = -1

CHECK = "check of the horizon at each act"
FULL_WAIT = "wait of the whole horizon"
INHERIT = "end of an inherited right"
FROM_SENT = "horizon from the time of sending"
FORGET = "new write after a lapse"
TABLE_FIRST = "compare-and-swap after the read of the session"


class State(NamedTuple):
    """Ages are in ticks; ``left`` is the rest of the right that U inherited.

    ``attempt`` is the age of the renewal whose answer S waits for. ``unchanged`` is
    the time for which V has read the same counter. Writes of the table on their way
    are current until another write changes the table; S forgets its own at a lapse.
    """

    up: bool = True
    s: bool = True
    u: bool = False
    v: bool = False
    ended: bool = False
    quiet: bool = True
    sent: int = 0
    attempt: int = NONE
    landed: bool = False
    delayed: bool = False
    unchanged: int = NONE
    changed: bool = False
    holder: str = "S"
    v_write: str = ""
    s_write: str = ""
    message: bool = False
    left: int = 0


def change_table(state: State, holder: str) -> State:
    """Return the state after a write of the table took effect."""
    return state._replace(
        holder=holder,
        s_write=state.s_write and "stale",
        v_write=state.v_write and "stale",
    )


def tick(state: State) -> State:
    attempt = state.attempt
    unchanged = state.unchanged
    return state._replace(
        quiet=False,
        sent=min(HORIZON, state.sent + 1),
        attempt=attempt if attempt == NONE else min(HORIZON, attempt + 1),
        unchanged=unchanged if unchanged == NONE else min(WAIT, unchanged + 1),
        left=max(0, state.left - 1),
    )


def acknowledge(state: State, removed: Removed) -> State:
    """S learns that its renewal took effect."""
    lapsed = state.sent == HORIZON and FORGET not in removed
    forgotten = lapsed and state.s_write == "current"
    return state._replace(
        s=state.s and not lapsed,
        s_write="forgotten" if forgotten else state.s_write,
        quiet=True,
        sent=0 if FROM_SENT in removed else state.attempt,
        attempt=NONE,
        landed=False,
    )


def list_renewals(state: State, removed: Removed) -> list[Step]:
    steps = []
    if state.up and not state.ended:
        attempt = 0 if state.attempt == NONE else state.attempt
        sending = state._replace(attempt=attempt)
        stored = sending._replace(landed=True, changed=True)
        if state.landed:
            steps.append(("read back", acknowledge(state, removed)))
        else:
            steps.append(("renew", acknowledge(stored, removed)))
            steps.append(("renew, answer lost", stored))
        if not state.landed and not state.delayed:
            steps.append(("renew, delayed", sending._replace(delayed=True)))
    if state.delayed and state.up:
        first = state.attempt != NONE and not state.landed
        after = state._replace(delayed=False)
        if first:
            after = after._replace(landed=True, changed=True)
        steps.append(("renewal lands", after))
    return steps


def list_hand_overs(state: State) -> list[Step]:
    steps = []
    if state.s and not state.quiet and state.sent < HORIZON and not state.ended:
        sent = state._replace(
            s=False, ended=True, message=True, left=HORIZON - state.sent
        )
        steps.append(("hand over alone", sent))
    if state.message:
        steps.append(("lose message", state._replace(message=False)))
        if state.left > 0 and state.holder == "S":
            steps.append(("deliver", state._replace(message=False, u=True)))
    if state.up and state.u and state.holder == "S" and state.left > 0:
        after = change_table(state, "U")
        steps.append(("U records", after))
    return steps


def list_reclaims(state: State) -> list[Step]:
    """S writes itself anew after a lapse."""
    steps = []
    free = not state.s and not state.ended and state.holder == "S"
    entitled = state.quiet and state.sent < HORIZON
    if free and entitled and state.up and not state.s_write:
        steps.append(("reclaim", state._replace(s_write="current")))
    if state.up and state.s_write:
        after = state._replace(s_write="")
        if state.s_write != "stale":
            lapsed = state.sent == HORIZON or state.ended
            expected = state.s_write == "current" and not lapsed
            after = change_table(after, "S")._replace(s=expected)
        steps.append(("reclaim lands", after))
    return steps


def list_take_overs(state: State, removed: Removed) -> list[Step]:
    steps = []
    if state.up and state.holder == "S":
        fresh = state.changed or state.unchanged == NONE
        age = 0 if fresh else state.unchanged
        observed = state._replace(changed=False, unchanged=age)
        if observed != state:
            steps.append(("V reads session", observed))
        wait = HORIZON - 1 if FULL_WAIT in removed else WAIT
        if age >= wait and not state.v_write:
            writing = observed._replace(v_write="current")
            steps.append(("V takes over", writing))
    if state.up and state.v_write:
        after = state._replace(v_write="")
        if state.v_write == "current" or TABLE_FIRST in removed:
            after = change_table(after, "V")._replace(v=True)
        steps.append(("take-over lands", after))
    return steps


def list_steps(state: State, removed: Removed) -> list[Step]:
    if state.v and not state.v_write and state.holder == "V" and not state.u:
        # Only time and late renewals remain once V holds the partition.
        late = [("tick", tick(state)), *list_renewals(state, removed)]
        return late if state.s else []
    return [
        ("tick", tick(state)),
        ("store", state._replace(up=not state.up)),
        *list_renewals(state, removed),
        *list_hand_overs(state),
        *list_reclaims(state),
        *list_take_overs(state, removed),
    ]


def list_acting(state: State, removed: Removed = frozenset()) -> list[str]:
    bounded = state.holder == "U" or state.left > 0 or INHERIT in removed
    acting = {
        "S": state.s and (state.sent < HORIZON or CHECK in removed),
        "U": state.u and bounded,
        "V": state.v,
    }
    return [name for name, acts in acting.items() if acts]


SPECIFICATION = Specification(
    "take-over by time",
    State(),
    list_steps,
    "at most one instance acts",
    lambda state, removed: len(list_acting(state, removed)) <= 1,
    (CHECK, FULL_WAIT, INHERIT, FROM_SENT, FORGET, TABLE_FIRST),
)
