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


LATE_WORK = (
    "a request of the second half of a planned stop was sent to an upstream that "
    "hung, and broken off at the end"
)
CUT_BODY = (
    "an order of 1.5 MB was sent on with its end missing: the part that is streamed "
    "was read for an upstream that shed it"
)
EARLY_RELOAD = "SIGHUP ended a process that was still starting"
CLOSING = (
    "a connection that came as the listener closed was left without an answer until "
    "the process was gone"
)
RATE = "the check counted requests that were sent before the window"
REGRESSIONS = (
    Regression(
        109,
        "an instance believed in rights that ended, during an outage of the store, "
        "before it had heard of its own write",
        AFTER_109,
    ),
    Regression(1003, LATE_WORK),
    Regression(1004, f"{LATE_WORK}; {EARLY_RELOAD}"),
    Regression(
        1005, "not traced: after the faults five of eight upstreams were unused"
    ),
    Regression(1008, LATE_WORK),
    Regression(1010, f"{LATE_WORK}; {CUT_BODY}"),
    Regression(1011, f"{LATE_WORK}; {CUT_BODY}"),
    Regression(1012, "not traced: the store's answers came late after the faults"),
    Regression(2003, CUT_BODY),
    Regression(2101, EARLY_RELOAD),
    Regression(2001, "requests that the soak itself cut counted as not served"),
    Regression(2203, CLOSING),
    Regression(2205, f"{CUT_BODY}; a gateway without a processor"),
    Regression(2208, "a gateway did nothing for 1.8 s, not traced"),
    Regression(2209, "not traced: upstreams were unused after the faults"),
    Regression(2217, "a gateway got no processor for 1.3 s of a planned stop"),
    Regression(2222, CUT_BODY),
    Regression(2226, RATE),
    Regression(2227, CUT_BODY),
    Regression(2228, f"{CLOSING}; {EARLY_RELOAD}"),
    Regression(2240, CUT_BODY),
    Regression(
        2245,
        "the soak ended an endless body without a reset; its long answers were cut",
    ),
    Regression(2250, "the check counted work of the last part of a stop"),
    Regression(2251, RATE),
    Regression(2301, CUT_BODY),
)
