"""Task that owns the TCP connections to other instances.

It exchanges heartbeats with its neighbours, transports the messages of other tasks,
and tracks how recently this instance learned of changes.
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
from shallotspindle_entry.interfaces import MessageHandler, PeerUnreachable
from shallotspindle_entry.peer_connections import ConnectionPool
from shallotspindle_entry.peer_messages import (
    ConnectionClosed,
    ConnectionOpened,
    DialFailed,
    FrameReceived,
    GossipMessage,
    HeartbeatDue,
    InstancesListed,
    PeerAheadListener,
    PeerConnection,
    RequestCancelled,
    RequestTimedOut,
    SendMessage,
    SendReply,
    StateSummarySource,
    StoreContacted,
)
from shallotspindle_entry.tasks import InboxTask
from shallotspindle_environment.interface import InstanceList
from shallotspindle_membership import gossip
from shallotspindle_membership.freshness import FreshnessTracker
from shallotspindle_membership.heartbeats import Heartbeat
from shallotspindle_membership.views import MembershipView
from shallotspindle_wire import envelopes, frames
from shallotspindle_wire.codec import Codec
from shallotspindle_wire.envelopes import Ask, Gossip, Reply, Tell
from shallotspindle_wire.streams import HandshakeParameters

LIST_INTERVAL_SECONDS = 5.0
# Limit of handlers that run concurrently; further messages are dropped, and senders
# see them as lost.
MAX_RUNNING_HANDLERS = 1_000


class PeerTransport(InboxTask):
    """Connections to other instances; implements ``PeerMessaging`` and ``Freshness``.

    :param listener: listening socket at the address of ``own_instance``.
    :param secret: the fleet secret.
    :param random: must be unpredictable, since it generates the handshake nonces.
    :param message_types: all message types that other tasks send or respond with.
    :param domains: failure domains of the fleet that the settings name.
    """

    def __init__(
        self,
        own_instance: Instance,
        listener: socket.socket,
        secret: bytes,
        clock: Clock,
        random: RandomSource,
        instances: InstanceList,
        summary_source: StateSummarySource,
        message_types: Iterable[type],
        domains: Iterable[FailureDomain] = (),
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._own_instance = own_instance
        self._listener = listener
        self._secret = secret
        self._clock = clock
        self._random = random
        self._instances = instances
        self._summary_source = summary_source
        self._envelope_codec = Codec((*envelopes.ENVELOPE_TYPES, Heartbeat))
        self._message_codec = Codec(message_types)
        self._view = MembershipView(
            own_instance,
            FreshnessTracker(own_instance.domain, domains),
            clock.boottime(),
        )
        self._seen_changes = gossip.SeenChanges()
        self._connections = ConnectionPool(
            self._create_handshake_parameters, clock, self.tell
        )
        self._pending_replies: dict[int, tuple[Instance, asyncio.Future]] = {}
        self._request_numbers = itertools.count(1)
        self._handlers: dict[type, MessageHandler] = {}
        self._ahead_listeners: list[PeerAheadListener] = []
        self._heartbeat_timer: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None
        self.traffic = self._connections.traffic
        self._inbox_handlers: dict[type, Callable[[Any], None]] = {
            SendMessage: self._send_message,
            SendReply: self._send_reply,
            GossipMessage: self._start_gossip,
            ConnectionOpened: self._add_connection,
            DialFailed: self._handle_dial_failure,
            FrameReceived: self._receive_frame,
            ConnectionClosed: self._remove_connection,
            RequestCancelled: self._cancel_request,
            RequestTimedOut: self._record_timeout,
            HeartbeatDue: self._send_heartbeats,
            InstancesListed: self._set_listed_instances,
            StoreContacted: self._record_store_contact,
        }
        self._envelope_handlers: dict[type, Callable[[PeerConnection, Any], None]] = {
            Heartbeat: self._receive_heartbeat,
            Ask: self._receive_ask,
            Reply: self._receive_reply,
            Tell: self._receive_tell,
            Gossip: self._receive_gossip,
        }

    async def request(
        self, peer: Instance, message: Any, timeout: float
    ) -> Any | PeerUnreachable:
        reply = asyncio.get_running_loop().create_future()
        self.tell(SendMessage(peer, message, reply))
        try:
            async with asyncio.timeout(timeout):
                return await reply
        except TimeoutError:
            self.tell(RequestTimedOut(peer))
            return PeerUnreachable("peers", "no response in time", peer.address)

    def send(self, peer: Instance, message: Any) -> None:
        self.tell(SendMessage(peer, message))

    def gossip(self, message: Any) -> None:
        self.tell(GossipMessage(message))

    def list_peers(self) -> tuple[Instance, ...]:
        return self._view.list_usable_peers(self._clock.boottime())

    def register(self, message_type: type, handler: MessageHandler) -> None:
        self._handlers[message_type] = handler

    def add_ahead_listener(self, listener: PeerAheadListener) -> None:
        """Add a function that is called when a peer may be ahead of this instance.

        It is called for each such heartbeat, so that a lost request is sent again.
        """
        self._ahead_listeners.append(listener)

    def record_store_contact(self, began_at: float) -> None:
        """Record that the store responded to a call.

        :param began_at: boot-time in seconds at which the call began.
        """
        self.tell(StoreContacted(began_at))

    def is_fresh(self, now: float) -> bool:
        return self._view.is_fresh(now)

    async def prepare(self) -> None:
        self._server = await asyncio.start_server(
            self._connections.accept, sock=self._listener
        )
        self._connections.start_background_task(self._poll_list())
        self.tell(HeartbeatDue())

    async def stop(self, exception: Exception | None = None) -> None:
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        if self._server is not None:
            self._server.close()
        self._connections.close()
        await super().stop(exception)

    async def handle(self, message: Any) -> None:
        self._inbox_handlers[type(message)](message)

    async def _poll_list(self) -> None:
        while True:
            with self.errors.absorb("instance list"):
                await self._read_list()
            await asyncio.sleep(LIST_INTERVAL_SECONDS)

    async def _read_list(self) -> None:
        listing = await self._instances.list()
        if listing.is_error():
            logging.warning("reading the instance list failed: %s", listing.error)
            return
        listed = tuple(each.instance for each in listing.ok)
        leaving = tuple(each.instance for each in listing.ok if each.is_leaving)
        self.tell(InstancesListed(listed, leaving))

    def _create_handshake_parameters(self) -> HandshakeParameters:
        nonce = bytes(self._random.randrange(256) for _ in range(frames.NONCE_BYTES))
        return HandshakeParameters(self._own_instance, self._secret, nonce)

    def _add_connection(self, message: ConnectionOpened) -> None:
        self._connections.add(message.connection)
        self._view.record_message(
            message.connection.stream.peer, self._clock.boottime()
        )

    def _remove_connection(self, message: ConnectionClosed) -> None:
        self._connections.remove(message.connection)

    def _handle_dial_failure(self, message: DialFailed) -> None:
        self._connections.drop_queued_messages(message.peer)
        self._view.record_failure(message.peer, self._clock.boottime())
        for number, (peer, reply) in list(self._pending_replies.items()):
            if peer.incarnation != message.peer.incarnation:
                continue
            del self._pending_replies[number]
            if not reply.done():
                failure = PeerUnreachable("peers", "no connection", peer.address)
                reply.set_result(failure)

    def _deliver(self, peer: Instance, envelope: Any) -> None:
        self._connections.deliver(peer, self._envelope_codec.encode(envelope))

    def _send_message(self, message: SendMessage) -> None:
        body = self._message_codec.encode(message.message)
        if message.reply is None:
            self._deliver(message.peer, Tell(body))
            return
        if message.reply.done():
            return
        number = next(self._request_numbers)
        self._pending_replies[number] = (message.peer, message.reply)
        message.reply.add_done_callback(
            lambda reply: (
                self.tell(RequestCancelled(number)) if reply.cancelled() else None
            )
        )
        self._deliver(message.peer, Ask(number, body))

    def _cancel_request(self, message: RequestCancelled) -> None:
        self._pending_replies.pop(message.number, None)

    def _record_timeout(self, message: RequestTimedOut) -> None:
        self._view.record_failure(message.peer, self._clock.boottime())

    def _send_reply(self, message: SendReply) -> None:
        result = message.message
        body = b"" if result is None else self._message_codec.encode(result)
        self._connections.write(
            message.connection, self._envelope_codec.encode(Reply(message.number, body))
        )

    def _receive_frame(self, message: FrameReceived) -> None:
        connection = message.connection
        self._connections.record_received_frame(connection)
        decoded = self._envelope_codec.decode(message.payload)
        if decoded.is_error():
            logging.warning(
                "ignored a message from %s: %s",
                connection.stream.peer.address,
                decoded.error,
            )
            return
        self._view.record_message(connection.stream.peer, connection.used_at)
        handler = self._envelope_handlers.get(type(decoded.ok))
        if handler is not None:
            handler(connection, decoded.ok)

    def _receive_heartbeat(
        self, connection: PeerConnection, heartbeat: Heartbeat
    ) -> None:
        now = self._clock.boottime()
        summary = self._summary_source.build_summary()
        outcome = self._view.receive_heartbeat(
            connection.stream.peer, heartbeat, summary, now
        )
        self._schedule_heartbeat()
        if outcome.may_be_ahead:
            for listener in self._ahead_listeners:
                listener(connection.stream.peer, heartbeat.summary)

    def _receive_ask(self, connection: PeerConnection, message: Ask) -> None:
        self._dispatch_message(connection, message.body, message.number)

    def _receive_tell(self, connection: PeerConnection, message: Tell) -> None:
        self._dispatch_message(connection, message.body, None)

    def _receive_reply(self, connection: PeerConnection, message: Reply) -> None:
        peer, reply = self._pending_replies.get(message.number, (None, None))
        if peer is None or peer.incarnation != connection.stream.peer.incarnation:
            return
        del self._pending_replies[message.number]
        if reply.done():
            return
        if not message.body:
            reply.set_result(None)
            return
        decoded = self._message_codec.decode(message.body)
        if decoded.is_error():
            failure = PeerUnreachable(
                "peers", "the response cannot be decoded", str(decoded.error)
            )
            reply.set_result(failure)
            return
        reply.set_result(decoded.ok)

    def _receive_gossip(self, connection: PeerConnection, message: Gossip) -> None:
        if not self._seen_changes.add(
            _hash_message(message.body), self._clock.boottime()
        ):
            return
        self._dispatch_message(connection, message.body, None)
        hops = min(message.remaining_hops, gossip.MAX_HOPS)
        if hops > 0:
            self._send_gossip(message.body, hops - 1, connection.stream.peer)

    def _start_gossip(self, message: GossipMessage) -> None:
        body = self._message_codec.encode(message.message)
        if self._seen_changes.add(_hash_message(body), self._clock.boottime()):
            self._send_gossip(body, gossip.MAX_HOPS, self._own_instance)

    def _send_gossip(self, body: bytes, hops: int, sender: Instance) -> None:
        now = self._clock.boottime()
        neighbours = [
            peer for peer in self._view.list_heartbeat_peers(now) if peer != sender
        ]
        others = (
            self._view.list_usable_peers(now)
            if len(neighbours) < gossip.FAN_OUT
            else ()
        )
        others = [peer for peer in others if peer != sender]
        for peer in gossip.choose_receivers(neighbours, others, self._random):
            self._deliver(peer, Gossip(body, hops))

    def _dispatch_message(
        self, connection: PeerConnection, body: bytes, number: int | None
    ) -> None:
        decoded = self._message_codec.decode(body)
        if decoded.is_error():
            logging.warning(
                "ignored a message from %s: %s",
                connection.stream.peer.address,
                decoded.error,
            )
            return
        handler = self._handlers.get(type(decoded.ok))
        if (
            handler is None
            or self._connections.count_background_tasks() >= MAX_RUNNING_HANDLERS
        ):
            return
        self._connections.start_background_task(
            self._run_and_reply(handler, connection, decoded.ok, number)
        )

    async def _run_and_reply(
        self,
        handler: MessageHandler,
        connection: PeerConnection,
        message: Any,
        number: int | None,
    ) -> None:
        try:
            result = await handler(connection.stream.peer, message)
        except Exception:
            # The connection carries other messages too and must survive the error.
            self.errors.record(type(message).__name__)
            return
        if number is not None:
            self.tell(SendReply(connection, number, result))

    def _set_listed_instances(self, message: InstancesListed) -> None:
        self._view.set_listed_instances(message.instances, message.leaving)

    def _record_store_contact(self, message: StoreContacted) -> None:
        self._view.freshness.record_store_contact(message.began_at)

    def _send_heartbeats(self, message: HeartbeatDue) -> None:
        now = self._clock.boottime()
        if now >= self._view.next_heartbeat_at:
            self._connections.close_unused(now)
            summary = self._summary_source.build_summary()
            for peer, heartbeat in self._view.create_heartbeats(summary, now):
                self._deliver(peer, heartbeat)
        self._schedule_heartbeat()

    def _schedule_heartbeat(self) -> None:
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        delay = max(0.0, self._view.next_heartbeat_at - self._clock.boottime())
        loop = asyncio.get_running_loop()
        self._heartbeat_timer = loop.call_later(delay, self.tell, HeartbeatDue())


def _hash_message(body: bytes) -> int:
    digest = hashlib.blake2b(body, digest_size=8).digest()
    return int.from_bytes(digest, "big")
