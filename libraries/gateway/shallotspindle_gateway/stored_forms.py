"""What instances write into the store: members, holders of partitions and crashes.

Other programs may write to the store too, so every value is checked when it is read. A
value that cannot be read counts as absent; it never replaces the reading of others.
"""

import json
from collections.abc import Mapping
from typing import Any

from absl import logging
from expression import Result
from pydantic import TypeAdapter

from shallotspindle_core.failures import Failure
from shallotspindle_core.identifiers import FailureDomain, UpstreamName
from shallotspindle_gateway.records import Member, PartitionHolder
from shallotspindle_gateway.storage import StoredValue
from shallotspindle_lending.crashes import CrashRecord, select_important
from shallotspindle_validation import documents
from shallotspindle_validation.fields import (
    Counter,
    Fingerprint,
    Ipv4Address,
    Megabits,
    Name,
)

MEMBER_PREFIX = "members/"
PARTITION_PREFIX = "limits/"
PARTITION_COUNT = 16
PARTITION_KEYS = tuple(
    f"{PARTITION_PREFIX}{number}" for number in range(PARTITION_COUNT)
)
# Larger than any announcement, member or holder. A larger value would not fit into a
# datagram to the peers, and none of them could follow the store past it.
MAX_ENTRY_BYTES = 8 * 1024

# Records of the requests that crash upstreams, divided by fingerprint.
CRASH_PREFIX = "crashes/"
CRASH_KEY_COUNT = 16
CRASH_KEYS = tuple(f"{CRASH_PREFIX}{number}" for number in range(CRASH_KEY_COUNT))

MEMBER_ADAPTER = TypeAdapter(tuple[Ipv4Address, Name, Megabits])
HOLDER_ADAPTER = TypeAdapter(tuple[Ipv4Address, Name])
CRASHES_ADAPTER = TypeAdapter(dict[str, Any])
# Fingerprint in hexadecimal, the number of crashes, the names of upstreams, the Unix
# time of the last crash in seconds, and the number of trials.
CRASH_ADAPTER = TypeAdapter(
    tuple[Fingerprint, Counter, tuple[Name, ...], Counter, Counter]
)


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


def find_crash_key(fingerprint: int) -> str:
    """Return the key under which the crashes of a request are stored."""
    return CRASH_KEYS[fingerprint % CRASH_KEY_COUNT]


def encode_crashes(records: Mapping[int, CrashRecord]) -> bytes:
    """Return the value of a key with records of crashes.

    The least important records are left out if the value would be too large.
    """
    kept = select_important(records, len(records))
    while True:
        document = {
            f"{fingerprint:016x}": [
                record.count,
                record.upstreams,
                record.last_crash_at,
                record.trials,
            ]
            for fingerprint, record in sorted(kept.items())
        }
        value = json.dumps(document, separators=(",", ":")).encode()
        if len(value) <= MAX_ENTRY_BYTES:
            return value
        kept = select_important(kept, len(kept) * MAX_ENTRY_BYTES // len(value))


def decode_crashes(stored: StoredValue) -> Result[dict[int, CrashRecord], Failure]:
    """Return the valid records of crashes that are stored under a key."""
    decoded = documents.decode_with(CRASHES_ADAPTER, stored.key, stored.value)
    return decoded.map(lambda document: _select_valid_crashes(stored.key, document))


def _select_valid_crashes(key: str, document: dict[str, Any]) -> dict[int, CrashRecord]:
    """Return the records of a document; a malformed one is left out by itself."""
    records = {}
    for fingerprint, fields in document.items():
        values = fields if isinstance(fields, list) else [fields]
        checked = documents.check_with(CRASH_ADAPTER, key, [fingerprint, *values])
        if checked.is_error():
            logging.warning("ignored a record of crashes: %s", checked.error)
            continue
        _, count, names, last_crash_at, trials = checked.ok
        records[int(fingerprint, 16)] = CrashRecord(
            count, tuple(map(UpstreamName, names)), last_crash_at, trials
        )
    return records
