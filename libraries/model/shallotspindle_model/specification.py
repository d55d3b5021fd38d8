"""A specification with the rules that can be removed from it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol

RemovedRules = frozenset[str]
Step = tuple[str, NamedTuple]


@dataclass(frozen=True, slots=True)
class Specification:
    """Transitions of a part of the protocol.

    :param list_steps: successors of a state by label, without the removed rules.
    :param rules: names of the rules; without any one of them, ``invariant`` fails.
    """

    name: str
    initial: NamedTuple
    list_steps: Callable[[Any, RemovedRules], list[Step]]
    invariant_name: str
    invariant: Callable[[Any, RemovedRules], bool]
    rules: tuple[str, ...]

    def build_protocol(self, removed_rules: RemovedRules = frozenset()) -> Protocol:
        """Return the protocol for the checker."""
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
