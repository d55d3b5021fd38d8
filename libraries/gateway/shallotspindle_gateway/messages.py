"""Messages between gateways, beside those about slots.

``KIND`` is the kind on the wire of a class that was renamed.
"""

from dataclasses import dataclass
from typing import Annotated, ClassVar

from shallotspindle_core.bounds import Era, Range, Revision, Seconds
from shallotspindle_core.identifiers import TeamName
from shallotspindle_lending import records as lending_records

# Largest compressed size of changes that are sent in parts.
MAX_TRANSFER_BYTES = 8 * 1024 * 1024
ByteOffset = Annotated[int, Range(0, MAX_TRANSFER_BYTES)]
# Key, value, revision and whether the key was removed.
StoreEvent = tuple[str, bytes, Revision, bool]


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Asks the holder of a team's partition for one token of its rate limit.

    :param wait_seconds: longest time that the requester would wait for the token.
    :param new_holder_wait_seconds: the same if the holder has only just acquired the
        partition.
    """

    KIND: ClassVar[str] = "tokenasked"

    team: TeamName
    wait_seconds: Seconds
    new_holder_wait_seconds: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """Grants one token.

    :param wait_seconds: time after which the token may be used.
    """

    KIND: ClassVar[str] = "tokengiven"

    wait_seconds: Seconds


@dataclass(frozen=True, slots=True)
class TokenDenial:
    """Denies a token because the team has used up its rate limit.

    :param retry_after: time until a token is expected, in seconds.
    """

    KIND: ClassVar[str] = "tokendenied"

    retry_after: Seconds


@dataclass(frozen=True, slots=True)
class NotHolder:
    """The instance does not hold the team's partition."""


@dataclass(frozen=True, slots=True)
class ChangesRequest:
    """Asks a peer for the changes of the store.

    :param revision: revision up to which the requester knows the changes.
    :param era: era of that revision; builds up to 77a2384 send none.
    """

    KIND: ClassVar[str] = "changesasked"

    revision: Revision
    era: Era = 0


@dataclass(frozen=True, slots=True)
class ChangesResponse:
    """The changes of the store that the responder knows.

    :param revision: revision up to which the response contains the changes.
    :param age_seconds: time since the responder's view of the store was confirmed,
        counted from the sending of the call to the store.
    :param store_response_age_seconds: time since a response of the store confirmed
        that there were no other changes.
    :param grace_seconds: time for which announcements that disappear are kept.
    :param is_history_missing: whether the responder does not know all changes since
        the requester's revision.
    :param is_complete: whether the response contains all changes that the responder
        knows.
    :param is_store_failing: whether calls of the responder to the store fail and no
        peer has passed on a later response.
    :param era: era of the revisions.
    """

    KIND: ClassVar[str] = "changestold"

    revision: Revision
    age_seconds: Seconds
    store_response_age_seconds: Seconds
    grace_seconds: Seconds = 0.0
    events: tuple[StoreEvent, ...] = ()
    is_history_missing: bool = False
    is_complete: bool = True
    is_store_failing: bool = False
    era: Era = 0


@dataclass(frozen=True, slots=True)
class ViewRequest:
    """Asks a peer for all values of the store, in place of the changes.

    :param revision: revision up to which the requester knows the changes.
    :param era: era of that revision; None from builds up to 77a2384, which accept no
        view with a lower revision.
    """

    revision: Revision
    era: Era | None = None


@dataclass(frozen=True, slots=True)
class ChangesOffer:
    """Offers changes that do not fit into one datagram; they are fetched in parts.

    :param since: revision after which the changes begin; 0 if they are all values.
    :param summary: the response without its events.
    :param size_bytes: size of the encoded events.
    """

    since: Revision
    summary: ChangesResponse
    size_bytes: ByteOffset


@dataclass(frozen=True, slots=True)
class PartRequest:
    """Asks for a part of the changes that a peer has offered.

    :param since: revision after which the offered changes begin.
    :param revision: revision up to which they go.
    :param offset: position of the part in the encoded events, in bytes.
    :param era: era of the revisions; None from builds up to 77a2384.
    """

    since: Revision
    revision: Revision
    offset: ByteOffset
    era: Era | None = None


@dataclass(frozen=True, slots=True)
class Part:
    """A part of offered changes.

    :param data: encoded events; empty if the responder no longer keeps them.
    """

    data: bytes


@dataclass(frozen=True, slots=True)
class RenewalRequest:
    """Asks a peer to renew the lease of an instance that the store rejects.

    :param lease_id: the lease at the store.
    :param number: unique for the requester; the response has the same number.
    :param era: era in which the lease was granted; None from builds up to 77a2384.
    """

    KIND: ClassVar[str] = "renewalasked"

    lease_id: Revision
    number: int = 0
    era: Era | None = None


@dataclass(frozen=True, slots=True)
class RenewalResponse:
    """The store's response to the renewal of a peer's lease.

    :param lease_id: the lease at the store.
    :param number: number of the request; 0 from releases up to e96edb3.
    :param era: era of the store's response; None from builds up to 77a2384.
    """

    KIND: ClassVar[str] = "renewaltold"

    lease_id: Revision
    has_ended: bool
    number: int = 0
    era: Era | None = None


MESSAGE_TYPES = (
    RenewalRequest,
    RenewalResponse,
    TokenRequest,
    TokenGrant,
    TokenDenial,
    NotHolder,
    ChangesRequest,
    ChangesResponse,
    ViewRequest,
    ChangesOffer,
    PartRequest,
    Part,
    *lending_records.MESSAGE_TYPES,
)
