"""Client that owns the connections to a target and sends scheduled requests."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from types import TracebackType
from typing import Self

import aiohttp

from shallotspindle_bench.arrivals import Arrival
from shallotspindle_bench.samples import Outcome, Sample
from shallotspindle_bench.targets import Balancer, Target

BODY_CHUNK = bytes(64 * 1024)
MARKER_HEADER = "X-Request-Marker"
READY_POLL_INTERVAL_SECONDS = 0.25
# A request times out this long after its deadline, so that a run ends even if the
# target ignores deadlines.
RESPONSE_GRACE_SECONDS = 5.0


async def generate_body(length: int) -> AsyncIterator[bytes]:
    """Yield a body in chunks, so that a large one is never in memory as a whole."""
    while length > 0:
        yield BODY_CHUNK[:length]
        length -= len(BODY_CHUNK)


def build_headers(arrival: Arrival) -> dict[str, str]:
    headers = {
        "Authorization": f"Bearer {arrival.key}",
        MARKER_HEADER: arrival.marker,
    }
    if arrival.idempotency_key:
        headers["Idempotency-Key"] = arrival.idempotency_key
    if isinstance(arrival.body, int) and arrival.body:
        headers["Content-Length"] = str(arrival.body)
    return headers


def classify_response(
    arrival: Arrival, status: int, response_marker: str, latency: float
) -> Outcome:
    """Return the outcome of a request with a complete response.

    :param response_marker: marker in the response; empty if it has none.
    :param latency: in seconds.
    """
    if status == 429:
        return Outcome.REFUSED
    if status == 503:
        return Outcome.SHED
    if not 200 <= status < 300:
        return Outcome.FAILED
    if response_marker not in ("", arrival.marker):
        return Outcome.WRONG
    return Outcome.LATE if latency > arrival.deadline else Outcome.COMPLETE


class Client:
    """Sends each request at its scheduled time.

    It does not wait for the responses to earlier requests (open loop).
    """

    def __init__(self, target: Target) -> None:
        self.target = target
        self._balancer = Balancer(target.instances)

    async def __aenter__(self) -> Self:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._readiness_poller = asyncio.create_task(self._poll_readiness())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._readiness_poller.cancel()
        await asyncio.gather(self._readiness_poller, return_exceptions=True)
        await self._session.close()

    async def send_all(
        self,
        schedule: Iterable[Arrival],
        offset: float,
        on_sample: Callable[[Sample], None],
    ) -> None:
        """Send requests at their scheduled times and wait for the last response.

        :param offset: time in the schedule at which the sending starts, in seconds.
        :param on_sample: callback that gets the sample of each finished request.
        """
        loop = asyncio.get_running_loop()
        start = loop.time() - offset
        async with asyncio.TaskGroup() as group:
            for arrival in schedule:
                delay = start + arrival.scheduled_at - loop.time()
                if delay > 0:
                    await asyncio.sleep(delay)
                group.create_task(self._send_one(arrival, start, on_sample))

    async def _send_one(
        self, arrival: Arrival, start: float, on_sample: Callable[[Sample], None]
    ) -> None:
        status, response_marker, failure = await self._exchange(arrival)
        latency = asyncio.get_running_loop().time() - start - arrival.scheduled_at
        outcome = failure or classify_response(
            arrival, status, response_marker, latency
        )
        on_sample(
            Sample(
                scheduled_at=arrival.scheduled_at,
                latency=latency,
                team=arrival.team,
                kind=arrival.kind,
                outcome=outcome,
                status=status,
                target=self.target.name,
            )
        )

    async def _exchange(self, arrival: Arrival) -> tuple[int, str, Outcome | None]:
        status = 0
        data = arrival.body or None
        if isinstance(data, int):
            data = generate_body(data)
        try:
            async with self._session.request(
                arrival.method,
                f"http://{self._balancer.choose().callers}{arrival.path}",
                headers=build_headers(arrival),
                data=data,
                timeout=aiohttp.ClientTimeout(
                    total=arrival.deadline + RESPONSE_GRACE_SECONDS
                ),
            ) as response:
                status = response.status
                async for _ in response.content.iter_chunked(len(BODY_CHUNK)):
                    pass
                return status, response.headers.get(MARKER_HEADER, ""), None
        except TimeoutError:
            return status, "", Outcome.LATE
        except (aiohttp.ClientError, OSError):
            return status, "", Outcome.TRUNCATED if status else Outcome.FAILED

    async def _poll_readiness(self) -> None:
        while True:
            for index, instance in enumerate(self.target.instances):
                if instance.administration:
                    is_ready = await self._check_ready(instance.administration)
                    self._balancer.update(index, is_ready)
            await asyncio.sleep(READY_POLL_INTERVAL_SECONDS)

    async def _check_ready(self, address: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=READY_POLL_INTERVAL_SECONDS)
        try:
            async with self._session.get(
                f"http://{address}/ready", timeout=timeout
            ) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError, OSError):
            return False
