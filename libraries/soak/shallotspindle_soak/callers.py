"""Callers that keep their connections until the process is gone."""

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
from shallotspindle_soak.proxies import Proxy
from shallotspindle_soak.records import Call, History, Kind
from shallotspindle_soak.upstreams import SMALL_DIGESTS, build_answer

DEADLINE_SECONDS = 2.0
SLACK_SECONDS = 1.0
# A slow link carries the body before the gateway's time and the answer after it.
SLOW_SLACK_SECONDS = 4.0
REFUSED_PAUSE_SECONDS = 0.1
SMALL_BODY_BYTES = 300


@dataclass(frozen=True, slots=True)
class Habit:
    """How a caller behaves.

    :param pause: mean time between two requests, in seconds.
    :param order_part: part of the requests that have an effect.
    :param body_bytes: lengths of bodies to choose from.
    :param digests: lengths of answers to choose from, in digests of 64 bytes.
    :param visits: whether it opens a connection anew after a few requests, and seeks
        gateways that are in a planned stop.
    :param link_rate: limit of its links, in bytes a second; 0 for none.
    """

    pause: float = 0.1
    order_part: float = 0.5
    body_bytes: tuple[int, ...] = (SMALL_BODY_BYTES,)
    digests: tuple[int, ...] = (SMALL_DIGESTS,)
    visits: bool = False
    link_rate: float = 0.0


STEADY = Habit()
# Bodies beyond 1 MB are streamed by the gateway.
LARGE = Habit(0.2, 0.7, (20_000, 200_000, 1_500_000), (SMALL_DIGESTS, 5_000))
# 200 KB take 0.8 s, about half of the route's timeout.
SLOW = Habit(
    pause=0.1,
    order_part=0.7,
    body_bytes=(SMALL_BODY_BYTES, 60_000, 200_000),
    digests=(SMALL_DIGESTS, 3_000),
    link_rate=250_000.0,
)
VISITOR = Habit(0.25, 0.7, visits=True)
SLOW_VISITOR = replace(SLOW, pause=0.25, visits=True)
# 8 MB take 0.8 s; the kernel holds less of an answer than that.
LONG_ANSWERS = Habit(
    pause=0.2, digests=(SMALL_DIGESTS, 125_000), visits=True, link_rate=10_000_000.0
)
CROWDING = Habit(0.02, 1.0)
LONGEST_VISIT = 3
# Of a longer body the gateway may leave a part unread.
CERTAIN_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class Target:
    """A gateway that a caller may connect to.

    :param link: slow link on the way there, if there is one.
    """

    name: str
    address: str
    link: Proxy | None = None


@dataclass(frozen=True, slots=True)
class Identity:
    """Whom a caller claims to be."""

    team: str
    key: str


async def note_written(
    session: aiohttp.ClientSession, context: SimpleNamespace, parameters: object
) -> None:
    """Record that a part of a request was written."""
    context.trace_request_ctx()


def build_trace() -> aiohttp.TraceConfig:
    """Return a trace that records when the last part of a request was written."""
    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(note_written)
    trace.on_request_chunk_sent.append(note_written)
    return trace


class Caller:
    """Sends one request after the other; owns one connection.

    :param identify: returns the identity for the next request.
    :param until: when it leaves, in seconds.
    """

    numbers = itertools.count(1)

    def __init__(
        self,
        targets: list[Target],
        identify: Callable[[], Identity],
        habit: Habit,
        names: HeaderNames,
        history: History,
        clock: Clock,
        random: Random,
        until: float = math.inf,
    ) -> None:
        self._targets = targets
        self._identify = identify
        self._habit = habit
        self._names = names
        self._history = history
        self._clock = clock
        self._random = random
        self._until = until
        self._at = random.randrange(len(targets))

    async def run(self) -> None:
        """Send until cancelled or until it leaves."""
        while self._clock.boottime() < self._until:
            connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=10.0)
            async with aiohttp.ClientSession(
                connector=connector, trace_configs=[build_trace()]
            ) as session:
                # A repeat by the library would be a request that the history lacks.
                session._retry_connection = False
                await self._use(session)

    async def _use(self, session: aiohttp.ClientSession) -> None:
        left = math.inf
        if self._habit.visits:
            left = self._random.randint(1, LONGEST_VISIT)
            self._seek()
        while left > 0 and self._clock.boottime() < self._until:
            left -= 1
            await asyncio.sleep(self._random.expovariate(1 / self._habit.pause))
            await self._send(session)

    def _seek(self) -> None:
        """Choose a gateway that is in a planned stop, or any if there is none."""
        names = self._history.stopping or {target.name for target in self._targets}
        places = [n for n, item in enumerate(self._targets) if item.name in names]
        self._at = self._random.choice(places)

    async def _send(self, session: aiohttp.ClientSession) -> None:
        target = self._targets[self._at]
        identity = self._identify()
        is_order = self._random.random() < self._habit.order_part
        call = Call(
            f"{next(self.numbers):016x}",
            Kind.ORDER if is_order else Kind.READ,
            identity.team,
            identity.key,
            target.name,
            self._clock.boottime(),
        )
        self._history.calls.append(call)
        slack = SLACK_SECONDS if target.link is None else SLOW_SLACK_SECONDS
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + slack):
                await self._exchange(session, target, call)
        except aiohttp.ClientConnectorError:
            # The process is gone; the balancer would send the caller elsewhere.
            self._at = (self._at + 1) % len(self._targets)
            await asyncio.sleep(REFUSED_PAUSE_SECONDS)
        except (aiohttp.ClientError, TimeoutError, OSError):
            call.status = 0
        call.ended_at = self._clock.boottime()
        self._note_link(call, target.link)

    @staticmethod
    def _note_link(call: Call, link: Proxy | None) -> None:
        """Take a request as whole only once the slow link has passed it on."""
        if link is None or not call.whole_at:
            return
        call.whole_at = 0.0 if link.holds_up else max(call.whole_at, link.up_at)

    async def _exchange(
        self, session: aiohttp.ClientSession, target: Target, call: Call
    ) -> None:
        names = self._names
        is_order = call.kind is Kind.ORDER
        size = self._random.choice(self._habit.body_bytes)
        body = (call.request_id.encode() * (size // 16 + 1))[:size] if is_order else b""
        call.size = len(body)
        digests = self._random.choice(self._habit.digests)
        fields = {
            names.request_id: call.request_id,
            names.deadline: str(int(DEADLINE_SECONDS * 1000)),
            "Authorization": f"{names.key_scheme} {call.key}",
            "Host": "soak.example",
        }

        def note_written() -> None:
            if size <= CERTAIN_BYTES:
                call.whole_at = self._clock.boottime()

        async with session.request(
            "POST" if is_order else "GET",
            f"http://{target.address}/{call.kind}s/{digests}",
            headers=fields,
            data=body or None,
            trace_request_ctx=note_written,
        ) as response:
            data = await response.read()
            if response.status == 200:
                right = build_answer(call.request_id, body, digests)
                echoed = response.headers.get(names.request_id)
                call.is_right = data == right and echoed == call.request_id
                call.answer = f"{len(data)} of {len(right)} bytes, id {echoed}"
            call.status = response.status
