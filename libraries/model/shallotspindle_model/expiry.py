"""Takeover after the session expired, from a holder that may be paused for hours.

S holds a partition, U may receive it in a handover without the store, and V waits
until the session of S has expired. One tick is a quarter of the session timeout. A
pause of S, or a network failure between S and the store, is any sequence without steps
of S.
"""

from typing import NamedTuple

from shallotspindle_model.specification import RemovedRules, Specification, Step

SESSION_TIMEOUT_TICKS = 4
# The session timeout with the allowance for clock drift, rounded up to whole ticks.
TAKEOVER_WAIT_TICKS = 5
NONE = -1

# Names of the rules, as printed.
CHECK_AT_EACH_ACTION = "check of the session timeout at each action"
FULL_WAIT = "takeover only after the whole session timeout"
INHERITED_EXPIRY = "expiry of ownership that was handed over without the store"
TIMEOUT_FROM_SENDING = "session timeout from the sending of the renewal"
NEW_WRITE_AFTER_EXPIRY = "new write after the session expired"
COMPARE_AND_SWAP = "compare-and-swap after reading the session"


class State(NamedTuple):
    """State of S, U, V, the store and the messages in flight. Ages are in ticks.

    ``s_holds``, ``u_holds`` and ``v_holds`` say whether an instance regards itself as
    the holder. ``renewal_age`` is the time since S sent the last renewal that was
    acknowledged, ``pending_renewal_age`` the time since it sent the one whose response
    it waits for. ``unchanged_ticks`` is the time for which V has read the same counter.
    ``u_remaining_ticks`` is the time for which U may act on the session of S.

    ``s_write`` and ``v_write`` are delayed writes of the ownership table: "current", or
    "stale" once another write has changed the table, or "unexpected" if the session of
    S expired after the write was sent, so that S does not act on it.
    """

    is_store_up: bool = True
    s_holds: bool = True
    u_holds: bool = False
    v_holds: bool = False
    has_stopped_renewing: bool = False
    is_connected: bool = True
    renewal_age: int = 0
    pending_renewal_age: int = NONE
    is_renewal_stored: bool = False
    is_renewal_delayed: bool = False
    unchanged_ticks: int = NONE
    is_counter_changed: bool = False
    recorded_holder: str = "S"
    v_write: str = ""
    s_write: str = ""
    is_handover_in_flight: bool = False
    u_remaining_ticks: int = 0


def change_table(state: State, holder: str) -> State:
    """Return the state after a write of the ownership table took effect."""
    return state._replace(
        recorded_holder=holder,
        s_write=state.s_write and "stale",
        v_write=state.v_write and "stale",
    )


def tick(state: State) -> State:
    pending_renewal_age = state.pending_renewal_age
    unchanged_ticks = state.unchanged_ticks
    return state._replace(
        is_connected=False,
        renewal_age=min(SESSION_TIMEOUT_TICKS, state.renewal_age + 1),
        pending_renewal_age=pending_renewal_age
        if pending_renewal_age == NONE
        else min(SESSION_TIMEOUT_TICKS, pending_renewal_age + 1),
        unchanged_ticks=unchanged_ticks
        if unchanged_ticks == NONE
        else min(TAKEOVER_WAIT_TICKS, unchanged_ticks + 1),
        u_remaining_ticks=max(0, state.u_remaining_ticks - 1),
    )


def acknowledge_renewal(state: State, removed_rules: RemovedRules) -> State:
    """Return the state after S learned that its renewal took effect."""
    is_expired = (
        state.renewal_age == SESSION_TIMEOUT_TICKS
        and NEW_WRITE_AFTER_EXPIRY not in removed_rules
    )
    is_write_unexpected = is_expired and state.s_write == "current"
    return state._replace(
        s_holds=state.s_holds and not is_expired,
        s_write="unexpected" if is_write_unexpected else state.s_write,
        is_connected=True,
        renewal_age=0
        if TIMEOUT_FROM_SENDING in removed_rules
        else state.pending_renewal_age,
        pending_renewal_age=NONE,
        is_renewal_stored=False,
    )


def list_renewals(state: State, removed_rules: RemovedRules) -> list[Step]:
    steps = []
    if state.is_store_up and not state.has_stopped_renewing:
        pending_renewal_age = (
            0 if state.pending_renewal_age == NONE else state.pending_renewal_age
        )
        renewing = state._replace(pending_renewal_age=pending_renewal_age)
        stored = renewing._replace(is_renewal_stored=True, is_counter_changed=True)
        if state.is_renewal_stored:
            steps.append(("read back", acknowledge_renewal(state, removed_rules)))
        else:
            steps.append(("renew", acknowledge_renewal(stored, removed_rules)))
            steps.append(("renew, response lost", stored))
        if not state.is_renewal_stored and not state.is_renewal_delayed:
            steps.append(("renew, delayed", renewing._replace(is_renewal_delayed=True)))
    if state.is_renewal_delayed and state.is_store_up:
        is_first_arrival = (
            state.pending_renewal_age != NONE and not state.is_renewal_stored
        )
        after = state._replace(is_renewal_delayed=False)
        if is_first_arrival:
            after = after._replace(is_renewal_stored=True, is_counter_changed=True)
        steps.append(("renewal takes effect", after))
    return steps


