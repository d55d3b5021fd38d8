"""Seeds that ever failed, with their cause; played again with each set of seeds."""

from dataclasses import dataclass

from shallotspindle_soak.faults import Fault

# Kinds that came after seed 109 had failed.
AFTER_109 = frozenset(
    {
        Fault.CUT_PEERS,
        Fault.SHED,
        Fault.ENDLESS_HEAD,
        Fault.ENDLESS_BODY,
        Fault.CROWD,
        Fault.ROLL,
    }
)


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
        AFTER_109,
    ),
)
