"""Callers that use their connections until the gateway process exits."""

import asyncio
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from types import SimpleNamespace

import aiohttp

from shallotspindle_core.clock import Clock
from shallotspindle_gateway.records import HeaderNames
from shallotspindle_soak.proxies import FaultProxy
from shallotspindle_soak.records import Call, History, RequestKind
from shallotspindle_soak.upstreams import SMALL_RESPONSE_DIGESTS, build_response_body

DEADLINE_SECONDS = 2.0
TIMEOUT_MARGIN_SECONDS = 1.0
# Over a slow link the body is sent before the gateway's deadline starts, and the
# response after it ends.
SLOW_LINK_MARGIN_SECONDS = 4.0
RECONNECT_DELAY_SECONDS = 0.1
SMALL_BODY_BYTES = 300


@dataclass(frozen=True, slots=True)
class CallerProfile:
    """How a caller behaves.

    :param mean_pause_seconds: mean time between two requests.
    :param order_fraction: fraction of the requests that are not idempotent.
    :param body_sizes: body lengths to choose from, in bytes.
    :param response_digests: response lengths to choose from, in digests of 64 bytes.
    :param reconnects: whether it opens a new connection after a few requests,
        preferably to a gateway in a graceful shutdown.
    :param link_bytes_per_second: limit of its links; 0 for none.
    """

    mean_pause_seconds: float = 0.1
    order_fraction: float = 0.5
    body_sizes: tuple[int, ...] = (SMALL_BODY_BYTES,)
    response_digests: tuple[int, ...] = (SMALL_RESPONSE_DIGESTS,)
    reconnects: bool = False
    link_bytes_per_second: float = 0.0


STEADY = CallerProfile()
# The gateway streams bodies over 1 MB.
LARGE_BODIES = CallerProfile(
    0.2, 0.7, (20_000, 200_000, 1_500_000), (SMALL_RESPONSE_DIGESTS, 5_000)
)
# At this rate 200 KB take 0.8 s, about half of the route's timeout.
SLOW_LINK = CallerProfile(
    mean_pause_seconds=0.1,
    order_fraction=0.7,
    body_sizes=(SMALL_BODY_BYTES, 60_000, 200_000),
    response_digests=(SMALL_RESPONSE_DIGESTS, 3_000),
    link_bytes_per_second=250_000.0,
)
RECONNECTING = CallerProfile(0.25, 0.7, reconnects=True)
SLOW_RECONNECTING = replace(SLOW_LINK, mean_pause_seconds=0.25, reconnects=True)
# At this rate 8 MB take 0.8 s. The kernel buffers less of a response than that.
LONG_RESPONSES = CallerProfile(
    mean_pause_seconds=0.2,
    response_digests=(SMALL_RESPONSE_DIGESTS, 125_000),
    reconnects=True,
    link_bytes_per_second=10_000_000.0,
)
OVERLOAD = CallerProfile(0.02, 1.0)
MAX_REQUESTS_PER_CONNECTION = 3
# The gateway may leave part of a longer body unread.
MAX_CERTAIN_BODY_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class Target:
    """A gateway that a caller may connect to.

    :param link: slow link through which it is reached, if any.
    """

    name: str
    address: str
    link: FaultProxy | None = None


@dataclass(frozen=True, slots=True)
class Credentials:
    """Team and key that a caller presents."""

    team: str
    key: str


async def record_write(
    session: aiohttp.ClientSession, context: SimpleNamespace, parameters: object
) -> None:
    """Notify the request that a part of it was written."""
    context.trace_request_ctx()


def build_write_trace() -> aiohttp.TraceConfig:
    """Return a trace that reports each write of a request."""
    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(record_write)
    trace.on_request_chunk_sent.append(record_write)
    return trace


