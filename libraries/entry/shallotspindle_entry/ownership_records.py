"""Encoding of the ownership table and of session records in the store."""

import json
import zlib
from types import MappingProxyType

from expression import Error, Ok, Result
from pydantic import BaseModel, TypeAdapter

from shallotspindle_core.failures import Failure
from shallotspindle_core.hashing import PARTITION_COUNT
from shallotspindle_core.identifiers import Incarnation, Instance
from shallotspindle_ownership.table import OwnershipEntry, OwnershipTable
from shallotspindle_validation import documents
from shallotspindle_validation.fields import Counter, Name

TABLE_KEY = "ownership/table"
SESSION_PREFIX = "sessions/"
# A table of 770 holders has 70 KB.
MAX_TABLE_BYTES = 1024 * 1024


class TableColumns(BaseModel):
    """The stored table.

    :param indexes: for each partition the position of its holder, or -1 for none.
    :param epochs: for each partition its epoch.
    """

    holders: list[Name]
    indexes: list[int]
    epochs: list[Counter]


class SessionRecord(BaseModel):
    """The part of a session record that is read."""

    counter: Counter


COLUMNS_ADAPTER = TypeAdapter(TableColumns)
SESSION_ADAPTER = TypeAdapter(SessionRecord)


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


def decode_table(data: bytes, revision: int) -> Result[OwnershipTable, Failure]:
    """Decode the stored table; a damaged one is a failure and never looks empty."""
    if revision == 0:
        return Ok(OwnershipTable())
    try:
        text = zlib.decompressobj().decompress(data, MAX_TABLE_BYTES)
    except zlib.error as error:
        return Error(Failure(TABLE_KEY, "the table is not compressed", str(error)))
    decoded = documents.decode_with(COLUMNS_ADAPTER, TABLE_KEY, text)
    return decoded.bind(lambda columns: _build_table(columns, revision))


def _build_table(
    columns: TableColumns, revision: int
) -> Result[OwnershipTable, Failure]:
    is_consistent = len(columns.indexes) == len(columns.epochs) <= PARTITION_COUNT
    if not is_consistent or max(columns.indexes, default=-1) >= len(columns.holders):
        return Error(Failure(TABLE_KEY, "the columns do not fit together"))
    entries = {
        number: OwnershipEntry(Incarnation(columns.holders[index]), epoch)
        for number, (index, epoch) in enumerate(
            zip(columns.indexes, columns.epochs, strict=True)
        )
        if index >= 0
    }
    return Ok(OwnershipTable(revision, MappingProxyType(entries)))


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
    decoded = documents.decode_with(SESSION_ADAPTER, SESSION_PREFIX, data)
    return decoded.map(lambda record: record.counter).default_value(0)
