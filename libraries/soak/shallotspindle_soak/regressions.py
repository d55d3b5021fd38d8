"""Seeds that ever failed, with their cause; played again with each set of seeds."""

from dataclasses import dataclass

from shallotspindle_soak.faults import Fault


@dataclass(frozen=True, slots=True)
class Regression:
    """A seed that broke a promise before its cause was mended.

    :param cause: what was wrong in the product.
    :param without: kinds of fault that came later; with them the seed draws others.
    """

    seed: int
    cause: str
    without: frozenset[Fault] = frozenset()


REGRESSIONS = (
    Regression(
        109,
        "an instance believed in rights that ended, during an outage of the store, "
        "before it had heard of its own write",
        frozenset({Fault.CUT_PEERS}),
    ),
)
