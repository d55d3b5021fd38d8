"""Checks every specification, and each variant of it that lacks one rule.

The invariant of a specification has to hold in all reachable states. In every variant
the checker has to find a counterexample; otherwise the removed rule is unnecessary, or
the model does not cover the fault that the rule prevents.
"""

import sys

from minicheck import check_safety

from shallotspindle_model import bundles, claims, expiry, race, shares, termination
from shallotspindle_model.specification import Specification

MAX_STATES = 300_000

SPECIFICATIONS = tuple(
    module.SPECIFICATION
    for module in (termination, expiry, race, claims, shares, bundles)
)


def check(specification: Specification) -> bool:
    """Check a specification; print and return whether its invariant holds."""
    result = check_safety(specification.build_protocol(), max_states=MAX_STATES)
    found = result["properties"][specification.invariant_name]
    holds = found["holds"] is True
    verdict = "holds" if holds else "DOES NOT HOLD"
    states = result["reachable_states"]
    invariant_name = specification.invariant_name
    print(f"{specification.name}: {states} states, '{invariant_name}' {verdict}")
    return holds


def refute(specification: Specification, rule: str) -> bool:
    """Check the variant without a rule; print and return whether it is refuted."""
    protocol = specification.build_protocol(frozenset({rule}))
    result = check_safety(protocol, max_states=MAX_STATES)
    found = result["properties"][specification.invariant_name]
    refuted = found["holds"] is False
    if refuted:
        steps = len(found["counterexample"]) - 1
        print(f"  without '{rule}': refuted in {steps} steps")
    else:
        print(f"  without '{rule}': NOT REFUTED")
    return refuted


def main() -> int:
    """Return 0 if all specifications hold and all variants are refuted, else 1."""
    holding_count, variant_count, refuted_count = 0, 0, 0
    for specification in SPECIFICATIONS:
        holding_count += check(specification)
        for rule in specification.rules:
            variant_count += 1
            refuted_count += refute(specification, rule)
    print(f"{variant_count} variants, {refuted_count} refuted")
    return (
        0
        if holding_count == len(SPECIFICATIONS) and refuted_count == variant_count
        else 1
    )


if __name__ == "__main__":
    sys.exit(main())
