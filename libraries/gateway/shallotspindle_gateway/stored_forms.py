"""What instances write into the store: members and the holders of partitions.

Other programs may write to the store too, so every value is checked when it is read. A
value that cannot be read counts as absent; it never replaces the reading of others.
"""

import json

from expression import Result
from pydantic import TypeAdapter

from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import FailureDomain
from shallotspindle_gateway.records import Member, PartitionHolder
from shallotspindle_gateway.storage import StoredValue
from shallotspindle_validation import documents
from shallotspindle_validation.fields import Ipv4Address, Megabits, Name

MEMBER_PREFIX = "members/"
PARTITION_PREFIX = "limits/"
PARTITION_COUNT = 16
PARTITION_KEYS = tuple(
    f"{PARTITION_PREFIX}{number}" for number in range(PARTITION_COUNT)
)
# Larger than any announcement, member or holder. A larger value would not fit into a
# datagram to the peers, and none of them could follow the store past it.
MAX_ENTRY_BYTES = 8 * 1024

MEMBER_ADAPTER = TypeAdapter(tuple[Ipv4Address, Name, Megabits])
HOLDER_ADAPTER = TypeAdapter(tuple[Ipv4Address, Name])


def drop_oversized_value(stored: StoredValue) -> StoredValue:
    """Return an entry without its value if that is too large to be valid."""
    if len(stored.value) <= MAX_ENTRY_BYTES:
        return stored
    return StoredValue(stored.key, b"", stored.revision)


def encode_member(member: Member) -> bytes:
    """Return the value of a member's key."""
    return json.dumps([member.address, member.domain, member.capacity]).encode()


def decode_member(stored: StoredValue) -> Result[Member, Failure]:
    """Return the member that is registered under a key."""
    decoded = documents.decode_with(MEMBER_ADAPTER, stored.key, stored.value)
    return decoded.map(
        lambda fields: Member(fields[0], FailureDomain(fields[1]), fields[2])
    )


def encode_holder(address: str, incarnation: str) -> bytes:
    """Return the value of a partition's key."""
    return json.dumps([address, incarnation]).encode()


def decode_holder(stored: StoredValue) -> Result[PartitionHolder, Failure]:
    """Return the holder that is registered under a partition's key."""
    decoded = documents.decode_with(HOLDER_ADAPTER, stored.key, stored.value)
    return decoded.map(lambda fields: PartitionHolder(*fields, stored.revision))
