"""Tokens of one share while its partition moves.

S holds the share with a full bucket, U gets it by consent and V by a take-over. The
bucket is not refilled, so that every token beyond the burst is a made one.
"""

from typing import NamedTuple

from shallotspindle_model.specification import Removed, Specification, Step

BURST = 2
HOLDERS = ("S", "U", "V")

EMPTY = "empty bucket after a take-over"
STOP_FIRST = "stop before the hand-over"
ONCE = "one acceptance of a hand-over"
COUNTED = "grants are taken from the bucket"


class State(NamedTuple):
    """``message`` holds the tokens on their way to U, ``copy`` a repeated message,
    ``granted`` unused tokens of other instances."""

    tokens: tuple = (BURST, 0, 0)
    acts: tuple = (True, False, False)
    message: int = -1
    copy: int = -1
    granted: int = 0
    admitted: int = 0


def put(items: tuple, index: int, item) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def list_uses(state: State, removed: Removed) -> list[Step]:
    steps = []
    for index, holder in enumerate(HOLDERS):
        if not state.acts[index] or not state.tokens[index]:
            continue
        spent = state._replace(tokens=put(state.tokens, index, state.tokens[index] - 1))
        admitted = spent._replace(admitted=state.admitted + 1)
        steps.append((f"{holder} admits", admitted))
        base = state if COUNTED in removed else spent
        if state.granted < BURST:
            steps.append((f"{holder} grants", base._replace(granted=state.granted + 1)))
        steps.append((f"grant of {holder} is lost", spent))
    if state.granted:
        rest = state._replace(granted=state.granted - 1)
        steps.append(("use grant", rest._replace(admitted=state.admitted + 1)))
        steps.append(("grant expires", rest))
    return steps


def list_moves(state: State, removed: Removed) -> list[Step]:
    steps = []
    if state.acts[0]:
        stopped = state._replace(
            tokens=put(state.tokens, 0, 0), acts=put(state.acts, 0, False)
        )
        sender = state if STOP_FIRST in removed else stopped
        tokens = state.tokens[0]
        if state.message < 0:
            steps.append(("hand over", sender._replace(message=tokens, copy=tokens)))
        steps.append(("crash", stopped))
    if state.message >= 0:
        lost = state._replace(message=-1)
        steps.append(("lose message", lost))
        steps.append(("deliver", accept(lost, state.message)))
    elif state.copy >= 0 and (ONCE in removed or not state.acts[1]):
        steps.append(("deliver again", accept(state, state.copy)))
    ended = not any(state.acts) and state.message < 0 and state.copy < 0
    if ended:
        tokens = BURST if EMPTY in removed else 0
        taken = state._replace(
            tokens=put(state.tokens, 2, tokens), acts=put(state.acts, 2, True)
        )
        steps.append(("V takes over", taken))
    if state.copy >= 0:
        steps.append(("lose copy", state._replace(copy=-1)))
    return steps


def accept(state: State, tokens: int) -> State:
    """U takes the share."""
    return state._replace(
        tokens=put(state.tokens, 1, tokens), acts=put(state.acts, 1, True)
    )


def list_steps(state: State, removed: Removed) -> list[Step]:
    if state.admitted > BURST:
        return []
    return [*list_uses(state, removed), *list_moves(state, removed)]


def count_tokens(state: State) -> int:
    """Return all tokens that exist or were used."""
    held = sum(state.tokens) + max(0, state.message)
    return held + state.granted + state.admitted


SPECIFICATION = Specification(
    "tokens of a share",
    State(),
    list_steps,
    "no token is made",
    lambda state, _: count_tokens(state) <= BURST,
    (EMPTY, STOP_FIRST, ONCE, COUNTED),
)
