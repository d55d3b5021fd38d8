"""Callers that keep their connections until the process is gone."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import aiohttp

from shallotspindle_core.clock import Clock
from shallotspindle_gateway.records import HeaderNames
from shallotspindle_soak.records import Call, History, Kind
from shallotspindle_soak.upstreams import build_answer

DEADLINE_SECONDS = 2.0
SLACK_SECONDS = 1.0
REFUSED_PAUSE_SECONDS = 0.1
ORDER_PART = 0.5
BODY = b"crate " * 50


@dataclass(frozen=True, slots=True)
class Target:
    """A gateway that a caller may connect to."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Identity:
    """Whom a caller claims to be."""

    team: str
    key: str


class Caller:
    """Sends one request after the other; owns one connection.

    :param pause: mean time between two requests, in seconds.
    :param identify: returns the identity for the next request.
    """

    numbers = itertools.count(1)

    def __init__(
        self,
        targets: list[Target],
        identify: Callable[[], Identity],
        pause: float,
        names: HeaderNames,
        history: History,
        clock: Clock,
        random: Random,
    ) -> None:
        self._targets = targets
        self._identify = identify
        self._pause = pause
        self._names = names
        self._history = history
        self._clock = clock
        self._random = random
        self._at = random.randrange(len(targets))

    async def run(self) -> None:
        """Send until cancelled."""
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=10.0)
        async with aiohttp.ClientSession(connector=connector) as session:
            # A repeat by the library would be a request that the history lacks.
            session._retry_connection = False
            while True:
                await asyncio.sleep(self._random.expovariate(1 / self._pause))
                await self._send(session)

    async def _send(self, session: aiohttp.ClientSession) -> None:
        target = self._targets[self._at]
        identity = self._identify()
        kind = Kind.ORDER if self._random.random() < ORDER_PART else Kind.READ
        call = Call(
            f"{next(self.numbers):016x}",
            kind,
            identity.team,
            identity.key,
            target.name,
            self._clock.boottime(),
        )
        self._history.calls.append(call)
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + SLACK_SECONDS):
                await self._exchange(session, target, call)
        except aiohttp.ClientConnectorError:
            # The process is gone; the balancer would send the caller elsewhere.
            self._at = (self._at + 1) % len(self._targets)
            await asyncio.sleep(REFUSED_PAUSE_SECONDS)
        except (aiohttp.ClientError, TimeoutError, OSError):
            call.status = 0
        call.ended_at = self._clock.boottime()

    async def _exchange(
        self, session: aiohttp.ClientSession, target: Target, call: Call
    ) -> None:
        names = self._names
        is_order = call.kind is Kind.ORDER
        body = BODY if is_order else b""
        fields = {
            names.request_id: call.request_id,
            names.deadline: str(int(DEADLINE_SECONDS * 1000)),
            "Authorization": f"{names.key_scheme} {call.key}",
            "Host": "soak.example",
        }
        async with session.request(
            "POST" if is_order else "GET",
            f"http://{target.address}/{call.kind}s/1",
            headers=fields,
            data=body or None,
        ) as response:
            data = await response.read()
            if response.status == 200:
                right = build_answer(call.request_id, body)
                echoed = response.headers.get(names.request_id)
                call.is_right = data == right and echoed == call.request_id
            call.status = response.status