def list_handovers(state: State) -> list[Step]:
    steps = []
    if (
        state.s_holds
        and not state.is_connected
        and state.renewal_age < SESSION_TIMEOUT_TICKS
        and not state.has_stopped_renewing
    ):
        handed_over = state._replace(
            s_holds=False,
            has_stopped_renewing=True,
            is_handover_in_flight=True,
            u_remaining_ticks=SESSION_TIMEOUT_TICKS - state.renewal_age,
        )
        steps.append(("hand over without the store", handed_over))
    if state.is_handover_in_flight:
        steps.append(("lose message", state._replace(is_handover_in_flight=False)))
        if state.u_remaining_ticks > 0 and state.recorded_holder == "S":
            steps.append(
                ("deliver", state._replace(is_handover_in_flight=False, u_holds=True))
            )
    if (
        state.is_store_up
        and state.u_holds
        and state.recorded_holder == "S"
        and state.u_remaining_ticks > 0
    ):
        after = change_table(state, "U")
        steps.append(("U records", after))
    return steps


def list_reclaims(state: State) -> list[Step]:
    """Return the steps in which S acquires its partition again after an expiry."""
    steps = []
    may_reclaim = (
        not state.s_holds
        and not state.has_stopped_renewing
        and state.recorded_holder == "S"
    )
    is_session_valid = state.is_connected and state.renewal_age < SESSION_TIMEOUT_TICKS
    if may_reclaim and is_session_valid and state.is_store_up and not state.s_write:
        steps.append(("reclaim", state._replace(s_write="current")))
    if state.is_store_up and state.s_write:
        after = state._replace(s_write="")
        if state.s_write != "stale":
            is_expired = (
                state.renewal_age == SESSION_TIMEOUT_TICKS or state.has_stopped_renewing
            )
            is_expected = state.s_write == "current" and not is_expired
            after = change_table(after, "S")._replace(s_holds=is_expected)
        steps.append(("reclaim takes effect", after))
    return steps


def list_takeovers(state: State, removed_rules: RemovedRules) -> list[Step]:
    steps = []
    if state.is_store_up and state.recorded_holder == "S":
        is_new_counter = state.is_counter_changed or state.unchanged_ticks == NONE
        age = 0 if is_new_counter else state.unchanged_ticks
        observed = state._replace(is_counter_changed=False, unchanged_ticks=age)
        if observed != state:
            steps.append(("V reads session", observed))
        wait = (
            SESSION_TIMEOUT_TICKS - 1
            if FULL_WAIT in removed_rules
            else TAKEOVER_WAIT_TICKS
        )
        if age >= wait and not state.v_write:
            writing = observed._replace(v_write="current")
            steps.append(("V takes over", writing))
    if state.is_store_up and state.v_write:
        after = state._replace(v_write="")
        if state.v_write == "current" or COMPARE_AND_SWAP in removed_rules:
            after = change_table(after, "V")._replace(v_holds=True)
        steps.append(("takeover takes effect", after))
    return steps


def list_steps(state: State, removed_rules: RemovedRules) -> list[Step]:
    if (
        state.v_holds
        and not state.v_write
        and state.recorded_holder == "V"
        and not state.u_holds
    ):
        # Only time and late renewals have an effect once V holds the partition.
        remaining_steps = [("tick", tick(state)), *list_renewals(state, removed_rules)]
        return remaining_steps if state.s_holds else []
    return [
        ("tick", tick(state)),
        ("store", state._replace(is_store_up=not state.is_store_up)),
        *list_renewals(state, removed_rules),
        *list_handovers(state),
        *list_reclaims(state),
        *list_takeovers(state, removed_rules),
    ]


def list_acting(state: State, removed_rules: RemovedRules = frozenset()) -> list[str]:
    is_u_entitled = (
        state.recorded_holder == "U"
        or state.u_remaining_ticks > 0
        or INHERITED_EXPIRY in removed_rules
    )
    acting = {
        "S": state.s_holds
        and (
            state.renewal_age < SESSION_TIMEOUT_TICKS
            or CHECK_AT_EACH_ACTION in removed_rules
        ),
        "U": state.u_holds and is_u_entitled,
        "V": state.v_holds,
    }
    return [name for name, acts in acting.items() if acts]


SPECIFICATION = Specification(
    "takeover after session expiry",
    State(),
    list_steps,
    "at most one instance acts",
    lambda state, removed_rules: len(list_acting(state, removed_rules)) <= 1,
    (
        CHECK_AT_EACH_ACTION,
        FULL_WAIT,
        INHERITED_EXPIRY,
        TIMEOUT_FROM_SENDING,
        NEW_WRITE_AFTER_EXPIRY,
        COMPARE_AND_SWAP,
    ),
)
