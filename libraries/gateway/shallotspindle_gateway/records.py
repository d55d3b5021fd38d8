"""Records that the tasks of the gateway share."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from shallotspindle_bundles.records import Bundle
from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import FailureDomain, ServiceName
from shallotspindle_entry import caller_memory
from shallotspindle_entry.caller_memory import MemoryLimits
from shallotspindle_entry.response_limits import DEFAULT_LIMITS, ResponseLimits
from shallotspindle_keys.directory import KeyDirectory
from shallotspindle_lending.cold import ColdStart
from shallotspindle_routing.routes import RouteTable


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what a caller may send.

    :param header_bytes: maximum size of all header lines together.
    :param body_bytes: maximum size of a body.
    :param header_seconds: time in which the header lines must arrive.
    :param idle_seconds: maximum time between two requests of a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """The active configuration, with indexes for looking up keys and routes.

    :param warnings: routes of a kind that this release does not know, which are served
        as non-idempotent, and malformed entries of services, which are ignored.
    :param cold_starts: the services whose cold upstreams get a limited rate.
    """

    bundle: Bundle
    keys: KeyDirectory
    routes: RouteTable
    caller_limits: CallerLimits = CallerLimits()
    warnings: tuple[Failure, ...] = ()
    cold_starts: Mapping[ServiceName, ColdStart] = field(default_factory=dict)


EMPTY_CONFIGURATION = Configuration(Bundle(0, b""), KeyDirectory(b""), RouteTable({}))


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the header fields that the deployment uses.

    :param signature: the upstream's signature of its response, passed on unchanged. A
        success without it is rejected; empty if upstreams do not sign.
    :param not_run: tells that the upstream did not run the request.
    :param leaving: tells that the upstream leaves.
    :param key_scheme: authentication scheme in ``Authorization`` for callers' keys.
    """

    request_id: str = "X-Request-Id"
    deadline: str = "Request-Timeout-Ms"
    signature: str = "Response-Signature"
    team: str = "Team"
    target: str = "Target-Upstream"
    not_run: str = "Request-Not-Run"
    leaving: str = "Upstream-Draining"
    key_scheme: str = "Bearer"


@dataclass(frozen=True, slots=True, order=True)
class Member:
    """An instance as registered in the store.

    :param address: ``ip:port`` of its socket for other instances.
    :param capacity: capacity of its link, in Mbit/s.
    """

    address: str
    domain: FailureDomain
    capacity: float = 1000.0


@dataclass(frozen=True, slots=True)
class PartitionHolder:
    """The holder of a partition of the rate limits, as registered in the store.

    :param address: ``ip:port`` of the holder's socket for other instances.
    :param incarnation: distinguishes the process from earlier ones at its address.
    :param revision: revision of the write that registered it.
    """

    address: str
    incarnation: str
    revision: int


@dataclass(frozen=True, slots=True)
class UnreadableHolder:
    """Another writer replaced the holder of a partition by a value that names none.

    :param revision: revision of that write.
    :param seen_at: when this instance read the value, as boot-time in seconds.
    """

    revision: int
    seen_at: float


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An IP address and a port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times and ratios that the deployment guarantees to callers and upstreams.

    :param key_withdrawal_seconds: time in which a withdrawn key must stop working.
    :param max_stop_seconds: time from the stop signal until the process is killed.
    :param retry_ratio: retries allowed in a window, as a ratio of a service's requests.
    :param extra_retries: retries allowed in a window beyond that ratio.
    :param retry_window_seconds: length of the windows in which retries are counted.
    :param rate_window_seconds: length of the windows in which teams' rates are
        measured; None for windows of every length.
    :param cold_overage: requests that a cold upstream may get in a second, as a ratio
        of those that it can handle.
    :param cold_slack: requests that it may get in a second beyond that ratio.
    """

    key_withdrawal_seconds: float = 5.0
    max_stop_seconds: float = 6.0
    retry_ratio: float = 0.2
    extra_retries: int = 50
    retry_window_seconds: float = 10.0
    rate_window_seconds: float | None = None
    cold_overage: float = 1.5
    cold_slack: float = 8.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one process.

    :param callers: address on which callers connect.
    :param readiness: address of the load balancer's readiness checks.
    :param peers: address for other instances.
    :param metrics: address of the metrics.
    :param readiness_path: path of the readiness checks.
    :param capacity: capacity of the instance's link, in Mbit/s.
    :param response_limits: limits on the responses of upstreams.
    :param memory_limits: limits on what is held for callers.
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
    response_limits: ResponseLimits = DEFAULT_LIMITS
    memory_limits: MemoryLimits = caller_memory.DEFAULT_LIMITS