class Caller:
    """Sends one request after the other; owns one connection.

    :param choose_credentials: returns the credentials for the next request.
    :param stop_at: when it stops, in seconds.
    """

    request_numbers = itertools.count(1)

    def __init__(
        self,
        targets: list[Target],
        choose_credentials: Callable[[], Credentials],
        profile: CallerProfile,
        header_names: HeaderNames,
        history: History,
        clock: Clock,
        random: Random,
        stop_at: float = math.inf,
    ) -> None:
        self._targets = targets
        self._choose_credentials = choose_credentials
        self._profile = profile
        self._header_names = header_names
        self._history = history
        self._clock = clock
        self._random = random
        self._stop_at = stop_at
        self._target_index = random.randrange(len(targets))

    async def run(self) -> None:
        """Send requests until cancelled or until ``stop_at``."""
        while self._clock.boottime() < self._stop_at:
            connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=10.0)
            async with aiohttp.ClientSession(
                connector=connector, trace_configs=[build_write_trace()]
            ) as session:
                # The history would not contain a retry by the library.
                session._retry_connection = False
                await self._use_connection(session)

    async def _use_connection(self, session: aiohttp.ClientSession) -> None:
        remaining_requests = math.inf
        if self._profile.reconnects:
            remaining_requests = self._random.randint(1, MAX_REQUESTS_PER_CONNECTION)
            self._choose_stopping_gateway()
        while remaining_requests > 0 and self._clock.boottime() < self._stop_at:
            remaining_requests -= 1
            await asyncio.sleep(
                self._random.expovariate(1 / self._profile.mean_pause_seconds)
            )
            await self._send_request(session)

    def _choose_stopping_gateway(self) -> None:
        """Choose a gateway in a graceful shutdown, or any gateway if there is none."""
        gateways = self._history.stopping_gateways or {
            target.name for target in self._targets
        }
        indexes = [n for n, item in enumerate(self._targets) if item.name in gateways]
        self._target_index = self._random.choice(indexes)

    async def _send_request(self, session: aiohttp.ClientSession) -> None:
        target = self._targets[self._target_index]
        credentials = self._choose_credentials()
        is_order = self._random.random() < self._profile.order_fraction
        call = Call(
            f"{next(self.request_numbers):016x}",
            RequestKind.ORDER if is_order else RequestKind.READ,
            credentials.team,
            credentials.key,
            target.name,
            self._clock.boottime(),
        )
        self._history.calls.append(call)
        margin_seconds = (
            TIMEOUT_MARGIN_SECONDS if target.link is None else SLOW_LINK_MARGIN_SECONDS
        )
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + margin_seconds):
                await self._exchange(session, target, call)
        except aiohttp.ClientConnectorError:
            # The process has exited; a load balancer would choose another gateway.
            self._target_index = (self._target_index + 1) % len(self._targets)
            await asyncio.sleep(RECONNECT_DELAY_SECONDS)
        except (aiohttp.ClientError, TimeoutError, OSError):
            call.status = 0
        call.ended_at = self._clock.boottime()
        self._adjust_fully_sent_time(call, target.link)

    @staticmethod
    def _adjust_fully_sent_time(call: Call, link: FaultProxy | None) -> None:
        """Count a request as fully sent only once the slow link has forwarded it."""
        if link is None or not call.fully_sent_at:
            return
        call.fully_sent_at = (
            0.0
            if link.has_pending_data
            else max(call.fully_sent_at, link.last_forwarded_at)
        )

    async def _exchange(
        self, session: aiohttp.ClientSession, target: Target, call: Call
    ) -> None:
        header_names = self._header_names
        is_order = call.kind is RequestKind.ORDER
        body_bytes = self._random.choice(self._profile.body_sizes)
        body = (
            (call.request_id.encode() * (body_bytes // 16 + 1))[:body_bytes]
            if is_order
            else b""
        )
        call.body_bytes = len(body)
        digest_count = self._random.choice(self._profile.response_digests)
        headers = {
            header_names.request_id: call.request_id,
            header_names.deadline: str(int(DEADLINE_SECONDS * 1000)),
            "Authorization": f"{header_names.key_scheme} {call.key}",
            "Host": "soak.example",
        }

        def record_request_written() -> None:
            if body_bytes <= MAX_CERTAIN_BODY_BYTES:
                call.fully_sent_at = self._clock.boottime()

        async with session.request(
            "POST" if is_order else "GET",
            f"http://{target.address}/{call.kind}s/{digest_count}",
            headers=headers,
            data=body or None,
            trace_request_ctx=record_request_written,
        ) as response:
            data = await response.read()
            if response.status == 200:
                expected_body = build_response_body(call.request_id, body, digest_count)
                response_id = response.headers.get(header_names.request_id)
                call.is_correct = (
                    data == expected_body and response_id == call.request_id
                )
                call.response_summary = (
                    f"{len(data)} of {len(expected_body)} bytes, id {response_id}"
                )
            call.status = response.status
