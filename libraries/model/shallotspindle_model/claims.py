"""Claims of one idempotency key while its partition changes its holder.

S holds the partition and may be disconnected from the store. U receives it in a
handover, V in a takeover. Three attempts of a request with the key are sent to
whichever instance responds.
"""

from typing import NamedTuple

from shallotspindle_model.specification import RemovedRules, Specification, Step

HOLDERS = ("S", "U", "V")
ATTEMPTS = (1, 2, 3)

# Names of the rules, as printed.
TAKEOVER_PROOF = "proof before a takeover"
QUARANTINE = "quarantine after a takeover"
OWNERSHIP_CHECK = "check of the ownership at each claim"
EXPORT_AFTER_LAST_CLAIM = "export after the last claim"
ATTEMPT_NUMBER = "attempt number in the report of an abandoned claim"


class State(NamedTuple):
    """State of the holders and the attempts.

    ``is_acting`` says whether a holder may grant claims, ``is_holder`` whether it still
    regards itself as the holder: S does after its session timed out, until it checks.
    ``granted_attempts`` holds the attempt that each holder granted, 0 for none.
    ``exported_attempt`` and ``handover_attempt`` are the same for the state that S
    exported early and for the handover in flight to U, -1 for no such state.
    ``is_quarantined`` says whether V has to wait with grants after its takeover.
    """

    is_acting: tuple = (True, False, False)
    is_holder: tuple = (True, False, False)
    granted_attempts: tuple = (0, 0, 0)
    attempt_states: tuple = ("idle", "idle", "idle")
    exported_attempt: int = -1
    handover_attempt: int = -1
    is_quarantined: bool = False


def replace_item(items: tuple, index: int, item) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def list_claims(state: State, removed_rules: RemovedRules) -> list[Step]:
    steps = []
    for index, holder in enumerate(HOLDERS):
        may_grant = state.is_acting[index]
        if OWNERSHIP_CHECK in removed_rules:
            may_grant = state.is_holder[index]
        if not may_grant or state.granted_attempts[index]:
            continue
        if holder == "V" and state.is_quarantined:
            continue
        for attempt in ATTEMPTS:
            if state.attempt_states[attempt - 1] == "idle":
                granted = state._replace(
                    granted_attempts=replace_item(
                        state.granted_attempts, index, attempt
                    ),
                    attempt_states=replace_item(
                        state.attempt_states, attempt - 1, "granted"
                    ),
                )
                steps.append((f"{holder} grants {attempt}", granted))
    return steps


def list_abandon_reports(state: State, removed_rules: RemovedRules) -> list[Step]:
    """Return the steps of reports about abandoned attempts.

    A report may arrive late and more than once.
    """
    steps = []
    for attempt in ATTEMPTS:
        attempt_state = state.attempt_states[attempt - 1]
        if attempt_state == "granted":
            attempt_states = replace_item(
                state.attempt_states, attempt - 1, "abandoned"
            )
            steps.append(
                (f"abandon {attempt}", state._replace(attempt_states=attempt_states))
            )
        if attempt_state != "abandoned":
            continue
        for index, holder in enumerate(HOLDERS):
            is_same_attempt = (
                state.granted_attempts[index] == attempt
                or ATTEMPT_NUMBER in removed_rules
            )
            if (
                state.is_acting[index]
                and state.granted_attempts[index]
                and is_same_attempt
            ):
                granted_attempts = replace_item(state.granted_attempts, index, 0)
                label = f"{holder} releases {attempt}"
                steps.append((label, state._replace(granted_attempts=granted_attempts)))
    return steps


def list_holder_changes(state: State, removed_rules: RemovedRules) -> list[Step]:
    steps = []
    if state.is_acting[0]:
        stopped = state._replace(is_acting=replace_item(state.is_acting, 0, False))
        sent = stopped._replace(
            handover_attempt=state.granted_attempts[0],
            is_holder=replace_item(state.is_holder, 0, False),
        )
        steps.append(("hand over", sent))
        steps.append(
            (
                "crash",
                stopped._replace(is_holder=replace_item(state.is_holder, 0, False)),
            )
        )
        steps.append(("session times out", stopped))
        if EXPORT_AFTER_LAST_CLAIM in removed_rules and state.exported_attempt < 0:
            steps.append(
                ("export", state._replace(exported_attempt=state.granted_attempts[0]))
            )
        if state.exported_attempt >= 0:
            steps.append(
                ("hand over", sent._replace(handover_attempt=state.exported_attempt))
            )
    if state.handover_attempt >= 0:
        steps.append(("lose message", state._replace(handover_attempt=-1)))
        taken_over = state._replace(
            handover_attempt=-1,
            granted_attempts=replace_item(
                state.granted_attempts, 1, state.handover_attempt
            ),
            is_acting=replace_item(state.is_acting, 1, True),
            is_holder=replace_item(state.is_holder, 1, True),
        )
        steps.append(("deliver", taken_over))
    has_no_holder = not any(state.is_acting) and state.handover_attempt < 0
    if not state.is_holder[2] and (has_no_holder or TAKEOVER_PROOF in removed_rules):
        taken_over = state._replace(
            is_acting=replace_item(state.is_acting, 2, True),
            is_holder=replace_item(state.is_holder, 2, True),
            is_quarantined=QUARANTINE not in removed_rules,
        )
        steps.append(("V takes over", taken_over))
    if state.is_quarantined:
        # All requests that were granted before the takeover have ended by now.
        attempt_states = tuple(
            "done" if attempt_state == "granted" else attempt_state
            for attempt_state in state.attempt_states
        )
        steps.append(
            (
                "retention period ends",
                state._replace(is_quarantined=False, attempt_states=attempt_states),
            )
        )
    return steps


def list_steps(state: State, removed_rules: RemovedRules) -> list[Step]:
    return [
        *list_claims(state, removed_rules),
        *list_abandon_reports(state, removed_rules),
        *list_holder_changes(state, removed_rules),
    ]


SPECIFICATION = Specification(
    "claims of an idempotency key",
    State(),
    list_steps,
    "a key is granted at most once",
    lambda state, _: state.attempt_states.count("granted") <= 1,
    (
        TAKEOVER_PROOF,
        QUARANTINE,
        OWNERSHIP_CHECK,
        EXPORT_AFTER_LAST_CLAIM,
        ATTEMPT_NUMBER,
    ),
)
