"""Task that owns the connections to a target and sends scheduled requests."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from types import TracebackType
from typing import Self

import aiohttp

from shallotspindle_bench.arrivals import Arrival
from shallotspindle_bench.samples import Outcome, Sample
from shallotspindle_bench.targets import Balancer, Target

CHUNK = bytes(64 * 1024)
MARKER_HEADER = "X-Request-Marker"
READY_POLL_SECONDS = 0.25
# Ends requests whose deadline the target ignores, so that a run always stops.
GRACE_SECONDS = 5.0


async def generate_body(length: int) -> AsyncIterator[bytes]:
    """Yield a body in chunks, so that a large one is never held as a whole."""
    while length > 0:
        yield CHUNK[:length]
        length -= len(CHUNK)


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


def classify(arrival: Arrival, status: int, marker: str, latency: float) -> Outcome:
    """Return the outcome of a request with a complete answer.

    :param marker: marker that the answer names; empty if it names none.
    :param latency: in seconds.
    """
    if status == 429:
        return Outcome.REFUSED
    if status == 503:
        return Outcome.SHED
    if not 200 <= status < 300:
        return Outcome.FAILED
    if marker not in ("", arrival.marker):
        return Outcome.WRONG
    return Outcome.LATE if latency > arrival.deadline else Outcome.COMPLETE


class Client:
    """Sends requests at their moments, whether or not earlier ones are answered."""

    def __init__(self, target: Target) -> None:
        self.target = target
        self._balancer = Balancer(target.instances)

    async def __aenter__(self) -> Self:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._poller = asyncio.create_task(self._poll())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._poller.cancel()
        await asyncio.gather(self._poller, return_exceptions=True)
        await self._session.close()

    async def send_all(
        self, schedule: Iterable[Arrival], offset: float, done: Callable[[Sample], None]
    ) -> None:
        """Send requests at their moments and wait for the last answer.

        :param offset: moment of the schedule at which the sending starts, in seconds.
        :param done: is called with each sample.
        """
        loop = asyncio.get_running_loop()
        start = loop.time() - offset
        async with asyncio.TaskGroup() as group:
            for arrival in schedule:
                wait = start + arrival.at - loop.time()
                if wait > 0:
                    await asyncio.sleep(wait)
                group.create_task(self._send_one(arrival, start, done))

    async def _send_one(
        self, arrival: Arrival, start: float, done: Callable[[Sample], None]
    ) -> None:
        status, marker, failure = await self._exchange(arrival)
        latency = asyncio.get_running_loop().time() - start - arrival.at
        outcome = failure or classify(arrival, status, marker, latency)
        done(
            Sample(
                at=arrival.at,
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
                timeout=aiohttp.ClientTimeout(total=arrival.deadline + GRACE_SECONDS),
            ) as response:
                status = response.status
                async for _ in response.content.iter_chunked(len(CHUNK)):
                    pass
                return status, response.headers.get(MARKER_HEADER, ""), None
        except TimeoutError:
            return status, "", Outcome.LATE
        except (aiohttp.ClientError, OSError):
            return status, "", Outcome.TRUNCATED if status else Outcome.FAILED

    async def _poll(self) -> None:
        while True:
            for index, instance in enumerate(self.target.instances):
                if instance.administration:
                    ready = await self._ask_ready(instance.administration)
                    self._balancer.update(index, ready)
            await asyncio.sleep(READY_POLL_SECONDS)

    async def _ask_ready(self, address: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=READY_POLL_SECONDS)
        try:
            async with self._session.get(
                f"http://{address}/ready", timeout=timeout
            ) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError, OSError):
            return False
