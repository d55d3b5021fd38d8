"""Versions of the bundle in the store and at two instances.

Two operators publish bundles. Messages with a version may arrive late, more than once
or never.
"""

from typing import NamedTuple

from shallotspindle_model.specification import RemovedRules, Specification, Step

MAX_VERSION = 3

ONLY_HIGHER_VERSIONS = "only higher versions become active"
COMPARE_AND_SWAP = "compare-and-swap of the manifest"


class State(NamedTuple):
    """Versions in the store, at the operators, at the instances and in messages.

    ``operator_reads`` holds the version that each operator read before it writes, -1
    for none. ``sent_versions`` are in messages that may arrive at any time.
    ``has_violation`` says whether a version decreased or was used twice.
    """

    is_store_up: bool = True
    stored_version: int = 0
    highest_version: int = 0
    operator_reads: tuple = (-1, -1)
    instance_versions: tuple = (0, 0)
    sent_versions: frozenset = frozenset()
    has_violation: bool = False


def replace_item(items: tuple, index: int, item) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def list_writes(state: State, removed_rules: RemovedRules) -> list[Step]:
    steps = []
    for index, read_version in enumerate(state.operator_reads):
        if read_version < 0:
            reading = state._replace(
                operator_reads=replace_item(
                    state.operator_reads, index, state.stored_version
                )
            )
            steps.append((f"operator {index} reads", reading))
            continue
        finished = state._replace(
            operator_reads=replace_item(state.operator_reads, index, -1)
        )
        steps.append((f"operator {index} gives up", finished))
        if read_version == MAX_VERSION or (
            read_version != state.stored_version
            and COMPARE_AND_SWAP not in removed_rules
        ):
            continue
        written = state._replace(
            stored_version=read_version + 1,
            highest_version=max(state.highest_version, read_version + 1),
            has_violation=state.has_violation
            or read_version + 1 <= state.highest_version,
        )
        steps.append((f"operator {index} writes, response lost", written))
        after = written._replace(operator_reads=finished.operator_reads)
        steps.append((f"operator {index} writes", after))
    return steps


def list_messages(state: State, removed_rules: RemovedRules) -> list[Step]:
    steps = []
    known_versions = {
        *state.instance_versions,
        *([state.stored_version] if state.is_store_up else []),
    }
    for version in known_versions - state.sent_versions:
        sent_versions = state.sent_versions | {version}
        steps.append((f"send {version}", state._replace(sent_versions=sent_versions)))
    for index, current_version in enumerate(state.instance_versions):
        for version in state.sent_versions:
            if version > current_version or ONLY_HIGHER_VERSIONS in removed_rules:
                after = state._replace(
                    instance_versions=replace_item(
                        state.instance_versions, index, version
                    ),
                    has_violation=state.has_violation or version < current_version,
                )
                steps.append((f"instance {index} learns {version}", after))
    return steps


def list_steps(state: State, removed_rules: RemovedRules) -> list[Step]:
    writes = list_writes(state, removed_rules) if state.is_store_up else []
    store_change = ("store", state._replace(is_store_up=not state.is_store_up))
    return [store_change, *writes, *list_messages(state, removed_rules)]


SPECIFICATION = Specification(
    "versions of the bundle",
    State(),
    list_steps,
    "no version decreases or is used twice",
    lambda state, _: not state.has_violation,
    (ONLY_HIGHER_VERSIONS, COMPARE_AND_SWAP),
)
