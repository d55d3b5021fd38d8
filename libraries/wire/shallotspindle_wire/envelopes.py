"""Envelopes: messages that carry encoded messages between two instances."""

from dataclasses import dataclass
from typing import ClassVar

from shallotspindle_core.identifiers import Incarnation, Instance


@dataclass(frozen=True, slots=True)
class Introduction:
    """First frame that each side sends.

    :param receiver: the instance that the dialer wants to reach; empty in the frame of
        the listener. It lets an instance at a reused address refuse connections that
        were meant for the instance it replaced.
    """

    sender: Instance
    receiver: Incarnation


@dataclass(frozen=True, slots=True)
class Ask:
    """A request; the reply has the same number."""

    number: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply to an ``Ask``.

    :param body: the encoded reply; empty if the receiver has none to give.
    """

    number: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Tell:
    """A one-way message."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Gossip:
    """A message that its receiver forwards to other instances.

    :param remaining_hops: how many more times the message may be forwarded.
    """

    KIND: ClassVar[str] = "push"

    body: bytes
    remaining_hops: int


ENVELOPE_TYPES = (Introduction, Ask, Reply, Tell, Gossip)
