"""Takeover by proof of termination.

S holds a partition, U may receive it in a handover, and V observes the session of S.
One tick is half of the connected period. A pause of S, or a network failure between S
and the store, is any sequence without steps of S; a network failure from S to U is a
sequence of lost messages.
"""

from typing import NamedTuple

from shallotspindle_model.specification import RemovedRules, Specification, Step

CONNECTED_TICKS = 2
MAX_COUNTER = 3
NONE = -1

# Names of the rules, as printed. A recorded handover is one that the ownership table
# contains.
COMPARE_AND_SWAP = "compare-and-swap"
RECENT_COUNTER = "recent read of an older counter"
COUNTER_BEFORE_LAST = "older counter at least two below the latest"
PLATFORM_LIST = "absence from the platform list"
NO_RENEWAL_AFTER_HANDOVER = "no renewal after an unrecorded handover"
ONLY_RECORDED_HANDOVERS = "only recorded handovers in the connected period"
STOP_BEFORE_HANDOVER = "stop acting before the handover"


class State(NamedTuple):
    """State of S, U, V, the store and the messages in flight. Ages are in ticks.

    ``s_holds``, ``u_holds`` and ``v_holds`` say whether an instance regards itself as
    the holder. ``ack_age`` is the time since the last acknowledged renewal, and
    ``acked_counter`` its counter. ``delayed_counter`` is the counter of a delayed
    renewal, 0 for none. ``read_ages`` holds the time since V read each counter.
    ``s_write`` and ``v_write`` are delayed writes of the ownership table, given by the
    revision that they expect. ``handover`` is "recorded" or "unrecorded" (in the
    ownership table) while a handover is in flight to U. ``has_u_waited`` says whether a
    tick has passed while the table names U as the holder.
    """

    is_store_up: bool = True
    is_s_alive: bool = True
    is_s_listed: bool = True
    s_holds: bool = True
    u_holds: bool = False
    v_holds: bool = False
    has_stopped_renewing: bool = False
    ack_age: int = 0
    acked_counter: int = 1
    stored_counter: int = 1
    delayed_counter: int = 0
    counter_read_by_v: int = 0
    read_ages: tuple = (CONNECTED_TICKS,) * MAX_COUNTER
    recorded_holder: str = "S"
    revision: int = 0
    s_write: int = NONE
    v_write: int = NONE
    handover: str = ""
    has_u_waited: bool = False


def tick(state: State) -> State:
    return state._replace(
        ack_age=min(CONNECTED_TICKS, state.ack_age + 1),
        read_ages=tuple(min(CONNECTED_TICKS, age + 1) for age in state.read_ages),
        has_u_waited=state.recorded_holder == "U",
    )


def list_faults(state: State) -> list[Step]:
    steps = [
        ("tick", tick(state)),
        ("store", state._replace(is_store_up=not state.is_store_up)),
    ]
    if state.is_s_alive:
        steps.append(("crash", state._replace(is_s_alive=False)))
    elif state.is_s_listed:
        steps.append(("unlist", state._replace(is_s_listed=False)))
    if state.handover:
        steps.append(("lose message", state._replace(handover="")))
    return steps


def list_renewals(state: State, removed_rules: RemovedRules) -> list[Step]:
    steps = []
    may_renew = (
        NO_RENEWAL_AFTER_HANDOVER in removed_rules or not state.has_stopped_renewing
    )
    counter = state.acked_counter + 1
    if state.is_s_alive and may_renew and state.is_store_up and counter <= MAX_COUNTER:
        if state.stored_counter < counter:
            written = state._replace(stored_counter=counter)
            acknowledged = written._replace(acked_counter=counter, ack_age=0)
            steps.append(("renew", acknowledged))
            steps.append(("renew, response lost", written))
            if not state.delayed_counter:
                steps.append(
                    ("renew, delayed", state._replace(delayed_counter=counter))
                )
        else:
            read_back = state._replace(acked_counter=state.stored_counter, ack_age=0)
            steps.append(("read back", read_back))
    if state.delayed_counter:
        steps.append(("lose renewal", state._replace(delayed_counter=0)))
    if state.delayed_counter and state.is_store_up:
        is_next_counter = state.delayed_counter == state.stored_counter + 1
        stored_counter = (
            state.delayed_counter if is_next_counter else state.stored_counter
        )
        applied = state._replace(delayed_counter=0, stored_counter=stored_counter)
        steps.append(("renewal takes effect", applied))
    return steps


