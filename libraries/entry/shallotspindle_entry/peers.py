"""Task that owns the TCP streams to other instances.

It exchanges heartbeats with its neighbours, carries the messages of other tasks, and
knows how old the knowledge of this instance is.
"""

import asyncio
import hashlib
import itertools
import socket
from collections.abc import Callable, Iterable
from typing import Any

from absl import logging

from shallotspindle_core.clock import Clock
from shallotspindle_core.identifiers import FailureDomain, Instance
from shallotspindle_core.randomness import RandomSource
from shallotspindle_entry.interfaces import Handler, PeerUnreachable
from shallotspindle_entry.peer_links import Links
from shallotspindle_entry.peer_messages import (
    AheadListener,
    Answering,
    BeatDue,
    DialFailed,
    Ended,
    GivenUp,
    Link,
    Listed,
    Opened,
    Outgoing,
    ProgressSource,
    Received,
    Spreading,
    StoreHeard,
    Unanswered,
)
from shallotspindle_entry.tasks import Task
from shallotspindle_environment.interface import InstanceList
from shallotspindle_membership import gossip
from shallotspindle_membership.freshness import FreshnessTracker
from shallotspindle_membership.heartbeats import Heartbeat
from shallotspindle_membership.views import MembershipView
from shallotspindle_wire import envelopes, frames
from shallotspindle_wire.codec import Codec
from shallotspindle_wire.envelopes import Ask, Push, Reply, Tell
from shallotspindle_wire.streams import Identity

LIST_INTERVAL_SECONDS = 5.0
# Handlers that run at the same time; further messages are dropped like lost ones.
RUNNING_LIMIT = 1_000


