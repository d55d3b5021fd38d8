"""Spreads the ownership table between instances while the store is away.

What a peer tells shows only whom to ask; rights come from the store or from the
holder's consent.
"""

import asyncio

from absl import logging

from shallotspindle_core.identifiers import Instance
from shallotspindle_entry import ownership_records as records
from shallotspindle_entry.ownership_access import OwnershipAccess
from shallotspindle_ownership.messages import TableRequest, TableResponse
from shallotspindle_ownership.table import OwnershipTable

PULL_SECONDS = 2.0


class TableSharing:
    """Tells peers the table and asks those that know a newer one."""

    def __init__(self, task: OwnershipAccess) -> None:
        self.told = TableResponse(0, b"")
        self._task = task
        self._pulling: asyncio.Task | None = None
        task.link.register(TableRequest, self._tell)

    def note_ahead(self, peer: Instance, revision: int) -> None:
        """Ask a peer whose table is newer, one peer at a time."""
        if revision > self._task.seen_revision and self._pulling is None:
            self._pulling = asyncio.create_task(self._pull(peer))
            self._pulling.add_done_callback(self._end_pull)

    def take(self, told: TableResponse) -> OwnershipTable | None:
        """Keep what a peer told; None if it is damaged."""
        try:
            table = records.decode_table(told.data, told.revision)
        except records.DAMAGED as error:
            logging.error("a peer's ownership table is damaged: %r", error)
            return None
        self.told = told
        return table

    async def _tell(self, sender: Instance, message: TableRequest) -> TableResponse:
        table = self._task.table
        if table.revision <= self.told.revision:
            return self.told
        return TableResponse(table.revision, records.encode_table(table))

    async def _pull(self, peer: Instance) -> None:
        told = await self._task.link.request(peer, TableRequest(), PULL_SECONDS)
        if isinstance(told, TableResponse) and told.revision > self._task.seen_revision:
            await self._task.take_told(peer, told)

    def _end_pull(self, task: asyncio.Task) -> None:
        self._pulling = None
        if not task.cancelled() and task.exception() is not None:
            logging.error("the table was not pulled: %r", task.exception())
