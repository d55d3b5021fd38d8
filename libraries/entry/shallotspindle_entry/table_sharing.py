"""Exchange of the ownership table between instances while the store is unavailable.

A peer's table only tells which instance to address. Ownership is gained only through
the store or by consent of the holder.
"""

import asyncio

from absl import logging

from shallotspindle_core.identifiers import Instance
from shallotspindle_entry import ownership_records as records
from shallotspindle_entry.ownership_access import OwnershipAccess
from shallotspindle_ownership.messages import TableRequest, TableResponse
from shallotspindle_ownership.table import OwnershipTable

REQUEST_TIMEOUT_SECONDS = 2.0


class TableSharing:
    """Sends the table to peers on request and requests newer ones from them."""

    def __init__(self, task: OwnershipAccess) -> None:
        self.peer_table = TableResponse(0, b"")
        self._task = task
        self._request: asyncio.Task | None = None
        task.peers.register(TableRequest, self._handle_table_request)

    def request_newer_table(self, peer: Instance, revision: int) -> None:
        """Request a newer table from a peer, with one request at a time."""
        if revision > self._task.seen_revision and self._request is None:
            self._request = asyncio.create_task(self._request_table(peer))
            self._request.add_done_callback(self._end_request)

    def store_peer_table(self, response: TableResponse) -> OwnershipTable | None:
        """Decode and store a peer's table; None if it is damaged."""
        table = records.decode_table(response.data, response.revision)
        if table.is_error():
            logging.error("a peer's ownership table is damaged: %s", table.error)
            return None
        self.peer_table = response
        return table.ok

    async def _handle_table_request(
        self, sender: Instance, message: TableRequest
    ) -> TableResponse:
        table = self._task.table
        if table.revision <= self.peer_table.revision:
            return self.peer_table
        return TableResponse(table.revision, records.encode_table(table))

    async def _request_table(self, peer: Instance) -> None:
        response = await self._task.peers.request(
            peer, TableRequest(), REQUEST_TIMEOUT_SECONDS
        )
        if (
            isinstance(response, TableResponse)
            and response.revision > self._task.seen_revision
        ):
            await self._task.record_peer_table(peer, response)

    def _end_request(self, task: asyncio.Task) -> None:
        self._request = None
        if not task.cancelled() and task.exception() is not None:
            logging.error("requesting the table of a peer failed: %r", task.exception())
