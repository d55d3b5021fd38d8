"""Inbox messages of the peer transport, and the interfaces of its users."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from shallotspindle_core.identifiers import Instance
from shallotspindle_membership.heartbeats import StateSummary
from shallotspindle_wire.streams import Stream


class StateSummarySource(Protocol):
    """Supplies the summary of this instance's state for its heartbeats."""

    def build_summary(self) -> StateSummary:
        """Return the current versions and digests; called for each heartbeat."""


PeerAheadListener = Callable[[Instance, StateSummary], None]


@dataclass(slots=True)
class PeerConnection:
    """A stream to a peer with the times of its use, as boot-times in seconds.

    :param used_at: when a frame was last sent or received.
    :param awaiting_response_since: when the first frame after the last received one was
        sent; None if nothing was sent since.
    """

    stream: Stream
    used_at: float
    awaiting_response_since: float | None = None


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message; ``reply`` is resolved with the peer's response."""

    peer: Instance
    message: Any
    reply: asyncio.Future | None = None


@dataclass(frozen=True, slots=True)
class SendReply:
    """Send the result of a handler over the connection that the request came from."""

    connection: PeerConnection
    number: int
    message: Any


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """Send a message to a few peers, which forward it to others."""

    message: Any


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection was opened by either side."""

    connection: PeerConnection


@dataclass(frozen=True, slots=True)
class DialFailed:
    """A connection to a peer could not be opened."""

    peer: Instance


@dataclass(frozen=True, slots=True)
class FrameReceived:
    """A frame arrived on a connection."""

    connection: PeerConnection
    payload: bytes


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """A connection ended."""

    connection: PeerConnection


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The sender of a request no longer waits for its response."""

    number: int


@dataclass(frozen=True, slots=True)
class RequestTimedOut:
    """A peer did not respond to a request in time."""

    peer: Instance


@dataclass(frozen=True, slots=True)
class HeartbeatDue:
    """The time of the next heartbeats has come."""


@dataclass(frozen=True, slots=True)
class InstancesListed:
    """The instance list of the platform was read."""

    instances: tuple[Instance, ...]
    leaving: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class StoreContacted:
    """The store responded to a call.

    :param began_at: boot-time in seconds at which the call began.
    """

    began_at: float
