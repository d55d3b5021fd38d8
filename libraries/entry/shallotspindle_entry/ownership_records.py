"""Encoding of the ownership table and of session records in the store."""

import json
import zlib
from types import MappingProxyType

from shallotspindle_core.hashing import PARTITION_COUNT
from shallotspindle_core.identifiers import Incarnation, Instance
from shallotspindle_ownership.table import OwnershipEntry, OwnershipTable

TABLE_KEY = "ownership/table"
SESSION_PREFIX = "sessions/"
# Errors that decoding a damaged value can raise.
DECODE_ERRORS = (ValueError, TypeError, KeyError, IndexError, zlib.error)


def build_session_key(incarnation: Incarnation) -> str:
    """Return the store key of an instance's session record."""
    return SESSION_PREFIX + incarnation


def encode_table(table: OwnershipTable) -> bytes:
    """Encode the entries as columns, which compress better than rows.

    Each holder is listed once, since it holds several partitions.
    """
    holders = sorted({entry.holder for entry in table.entries.values()})
    indexes = {holder: index for index, holder in enumerate(holders)}
    entries = [table.entries.get(number) for number in range(PARTITION_COUNT)]
    columns = {
        "holders": holders,
        "indexes": [indexes[entry.holder] if entry else -1 for entry in entries],
        "epochs": [entry.epoch if entry else 0 for entry in entries],
    }
    return zlib.compress(json.dumps(columns, separators=(",", ":")).encode(), 9)


def decode_table(data: bytes, revision: int) -> OwnershipTable:
    """Decode the stored table.

    :raises ValueError: or another of ``DECODE_ERRORS`` if the value is malformed.
    """
    if revision == 0:
        return OwnershipTable()
    columns = json.loads(zlib.decompress(data))
    holders = columns["holders"]
    pairs = zip(columns["indexes"], columns["epochs"], strict=True)
    entries = {
        number: OwnershipEntry(Incarnation(holders[index]), int(epoch))
        for number, (index, epoch) in enumerate(pairs)
        if index >= 0
    }
    return OwnershipTable(revision, MappingProxyType(entries))


def encode_session(own_instance: Instance, counter: int) -> bytes:
    """Encode the session record of an instance."""
    record = {
        "counter": counter,
        "address": own_instance.address,
        "domain": own_instance.domain,
    }
    return json.dumps(record).encode()


def decode_counter(data: bytes) -> int:
    """Return the renewal counter of a session record, 0 if it is absent or damaged."""
    try:
        return int(json.loads(data)["counter"]) if data else 0
    except DECODE_ERRORS:
        return 0
