"""Specification of a part of the protocol, with rules that can be removed."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol

RemovedRules = frozenset[str]
Step = tuple[str, NamedTuple]


@dataclass(frozen=True, slots=True)
class Specification:
    """State machine of a part of the protocol, with its invariant.

    :param list_steps: returns the labels and successors of a state when the given
        rules are removed.
    :param invariant: returns whether a state is permitted when the given rules are
        removed.
    :param rules: names of the rules; without any one of them, the invariant fails in
        some reachable state.
    """

    name: str
    initial: NamedTuple
    list_steps: Callable[[Any, RemovedRules], list[Step]]
    invariant_name: str
    invariant: Callable[[Any, RemovedRules], bool]
    rules: tuple[str, ...]

    def build_protocol(self, removed_rules: RemovedRules = frozenset()) -> Protocol:
        """Return the specification without some rules, in the form of the checker."""
        state_type = type(self.initial)
        return Protocol(
            name=" without ".join([self.name, *sorted(removed_rules)]),
            candidate=False,
            fields=state_type._fields,
            initial=self.initial,
            transitions=lambda state: self.list_steps(state, removed_rules),
            invariants={
                self.invariant_name: lambda fields: self.invariant(
                    state_type(**fields), removed_rules
                )
            },
        )
