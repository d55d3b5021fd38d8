"""Tokens of one share of a rate limit while its partition changes its holder.

S holds the share with a full bucket. U receives it in a handover, V in a takeover. The
bucket is not refilled, so that every token beyond the burst is created in error.
"""

from typing import NamedTuple

from shallotspindle_model.specification import RemovedRules, Specification, Step

BURST = 2
HOLDERS = ("S", "U", "V")

EMPTY_AFTER_TAKEOVER = "empty bucket after a takeover"
STOP_BEFORE_HANDOVER = "stop granting before the handover"
ACCEPT_ONCE = "accepting each handover once"
DEDUCT_GRANTS = "deducting grants from the bucket"


class State(NamedTuple):
    """State of the holders and of all tokens.

    ``handover_tokens`` is the content of the handover in flight to U and
    ``repeated_handover_tokens`` that of a second delivery, -1 for none. ``prefetched``
    counts unused tokens at other instances, ``admitted`` the requests.
    """

    tokens: tuple = (BURST, 0, 0)
    is_acting: tuple = (True, False, False)
    handover_tokens: int = -1
    repeated_handover_tokens: int = -1
    prefetched: int = 0
    admitted: int = 0


def replace_item(items: tuple, index: int, item) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def list_token_uses(state: State, removed_rules: RemovedRules) -> list[Step]:
    steps = []
    for index, holder in enumerate(HOLDERS):
        if not state.is_acting[index] or not state.tokens[index]:
            continue
        spent = state._replace(
            tokens=replace_item(state.tokens, index, state.tokens[index] - 1)
        )
        admitted = spent._replace(admitted=state.admitted + 1)
        steps.append((f"{holder} admits", admitted))
        after_grant = state if DEDUCT_GRANTS in removed_rules else spent
        if state.prefetched < BURST:
            steps.append(
                (
                    f"{holder} grants",
                    after_grant._replace(prefetched=state.prefetched + 1),
                )
            )
        steps.append((f"grant of {holder} is lost", spent))
    if state.prefetched:
        after_use = state._replace(prefetched=state.prefetched - 1)
        steps.append(("use grant", after_use._replace(admitted=state.admitted + 1)))
        steps.append(("grant expires", after_use))
    return steps


def list_holder_changes(state: State, removed_rules: RemovedRules) -> list[Step]:
    steps = []
    if state.is_acting[0]:
        stopped = state._replace(
            tokens=replace_item(state.tokens, 0, 0),
            is_acting=replace_item(state.is_acting, 0, False),
        )
        sender = state if STOP_BEFORE_HANDOVER in removed_rules else stopped
        tokens = state.tokens[0]
        if state.handover_tokens < 0:
            steps.append(
                (
                    "hand over",
                    sender._replace(
                        handover_tokens=tokens, repeated_handover_tokens=tokens
                    ),
                )
            )
        steps.append(("crash", stopped))
    if state.handover_tokens >= 0:
        lost = state._replace(handover_tokens=-1)
        steps.append(("lose message", lost))
        steps.append(("deliver", accept_handover(lost, state.handover_tokens)))
    elif state.repeated_handover_tokens >= 0 and (
        ACCEPT_ONCE in removed_rules or not state.is_acting[1]
    ):
        steps.append(
            ("deliver again", accept_handover(state, state.repeated_handover_tokens))
        )
    has_no_holder = (
        not any(state.is_acting)
        and state.handover_tokens < 0
        and state.repeated_handover_tokens < 0
    )
    if has_no_holder:
        tokens = BURST if EMPTY_AFTER_TAKEOVER in removed_rules else 0
        taken_over = state._replace(
            tokens=replace_item(state.tokens, 2, tokens),
            is_acting=replace_item(state.is_acting, 2, True),
        )
        steps.append(("V takes over", taken_over))
    if state.repeated_handover_tokens >= 0:
        steps.append(("lose copy", state._replace(repeated_handover_tokens=-1)))
    return steps


def accept_handover(state: State, tokens: int) -> State:
    """Return the state after U received the share."""
    return state._replace(
        tokens=replace_item(state.tokens, 1, tokens),
        is_acting=replace_item(state.is_acting, 1, True),
    )


def list_steps(state: State, removed_rules: RemovedRules) -> list[Step]:
    if state.admitted > BURST:
        return []
    return [
        *list_token_uses(state, removed_rules),
        *list_holder_changes(state, removed_rules),
    ]


def count_tokens(state: State) -> int:
    """Return the number of tokens that exist or were used."""
    unused = sum(state.tokens) + max(0, state.handover_tokens)
    return unused + state.prefetched + state.admitted


SPECIFICATION = Specification(
    "tokens of a rate limit share",
    State(),
    list_steps,
    "no token is created",
    lambda state, _: count_tokens(state) <= BURST,
    (EMPTY_AFTER_TAKEOVER, STOP_BEFORE_HANDOVER, ACCEPT_ONCE, DEDUCT_GRANTS),
)
