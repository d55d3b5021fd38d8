"""Bounds on values that arrive from outside the process.

The largest values that other code must be able to handle are named here once. A field
of a message states its bounds with ``typing.Annotated``; the codec checks them.
"""

from dataclasses import dataclass
from typing import Annotated, Any, Protocol

from shallotspindle_core import addresses

# The longest timeout, lease or warm-up that any deployment states is below a day.
MAX_SECONDS = 86_400.0
MAX_SLOTS = 1_000
# Requests that run or wait in an upstream, divided by its slots.
MAX_LOAD = 1_000.0
MAX_CONNECTIONS = 1_000_000
MAX_WEIGHT = 1_000_000.0
MAX_REQUESTS_PER_SECOND = 1_000_000_000.0
MAX_MEGABITS_PER_SECOND = 1_000_000_000.0
MAX_PRIORITY = 1_000_000
MAX_ATTEMPTS = 1_000
MAX_BYTES = 2**40
MAX_NAME_LENGTH = 200
# Largest integer that every JSON implementation keeps exactly.
MAX_COUNTER = 2**53 - 1
# Largest integer that fits into a signed field of 64 bits.
MAX_REVISION = 2**63 - 1
# Largest hash of 64 bits.
MAX_FINGERPRINT = 2**64 - 1


class Constraint(Protocol):
    """A condition on the value of a field, beside its type."""

    def accepts(self, value: Any) -> bool:
        """Return whether the value, which has the type of the field, is allowed."""


@dataclass(frozen=True, slots=True)
class Range:
    """Allows numbers from a minimum to a maximum."""

    minimum: float
    maximum: float

    def accepts(self, value: Any) -> bool:
        return self.minimum <= value <= self.maximum


@dataclass(frozen=True, slots=True)
class AddressFormat:
    """Allows texts of the form ``ip:port``."""

    def accepts(self, value: Any) -> bool:
        return addresses.is_address(value)


# A time from now; one in the past is negative.
Seconds = Annotated[float, Range(-MAX_SECONDS, MAX_SECONDS)]
Revision = Annotated[int, Range(0, MAX_REVISION)]
Era = Annotated[int, Range(0, MAX_REVISION)]
Fingerprint = Annotated[int, Range(0, MAX_FINGERPRINT)]
UnixMilliseconds = Annotated[int, Range(0, MAX_COUNTER)]
Address = Annotated[str, AddressFormat()]
Priority = Annotated[int, Range(-MAX_PRIORITY, MAX_PRIORITY)]