def list_handovers(state: State, removed_rules: RemovedRules) -> list[Step]:
    steps = []
    keeps_holding = STOP_BEFORE_HANDOVER in removed_rules
    may_hand_over = state.is_s_alive and state.s_holds and not state.handover
    if (
        may_hand_over
        and state.ack_age < CONNECTED_TICKS
        and state.is_store_up
        and state.recorded_holder == "S"
    ):
        stopped = state._replace(s_holds=keeps_holding)
        recorded = stopped._replace(
            recorded_holder="U", revision=state.revision + 1, handover="recorded"
        )
        steps.append(("hand over", recorded))
        if state.s_write == NONE:
            delayed = stopped._replace(s_write=state.revision)
            steps.append(("hand over, delayed", delayed))
    if may_hand_over and (
        state.ack_age == CONNECTED_TICKS or ONLY_RECORDED_HANDOVERS in removed_rules
    ):
        sent = state._replace(
            s_holds=keeps_holding, has_stopped_renewing=True, handover="unrecorded"
        )
        steps.append(("hand over without the store", sent))
    if (
        state.is_store_up
        and state.handover == "recorded"
        and state.recorded_holder == "U"
    ):
        steps.append(("deliver", state._replace(handover="", u_holds=True)))
    if state.handover == "unrecorded" and state.recorded_holder == "S":
        steps.append(("deliver", state._replace(handover="", u_holds=True)))
    if state.is_store_up and state.recorded_holder == "U" and state.has_u_waited:
        steps.append(("U reads table", state._replace(u_holds=True)))
    if state.is_store_up and state.u_holds and state.recorded_holder == "S":
        recorded_by_u = state._replace(recorded_holder="U", revision=state.revision + 1)
        steps.append(("U records", recorded_by_u))
    if state.s_write != NONE and state.is_store_up:
        after = state._replace(s_write=NONE)
        if state.s_write == state.revision:
            after = after._replace(recorded_holder="U", revision=state.revision + 1)
        steps.append(("handover takes effect", after))
    return steps


def read_session(state: State) -> State:
    """Return the state after V read the session of S."""
    ages = list(state.read_ages)
    ages[state.stored_counter - 1] = 0
    return state._replace(counter_read_by_v=state.stored_counter, read_ages=tuple(ages))


def proves_termination(state: State, removed_rules: RemovedRules) -> bool:
    if state.is_s_listed and PLATFORM_LIST not in removed_rules:
        return False
    counter_distance = 1 if COUNTER_BEFORE_LAST in removed_rules else 2
    older_read_ages = state.read_ages[
        : max(0, state.counter_read_by_v - counter_distance)
    ]
    return RECENT_COUNTER in removed_rules or any(
        age < CONNECTED_TICKS for age in older_read_ages
    )


def list_takeovers(state: State, removed_rules: RemovedRules) -> list[Step]:
    steps = []
    if state.is_store_up:
        observed = read_session(state)
        steps.append(("V reads session", observed))
        is_terminated = proves_termination(observed, removed_rules)
        if is_terminated and state.recorded_holder == "S" and state.v_write == NONE:
            writing = observed._replace(v_write=state.revision)
            steps.append(("V takes over", writing))
    if state.is_store_up and state.v_write != NONE:
        after = state._replace(v_write=NONE)
        if COMPARE_AND_SWAP in removed_rules or state.v_write == state.revision:
            after = after._replace(
                recorded_holder="V", revision=state.revision + 1, v_holds=True
            )
        steps.append(("takeover takes effect", after))
    return steps


def list_steps(state: State, removed_rules: RemovedRules) -> list[Step]:
    if state.v_holds and state.u_holds and state.is_s_alive:
        return []
    return [
        *list_faults(state),
        *list_renewals(state, removed_rules),
        *list_handovers(state, removed_rules),
        *list_takeovers(state, removed_rules),
    ]


def list_acting(state: State) -> list[str]:
    acting = {
        "S": state.s_holds and state.is_s_alive,
        "U": state.u_holds,
        "V": state.v_holds,
    }
    return [name for name, acts in acting.items() if acts]


SPECIFICATION = Specification(
    "takeover by proof of termination",
    State(),
    list_steps,
    "at most one instance acts",
    lambda state, _: len(list_acting(state)) <= 1,
    (
        COMPARE_AND_SWAP,
        RECENT_COUNTER,
        COUNTER_BEFORE_LAST,
        PLATFORM_LIST,
        NO_RENEWAL_AFTER_HANDOVER,
        ONLY_RECORDED_HANDOVERS,
        STOP_BEFORE_HANDOVER,
    ),
)
