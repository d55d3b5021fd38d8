"""Records that the tasks of the gateway share."""

from dataclasses import dataclass

from shallotspindle_bundles.records import Bundle
from shallotspindle_core.identifiers import FailureDomain
from shallotspindle_entry.response_limits import DEFAULT_LIMITS, ResponseLimits
from shallotspindle_keys.directory import KeyDirectory
from shallotspindle_routing.routes import RouteTable


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send.

    :param header_bytes: largest size of the header lines together.
    :param body_bytes: largest size of a body.
    :param header_seconds: longest time until the header lines are in.
    :param idle_seconds: longest time between two requests of a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """The configuration in force with the indexes that requests need."""

    bundle: Bundle
    keys: KeyDirectory
    routes: RouteTable
    caller_limits: CallerLimits = CallerLimits()


NO_DEPLOYMENT = Deployment(Bundle(0, b""), KeyDirectory(b""), RouteTable({}))


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the header fields that the deployment uses.

    :param signature: proof of the upstream that made an answer, passed on unchanged.
    :param not_run: says that an upstream did not run the request.
    :param key_scheme: scheme of ``Authorization`` under which callers send keys.
    """

    request_id: str = "X-Request-Id"
    deadline: str = "Request-Timeout-Ms"
    signature: str = "Response-Signature"
    team: str = "Team"
    target: str = "Target-Upstream"
    not_run: str = "Request-Not-Run"
    key_scheme: str = "Bearer"


@dataclass(frozen=True, slots=True, order=True)
class Member:
    """An instance as the store lists it.

    :param address: ``ip:port`` of its socket for other instances.
    :param capacity: capacity of its link, in Mbit/s.
    """

    address: str
    domain: FailureDomain
    capacity: float = 1000.0


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An IP address and a port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times and ratios that the deployment promises to callers and upstreams.

    :param key_seconds: longest time for which a withdrawn key may still work.
    :param stop_seconds: time from the request to stop to the forced end.
    :param retry_ratio: part of a service's requests that may be sent once more.
    :param retry_slack: repeats in a window that are allowed beside that part.
    :param retry_window_seconds: length of the windows in which repeats count.
    :param rate_window_seconds: length of the windows in which teams' rates count; None
        for windows of every length.
    """

    key_seconds: float = 5.0
    stop_seconds: float = 6.0
    retry_ratio: float = 0.2
    retry_slack: int = 50
    retry_window_seconds: float = 10.0
    rate_window_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class Settings:
    """What a process is told at its start.

    :param callers: address for callers.
    :param readiness: address for the balancer's readiness checks.
    :param peers: address for other instances.
    :param metrics: address of the metrics.
    :param readiness_path: path of the readiness checks.
    :param capacity: capacity of the instance's link, in Mbit/s.
    :param answers: what an upstream may send.
    """

    name: str
    domain: FailureDomain
    callers: Endpoint
    readiness: Endpoint
    peers: Endpoint
    metrics: Endpoint
    readiness_path: str = "/ready"
    capacity: float = 1000.0
    bounds: Bounds = Bounds()
    headers: HeaderNames = HeaderNames()
    answers: ResponseLimits = DEFAULT_LIMITS
