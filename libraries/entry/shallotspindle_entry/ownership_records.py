"""Encoding of the ownership table and of session records in the store."""

import json
import zlib
from types import MappingProxyType

from shallotspindle_core.hashing import PARTITION_COUNT
from shallotspindle_core.identifiers import Incarnation, Instance
from shallotspindle_ownership.table import OwnershipEntry, OwnershipTable

TABLE_KEY = "ownership/table"
SESSION_PREFIX = "sessions/"
# What a damaged value raises while it is decoded.
DAMAGED = (ValueError, TypeError, KeyError, IndexError, zlib.error)


def name_session(incarnation: Incarnation) -> str:
    """Return the store key of an instance's session record."""
    return SESSION_PREFIX + incarnation


def encode_table(table: OwnershipTable) -> bytes:
    """Encode the entries as two columns, which compress better than rows.

    Holders are listed once, since each holds several partitions.
    """
    holders = sorted({entry.holder for entry in table.entries.values()})
    indexes = {holder: index for index, holder in enumerate(holders)}
    found = [table.entries.get(number) for number in range(PARTITION_COUNT)]
    columns = {
        "holders": holders,
        "indexes": [indexes[entry.holder] if entry else -1 for entry in found],
        "epochs": [entry.epoch if entry else 0 for entry in found],
    }
    return zlib.compress(json.dumps(columns, separators=(",", ":")).encode(), 9)


def decode_table(data: bytes, revision: int) -> OwnershipTable:
    """Decode the stored table.

    :raises ValueError: or another of ``DAMAGED`` if the value is malformed.
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


def encode_session(me: Instance, counter: int) -> bytes:
    """Encode the session record of an instance."""
    record = {"counter": counter, "address": me.address, "domain": me.domain}
    return json.dumps(record).encode()


def decode_counter(data: bytes) -> int:
    """Return the renewal counter of a session record, 0 if it is absent or damaged."""
    try:
        return int(json.loads(data)["counter"]) if data else 0
    except DAMAGED:
        return 0
