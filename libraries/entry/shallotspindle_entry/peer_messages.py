"""Messages in the inbox of the peers task, and the interfaces of its users."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from shallotspindle_core.identifiers import Instance
from shallotspindle_membership.heartbeats import StateSummary
from shallotspindle_wire.streams import Stream


class ProgressSource(Protocol):
    """Supplies what this instance knows, for the heartbeats."""

    def find_progress(self) -> StateSummary:
        """Return versions and digests as they are now; called for each heartbeat."""


AheadListener = Callable[[Instance, StateSummary], None]


@dataclass(slots=True)
class Link:
    """A stream with the times of its use.

    :param used_at: when a frame was last sent or received, in seconds.
    :param unanswered_since: when the first frame was sent after the last one that was
        received, in seconds.
    """

    stream: Stream
    used_at: float
    unanswered_since: float | None = None


@dataclass(frozen=True, slots=True)
class Outgoing:
    """Send a message; ``reply`` is resolved with the answer."""

    peer: Instance
    message: Any
    reply: asyncio.Future | None = None


@dataclass(frozen=True, slots=True)
class Answering:
    """Send the answer of a handler over the stream of its question."""

    link: Link
    number: int
    message: Any


@dataclass(frozen=True, slots=True)
class Spreading:
    """Send a change to a few peers."""

    message: Any


@dataclass(frozen=True, slots=True)
class Opened:
    """A stream was opened by either side."""

    link: Link


@dataclass(frozen=True, slots=True)
class DialFailed:
    """A peer could not be reached."""

    peer: Instance


@dataclass(frozen=True, slots=True)
class Received:
    """A frame arrived."""

    link: Link
    payload: bytes


@dataclass(frozen=True, slots=True)
class Ended:
    """A stream ended."""

    link: Link


@dataclass(frozen=True, slots=True)
class GivenUp:
    """Nobody waits for the answer to a request any more."""

    number: int


@dataclass(frozen=True, slots=True)
class Unanswered:
    """A peer did not answer a request in time."""

    peer: Instance


@dataclass(frozen=True, slots=True)
class BeatDue:
    """The next heartbeats are due."""


@dataclass(frozen=True, slots=True)
class Listed:
    """The platform's list was read."""

    instances: tuple[Instance, ...]
    leaving: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class StoreHeard:
    """The store answered a call that began at this boot-time."""

    began_at: float
