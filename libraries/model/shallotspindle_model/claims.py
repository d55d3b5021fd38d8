"""Claims of one key by several instances while its partition moves.

S holds the partition and may be cut off from the store. U gets it by consent, V by
a take-over. Three attempts of the key go to whichever instance answers.
"""

from typing import NamedTuple

from shallotspindle_model.specification import Removed, Specification, Step

HOLDERS = ("S", "U", "V")
ATTEMPTS = (1, 2, 3)

PROOF = "proof before a take-over"
QUARANTINE = "quarantine after a take-over"
ENTITLED = "check of the right at each claim"
STOP_FIRST = "export after the last claim"
NAMED = "attempt number in an abandoned claim"


class State(NamedTuple):
    """``attempts`` holds the state of each attempt, ``ledgers`` the granted attempt
    at each holder, and ``message`` the ledger that is on its way to U."""

    acts: tuple = (True, False, False)
    held: tuple = (True, False, False)
    ledgers: tuple = (0, 0, 0)
    attempts: tuple = ("idle", "idle", "idle")
    exported: int = -1
    message: int = -1
    quarantine: bool = False


def put(items: tuple, index: int, item) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def list_claims(state: State, removed: Removed) -> list[Step]:
    steps = []
    for index, holder in enumerate(HOLDERS):
        answers = state.acts[index]
        if ENTITLED in removed:
            answers = state.held[index]
        if not answers or state.ledgers[index]:
            continue
        if holder == "V" and state.quarantine:
            continue
        for attempt in ATTEMPTS:
            if state.attempts[attempt - 1] == "idle":
                granted = state._replace(
                    ledgers=put(state.ledgers, index, attempt),
                    attempts=put(state.attempts, attempt - 1, "granted"),
                )
                steps.append((f"{holder} grants {attempt}", granted))
    return steps


def list_abandons(state: State, removed: Removed) -> list[Step]:
    """Reports of abandoned attempts arrive late and several times."""
    steps = []
    for attempt in ATTEMPTS:
        found = state.attempts[attempt - 1]
        if found == "granted":
            gone = put(state.attempts, attempt - 1, "abandoned")
            steps.append((f"abandon {attempt}", state._replace(attempts=gone)))
        if found != "abandoned":
            continue
        for index, holder in enumerate(HOLDERS):
            same = state.ledgers[index] == attempt or NAMED in removed
            if state.acts[index] and state.ledgers[index] and same:
                freed = put(state.ledgers, index, 0)
                label = f"{holder} frees {attempt}"
                steps.append((label, state._replace(ledgers=freed)))
    return steps


def list_moves(state: State, removed: Removed) -> list[Step]:
    steps = []
    if state.acts[0]:
        stopped = state._replace(acts=put(state.acts, 0, False))
        sent = stopped._replace(
            message=state.ledgers[0], held=put(state.held, 0, False)
        )
        steps.append(("hand over", sent))
        steps.append(("crash", stopped._replace(held=put(state.held, 0, False))))
        steps.append(("horizon passes", stopped))
        if STOP_FIRST in removed and state.exported < 0:
            steps.append(("export", state._replace(exported=state.ledgers[0])))
        if state.exported >= 0:
            steps.append(("hand over", sent._replace(message=state.exported)))
    if state.message >= 0:
        steps.append(("lose message", state._replace(message=-1)))
        taken = state._replace(
            message=-1,
            ledgers=put(state.ledgers, 1, state.message),
            acts=put(state.acts, 1, True),
            held=put(state.held, 1, True),
        )
        steps.append(("deliver", taken))
    ended = not any(state.acts) and state.message < 0
    if not state.held[2] and (ended or PROOF in removed):
        taken = state._replace(
            acts=put(state.acts, 2, True),
            held=put(state.held, 2, True),
            quarantine=QUARANTINE not in removed,
        )
        steps.append(("V takes over", taken))
    if state.quarantine:
        # All requests that were granted before have ended.
        done = tuple("done" if a == "granted" else a for a in state.attempts)
        steps.append(
            ("retention passes", state._replace(quarantine=False, attempts=done))
        )
    return steps


def list_steps(state: State, removed: Removed) -> list[Step]:
    return [
        *list_claims(state, removed),
        *list_abandons(state, removed),
        *list_moves(state, removed),
    ]


SPECIFICATION = Specification(
    "claims of a key",
    State(),
    list_steps,
    "a key is granted at most once",
    lambda state, _: state.attempts.count("granted") <= 1,
    (PROOF, QUARANTINE, ENTITLED, STOP_FIRST, NAMED),
)
