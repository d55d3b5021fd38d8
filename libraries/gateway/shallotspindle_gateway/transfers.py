"""Transfer of changes of the store that do not fit into one datagram.

The responder offers the encoded changes and keeps them for a while. The requester
fetches them part by part, so that a lost datagram costs one part and no value is too
large to be passed on.
"""

import zlib
from collections import OrderedDict
from dataclasses import dataclass, replace

from absl import logging
from expression import Error, Result

from shallotspindle_core.failures import Failure
from shallotspindle_gateway.messages import (
    MAX_TRANSFER_BYTES,
    ChangesOffer,
    ChangesResponse,
    Part,
    PartRequest,
    StoreEvent,
)
from shallotspindle_gateway.peers import PeerTransport
from shallotspindle_wire.codec import Codec

# A link of 5 Mbit/s carries a part in 26 ms.
PART_BYTES = 16 * 1024
PART_TIMEOUT_SECONDS = 0.3
# Requesters that are behind ask for the same changes, up to the same revision.
MAX_KEPT_TRANSFERS = 4
# The largest configuration and all announcements of the largest fleet fit in.
MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class TransferFailed(Failure):
    """Offered changes could not be fetched or decoded."""


@dataclass(frozen=True, slots=True)
class StoreEvents:
    """The changes of one transfer."""

    events: tuple[StoreEvent, ...]


@dataclass(frozen=True, slots=True)
class TransferKey:
    """What a transfer contains: the changes of an era between two revisions."""

    era: int
    since: int
    revision: int


CODEC = Codec((StoreEvents,))


def encode_events(events: tuple[StoreEvent, ...]) -> bytes:
    """Return the compressed form in which events are transferred."""
    return zlib.compress(CODEC.encode(StoreEvents(events)), level=1)


def decode_events(data: bytes) -> Result[tuple[StoreEvent, ...], Failure]:
    """Return the events of a transfer, or why they cannot be decoded."""
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        return Error(TransferFailed("peers", "damaged changes", str(error)))
    if not decompressor.eof:
        return Error(TransferFailed("peers", "changes that are too large or cut off"))
    return CODEC.decode(decompressed).map(lambda message: message.events)


class OutgoingTransfers:
    """Keeps the latest changes that were offered to peers."""

    def __init__(self) -> None:
        # Encoded events by era and the revisions between which they happened.
        self._kept: OrderedDict[TransferKey, bytes] = OrderedDict()

    def offer(self, since: int, response: ChangesResponse) -> ChangesOffer | None:
        """Keep the events of a response and return the offer that replaces it.

        :param since: revision after which the events begin; 0 for all values.
        :returns: None if the events are too large for any transfer.
        """
        key = TransferKey(response.era, since, response.revision)
        data = self._keep(key, response.events)
        if len(data) > MAX_TRANSFER_BYTES:
            logging.error("changes of %d bytes cannot be sent to peers", len(data))
            return None
        return ChangesOffer(since, replace(response, events=()), len(data))

    def _keep(self, key: TransferKey, events: tuple[StoreEvent, ...]) -> bytes:
        if key not in self._kept:
            self._kept[key] = encode_events(events)
        self._kept.move_to_end(key)
        while len(self._kept) > MAX_KEPT_TRANSFERS:
            self._kept.popitem(last=False)
        return self._kept[key]

    def handle_part_request(self, sender: str, request: PartRequest) -> Part:
        """Return the requested part."""
        era = self._find_latest_era() if request.era is None else request.era
        data = self._kept.get(TransferKey(era, request.since, request.revision), b"")
        return Part(data[request.offset : request.offset + PART_BYTES])

    def _find_latest_era(self) -> int:
        """Return the era of the latest offers, for requesters that state none."""
        return max((key.era for key in self._kept), default=0)


async def fetch_response(
    peers: PeerTransport, address: str, offer: ChangesOffer
) -> Result[ChangesResponse, Failure]:
    """Fetch offered changes and return the response that contains them."""
    data = bytearray()
    while len(data) < offer.size_bytes:
        request = PartRequest(
            offer.since, offer.summary.revision, len(data), offer.summary.era
        )
        part = await peers.request(address, request, PART_TIMEOUT_SECONDS)
        if not isinstance(part, Part) or not part.data:
            failure = "a peer stopped sending its changes"
            return Error(TransferFailed("peers", failure, f"{address}, {len(data)}"))
        data += part.data
    events = decode_events(bytes(data))
    return events.map(lambda events: replace(offer.summary, events=events))
