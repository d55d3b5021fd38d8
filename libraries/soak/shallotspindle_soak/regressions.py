"""Seeds that ever failed, with their causes, to be run again as regression tests."""

from dataclasses import dataclass

from shallotspindle_soak.faults import Fault

# Kinds of fault that were added after all of these seeds had failed.
FAULTS_ADDED_LATER = frozenset(
    {Fault.MALFORMED_ENTRIES, Fault.LEAVE, Fault.ASK_FOR_PAUSE}
)
# Kinds of fault that were added after seed 109 had failed.
FAULTS_ADDED_AFTER_109 = FAULTS_ADDED_LATER | frozenset(
    {
        Fault.CUT_PEERS,
        Fault.SHED,
        Fault.ENDLESS_HEAD,
        Fault.ENDLESS_BODY,
        Fault.OVERLOAD,
        Fault.STOP_ALL,
    }
)


@dataclass(frozen=True, slots=True)
class Regression:
    """A seed that once violated a promise.

    :param cause: what was wrong in the gateway or in the soak test.
    :param excluded_faults: kinds of fault that were added later. With them the seed
        would draw other faults.
    """

    seed: int
    cause: str
    excluded_faults: frozenset[Fault] = FAULTS_ADDED_LATER


LATE_ATTEMPT = (
    "a request in the second half of a graceful shutdown was sent to an upstream that "
    "hung, and was cancelled at the end"
)
TRUNCATED_BODY = (
    "an order of 1.5 MB was forwarded without its end: the streamed part had been read "
    "for an upstream that shed the request"
)
EARLY_RELOAD = "SIGHUP terminated a process that was still starting"
UNACCEPTED_CONNECTION = (
    "a connection that arrived while the listener closed got no response until the "
    "process exited"
)
RATE_CHECK = "the rate check counted requests that were sent before the window"
REGRESSIONS = (
    Regression(
        109,
        "an instance relied on ownership of partitions that expired, during an outage "
        "of the store, before it had received the result of its own write",
        FAULTS_ADDED_AFTER_109,
    ),
    Regression(1003, LATE_ATTEMPT),
    Regression(1004, f"{LATE_ATTEMPT}; {EARLY_RELOAD}"),
    Regression(
        1005, "not traced: five of eight upstreams were unused after the faults"
    ),
    Regression(1008, LATE_ATTEMPT),
    Regression(1010, f"{LATE_ATTEMPT}; {TRUNCATED_BODY}"),
    Regression(1011, f"{LATE_ATTEMPT}; {TRUNCATED_BODY}"),
    Regression(1012, "not traced: the store responded late after the faults"),
    Regression(2003, TRUNCATED_BODY),
    Regression(2101, EARLY_RELOAD),
    Regression(
        2001, "requests that the soak test itself cancelled counted as not served"
    ),
    Regression(2203, UNACCEPTED_CONNECTION),
    Regression(2205, f"{TRUNCATED_BODY}; a gateway got no CPU time"),
    Regression(2208, "not traced: a gateway did nothing for 1.8 s"),
    Regression(2209, "not traced: upstreams were unused after the faults"),
    Regression(2217, "a gateway got no CPU time for 1.3 s of a graceful shutdown"),
    Regression(2222, TRUNCATED_BODY),
    Regression(2226, RATE_CHECK),
    Regression(2227, TRUNCATED_BODY),
    Regression(2228, f"{UNACCEPTED_CONNECTION}; {EARLY_RELOAD}"),
    Regression(2240, TRUNCATED_BODY),
    Regression(
        2245,
        "the soak test ended endless bodies without a TCP reset and truncated its long "
        "responses",
    ),
    Regression(2250, "the shutdown check counted executions in the late phase"),
    Regression(2251, RATE_CHECK),
    Regression(2301, TRUNCATED_BODY),
)
