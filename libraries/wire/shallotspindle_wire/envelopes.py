"""Messages that carry other messages over one connection."""

from dataclasses import dataclass

from shallotspindle_core.identifiers import Incarnation, Instance


@dataclass(frozen=True, slots=True)
class Introduction:
    """First frame of each side.

    :param sender: who sends.
    :param receiver: whom the dialer means; empty in the listener's answer. A replaced
        instance at a reused address refuses what was meant for its predecessor.
    """

    sender: Instance
    receiver: Incarnation


@dataclass(frozen=True, slots=True)
class Ask:
    """A message that awaits a reply with the same number."""

    number: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to an ``Ask``; an empty body says that there is none."""

    number: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Tell:
    """A message without a reply."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Push:
    """A message that its receiver sends on.

    :param hops: how often it may still be sent on.
    """

    body: bytes
    hops: int


TYPES = (Introduction, Ask, Reply, Tell, Push)