class Peers(Task):
    """Streams to other instances; implements ``PeerLink`` and ``Freshness``.

    :param own: this instance.
    :param listener: listening socket at the address of ``own``.
    :param secret: the fleet secret.
    :param random: must not be predictable, since it draws the nonces.
    :param message_types: all message types that other tasks send or reply with.
    :param domains: failure domains that are known from the settings.
    """

    def __init__(
        self,
        own: Instance,
        listener: socket.socket,
        secret: bytes,
        clock: Clock,
        random: RandomSource,
        instances: InstanceList,
        progress: ProgressSource,
        message_types: Iterable[type],
        domains: Iterable[FailureDomain] = (),
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._own = own
        self._listener = listener
        self._secret = secret
        self._clock = clock
        self._random = random
        self._instances = instances
        self._progress = progress
        self._outer = Codec((*envelopes.TYPES, Heartbeat))
        self._inner = Codec(message_types)
        self._view = MembershipView(
            own, FreshnessTracker(own.domain, domains), clock.boottime()
        )
        self._seen = gossip.SeenChanges()
        self._links = Links(self._make_identity, clock, self.tell)
        self._pending: dict[int, tuple[Instance, asyncio.Future]] = {}
        self._numbers = itertools.count(1)
        self._handlers: dict[type, Handler] = {}
        self._ahead: list[AheadListener] = []
        self._timer: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None
        self.traffic = self._links.traffic
        self._actions: dict[type, Callable[[Any], None]] = {
            Outgoing: self._send_out,
            Answering: self._send_answer,
            Spreading: self._start_spreading,
            Opened: self._add_link,
            DialFailed: self._note_dial_failed,
            Received: self._receive,
            Ended: self._drop_link,
            GivenUp: self._give_up,
            Unanswered: self._note_unanswered,
            BeatDue: self._beat,
            Listed: self._update_list,
            StoreHeard: self._note_store,
        }
        self._carriers: dict[type, Callable[[Link, Any], None]] = {
            Heartbeat: self._receive_beat,
            Ask: self._receive_ask,
            Reply: self._receive_reply,
            Tell: self._receive_tell,
            Push: self._receive_push,
        }

    async def request(
        self, peer: Instance, message: Any, timeout: float
    ) -> Any | PeerUnreachable:
        reply = asyncio.get_running_loop().create_future()
        self.tell(Outgoing(peer, message, reply))
        try:
            async with asyncio.timeout(timeout):
                return await reply
        except TimeoutError:
            self.tell(Unanswered(peer))
            return PeerUnreachable("peers", "no answer in time", peer.address)

    def send(self, peer: Instance, message: Any) -> None:
        self.tell(Outgoing(peer, message))

    def spread(self, message: Any) -> None:
        self.tell(Spreading(message))

    def list_peers(self) -> tuple[Instance, ...]:
        return self._view.list_usable_peers(self._clock.boottime())

    def register(self, message_type: type, handler: Handler) -> None:
        self._handlers[message_type] = handler

    def add_listener(self, listener: AheadListener) -> None:
        """Set a function that is told when a peer may know more than this instance.

        It is called for each such heartbeat, so that a lost pull is made again.
        """
        self._ahead.append(listener)

    def note_store(self, began_at: float) -> None:
        """Report that the store answered.

        :param began_at: boot-time in seconds at which the call began.
        """
        self.tell(StoreHeard(began_at))

    def is_fresh(self, now: float) -> bool:
        return self._view.is_fresh(now)

    async def prepare(self) -> None:
        self._server = await asyncio.start_server(
            self._links.accept, sock=self._listener
        )
        self._links.start_helper(self._poll_list())
        self.tell(BeatDue())

    async def stop(self, exception: Exception | None = None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        self._links.close()
        await super().stop(exception)

    async def handle(self, message: Any) -> None:
        self._actions[type(message)](message)

    async def _poll_list(self) -> None:
        while True:
            found = await self._instances.list()
            if found.is_error():
                logging.warning("the instance list was not read: %s", found.error)
            else:
                listed = tuple(item.instance for item in found.ok)
                leaving = tuple(item.instance for item in found.ok if item.leaving)
                self.tell(Listed(listed, leaving))
            await asyncio.sleep(LIST_INTERVAL_SECONDS)

    def _make_identity(self) -> Identity:
        nonce = bytes(self._random.randrange(256) for _ in range(frames.NONCE_BYTES))
        return Identity(self._own, self._secret, nonce)

    def _add_link(self, message: Opened) -> None:
        self._links.add(message.link)
        self._view.record_message(message.link.stream.peer, self._clock.boottime())

    def _drop_link(self, message: Ended) -> None:
        self._links.remove(message.link)

    def _note_dial_failed(self, message: DialFailed) -> None:
        self._links.drop_waiting(message.peer)
        self._view.record_failure(message.peer, self._clock.boottime())
        for number, (peer, reply) in list(self._pending.items()):
            if peer.incarnation != message.peer.incarnation:
                continue
            del self._pending[number]
            if not reply.done():
                failure = PeerUnreachable("peers", "no connection", peer.address)
                reply.set_result(failure)

    def _deliver(self, peer: Instance, carrier: Any) -> None:
        self._links.deliver(peer, self._outer.encode(carrier))

    def _send_out(self, message: Outgoing) -> None:
        body = self._inner.encode(message.message)
        if message.reply is None:
            self._deliver(message.peer, Tell(body))
            return
        if message.reply.done():
            return
        number = next(self._numbers)
        self._pending[number] = (message.peer, message.reply)
        message.reply.add_done_callback(
            lambda reply: self.tell(GivenUp(number)) if reply.cancelled() else None
        )
        self._deliver(message.peer, Ask(number, body))

    def _give_up(self, message: GivenUp) -> None:
        self._pending.pop(message.number, None)

    def _note_unanswered(self, message: Unanswered) -> None:
        self._view.record_failure(message.peer, self._clock.boottime())

    def _send_answer(self, message: Answering) -> None:
        result = message.message
        body = b"" if result is None else self._inner.encode(result)
        self._links.write(message.link, self._outer.encode(Reply(message.number, body)))

    def _receive(self, message: Received) -> None:
        link = message.link
        self._links.note_received(link)
        decoded = self._outer.decode(message.payload)
        if decoded.is_error():
            logging.warning("%s sent %s", link.stream.peer.address, decoded.error)
            return
        self._view.record_message(link.stream.peer, link.used_at)
        carrier = self._carriers.get(type(decoded.ok))
        if carrier is not None:
            carrier(link, decoded.ok)

    def _receive_beat(self, link: Link, beat: Heartbeat) -> None:
        now = self._clock.boottime()
        progress = self._progress.find_progress()
        outcome = self._view.receive_heartbeat(link.stream.peer, beat, progress, now)
        self._set_timer()
        if outcome.may_be_ahead:
            for listener in self._ahead:
                listener(link.stream.peer, beat.summary)

    def _receive_ask(self, link: Link, message: Ask) -> None:
        self._run_handler(link, message.body, message.number)

    def _receive_tell(self, link: Link, message: Tell) -> None:
        self._run_handler(link, message.body, None)

    def _receive_reply(self, link: Link, message: Reply) -> None:
        peer, reply = self._pending.get(message.number, (None, None))
        if peer is None or peer.incarnation != link.stream.peer.incarnation:
            return
        del self._pending[message.number]
        if reply.done():
            return
        if not message.body:
            reply.set_result(None)
            return
        decoded = self._inner.decode(message.body)
        if decoded.is_error():
            failure = PeerUnreachable("peers", "no reply", str(decoded.error))
            reply.set_result(failure)
            return
        reply.set_result(decoded.ok)

    def _receive_push(self, link: Link, message: Push) -> None:
        if not self._seen.add(_hash_change(message.body), self._clock.boottime()):
            return
        self._run_handler(link, message.body, None)
        hops = min(message.hops, gossip.MAX_HOPS)
        if hops > 0:
            self._push(message.body, hops - 1, link.stream.peer)

    def _start_spreading(self, message: Spreading) -> None:
        body = self._inner.encode(message.message)
        if self._seen.add(_hash_change(body), self._clock.boottime()):
            self._push(body, gossip.MAX_HOPS, self._own)

    def _push(self, body: bytes, hops: int, sender: Instance) -> None:
        now = self._clock.boottime()
        near = [peer for peer in self._view.list_heartbeat_peers(now) if peer != sender]
        others = self._view.list_usable_peers(now) if len(near) < gossip.FAN_OUT else ()
        others = [peer for peer in others if peer != sender]
        for peer in gossip.choose_receivers(near, others, self._random):
            self._deliver(peer, Push(body, hops))

    def _run_handler(self, link: Link, body: bytes, number: int | None) -> None:
        decoded = self._inner.decode(body)
        if decoded.is_error():
            logging.warning("%s sent %s", link.stream.peer.address, decoded.error)
            return
        handler = self._handlers.get(type(decoded.ok))
        if handler is None or self._links.count_helpers() >= RUNNING_LIMIT:
            return
        self._links.start_helper(self._answer(handler, link, decoded.ok, number))

    async def _answer(
        self, handler: Handler, link: Link, message: Any, number: int | None
    ) -> None:
        try:
            result = await handler(link.stream.peer, message)
        except Exception:
            # A fault in one handler must not end the link that serves all others.
            logging.exception("the handler of %s failed", type(message).__name__)
            return
        if number is not None:
            self.tell(Answering(link, number, result))

    def _update_list(self, message: Listed) -> None:
        self._view.set_listed_instances(message.instances, message.leaving)

    def _note_store(self, message: StoreHeard) -> None:
        self._view.freshness.record_store_contact(message.began_at)

    def _beat(self, message: BeatDue) -> None:
        now = self._clock.boottime()
        if now >= self._view.next_heartbeat_at:
            self._links.close_unused(now)
            progress = self._progress.find_progress()
            for peer, beat in self._view.create_heartbeats(progress, now):
                self._deliver(peer, beat)
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay = max(0.0, self._view.next_heartbeat_at - self._clock.boottime())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, self.tell, BeatDue())


def _hash_change(body: bytes) -> int:
    digest = hashlib.blake2b(body, digest_size=8).digest()
    return int.from_bytes(digest, "big")
