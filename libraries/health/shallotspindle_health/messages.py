"""Messages between instances about the health of upstreams and crashing requests.

Times are ages in seconds, not clock readings, since the clocks of instances differ.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Evidence of one instance against an upstream.

    :param score: strength of the evidence; 1 is enough for an ejection.
    :param is_ejected: whether the reporter sends the upstream no requests.
    :param reason: a failed outcome, ``slow`` or ``reports``.
    """

    service: str
    upstream: str
    score: float
    is_ejected: bool
    reason: str


@dataclass(frozen=True, slots=True)
class SuspicionReport:
    """All suspicions of one instance; replaces its earlier report.

    :param reporter: incarnation of the reporting instance.
    :param domain: failure domain of the reporting instance.
    :param sequence: number that grows with each report of the reporter.
    :param suspects_itself: whether the reporter takes itself for the cause.
    """

    reporter: str
    domain: str
    sequence: int
    suspects_itself: bool
    suspicions: tuple[Suspicion, ...]


@dataclass(frozen=True, slots=True)
class CrashNotice:
    """Upstreams that reset their connection while they ran a request.

    :param fingerprint: 64-bit hash of the request.
    :param age_seconds: time since the last crash.
    """

    fingerprint: int
    upstreams: tuple[str, ...]
    age_seconds: float
