"""Sockets of the peers task: listens, dials, reads and writes.

What arrives is told to the task; a message that finds no stream waits for the dialled
one and is lost when the peer cannot be reached.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from absl import logging

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import Incarnation, Instance
from shallotspindle_entry.peer_messages import (
    DialFailed,
    Ended,
    Link,
    Opened,
    Received,
)
from shallotspindle_wire import streams
from shallotspindle_wire.streams import Identity, Stream, Traffic

IDLE_SECONDS = 30.0
# A stream that brought nothing for this time while it was written to is replaced.
SILENT_SECONDS = 6.0
# Messages kept for a peer while its stream is opened.
WAITING_LIMIT = 64
# Connections of strangers that have not shown the fleet secret yet.
GREETING_LIMIT = 64


class Links:
    """Streams by peer; used by the peers task only.

    :param make_identity: returns an identity with a fresh nonce.
    :param tell: sends a message to the peers task.
    """

    def __init__(
        self,
        make_identity: Callable[[], Identity],
        clock: Clock,
        tell: Callable[[Any], None],
    ) -> None:
        self._make_identity = make_identity
        self._clock = clock
        self._tell = tell
        self._links: dict[Incarnation, list[Link]] = {}
        self._waiting: dict[Incarnation, list[bytes]] = {}
        self._helpers: set[asyncio.Task] = set()
        self._greetings = 0
        self.traffic = Traffic()

    def start_helper(self, coroutine: Coroutine) -> None:
        """Run a coroutine until it ends or the links are closed."""
        helper = asyncio.get_running_loop().create_task(coroutine)
        self._helpers.add(helper)
        helper.add_done_callback(self._helpers.discard)

    def count_helpers(self) -> int:
        """Return how many coroutines run."""
        return len(self._helpers)

    def count_links(self) -> int:
        """Return how many streams are open."""
        return sum(map(len, self._links.values()))

    def close(self) -> None:
        """Close all streams and stop all helpers."""
        for helper in self._helpers:
            helper.cancel()
        for link in self._list_links():
            link.stream.close()

    def _list_links(self) -> list[Link]:
        return [link for links in self._links.values() for link in links]

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection that another instance opened."""
        if self._greetings >= GREETING_LIMIT:
            writer.close()
            return
        self._greetings += 1
        try:
            identity = self._make_identity()
            greeted = await streams.greet(reader, writer, identity, None, self.traffic)
        finally:
            self._greetings -= 1
        if greeted.is_error():
            logging.warning("a peer was refused: %s", greeted.error)
            writer.close()
            return
        await self._read(*greeted.ok)

    async def _dial(self, peer: Instance) -> None:
        dialled = await streams.dial(peer, self._make_identity(), self.traffic)
        if dialled.is_error():
            self._tell(DialFailed(peer))
            return
        await self._read(*dialled.ok)

    async def _read(self, stream: Stream, payloads: tuple[bytes, ...]) -> None:
        link = Link(stream, self._clock.boottime())
        self._tell(Opened(link))
        while True:
            for payload in payloads:
                self._tell(Received(link, payload))
            received = await stream.receive()
            if received.is_error():
                break
            payloads = received.ok
        stream.close()
        self._tell(Ended(link))

    def add(self, link: Link) -> None:
        """Take over an opened stream and send what waited for it."""
        name = link.stream.peer.incarnation
        self._links.setdefault(name, []).append(link)
        for payload in self._waiting.pop(name, ()):
            self.write(link, payload)

    def remove(self, link: Link) -> None:
        """Forget a stream that ended."""
        name = link.stream.peer.incarnation
        rest = [other for other in self._links.get(name, ()) if other is not link]
        if rest:
            self._links[name] = rest
        else:
            self._links.pop(name, None)

    def drop_waiting(self, peer: Instance) -> None:
        """Lose what waited for a peer that cannot be reached."""
        self._waiting.pop(peer.incarnation, None)

    def write(self, link: Link, payload: bytes) -> bool:
        """Send a payload over a stream and return whether it was accepted."""
        if not link.stream.send(payload):
            return False
        link.used_at = self._clock.boottime()
        if link.unanswered_since is None:
            link.unanswered_since = link.used_at
        return True

    def note_received(self, link: Link) -> None:
        """Count a received frame as use of its stream."""
        link.used_at = self._clock.boottime()
        link.unanswered_since = None

    def deliver(self, peer: Instance, payload: bytes) -> None:
        """Send a payload over the latest stream to a peer, or open one."""
        for link in reversed(self._links.get(peer.incarnation, ())):
            if self.write(link, payload):
                return
        waiting = self._waiting.get(peer.incarnation)
        if waiting is None:
            waiting = self._waiting[peer.incarnation] = []
            self.start_helper(self._dial(peer))
        if len(waiting) < WAITING_LIMIT:
            waiting.append(payload)

    def close_unused(self, now: float) -> None:
        """Close streams that are idle or bring no answers."""
        for link in self._list_links():
            since = link.unanswered_since
            is_silent = since is not None and now - since > SILENT_SECONDS
            if is_silent or now - link.used_at > IDLE_SECONDS:
                link.stream.close()
                self.remove(link)
