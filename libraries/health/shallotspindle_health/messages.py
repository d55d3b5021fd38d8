"""What instances tell each other about upstreams and requests.

Times are ages in seconds and never clock readings, since clocks differ.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Suspicion:
    """One instance's evidence against an upstream.

    :param score: strength of the evidence; 1 is enough for an ejection.
    :param ejected: whether the reporter took the upstream out of use.
    """

    service: str
    upstream: str
    score: float
    ejected: bool
    reason: str


@dataclass(frozen=True, slots=True)
class SuspicionReport:
    """All suspicions of one instance; replaces its earlier report.

    :param reporter: incarnation of the instance.
    :param domain: failure domain of the instance.
    :param sequence: grows with each report of the reporter.
    :param doubtful: whether the reporter suspects itself.
    """

    reporter: str
    domain: str
    sequence: int
    doubtful: bool
    suspicions: tuple[Suspicion, ...]


@dataclass(frozen=True, slots=True)
class CrashNotice:
    """Upstreams that reset their connection while they ran a request.

    :param fingerprint: 64-bit hash of the request.
    :param age: time since the last crash, in seconds.
    """

    fingerprint: int
    upstreams: tuple[str, ...]
    age: float
