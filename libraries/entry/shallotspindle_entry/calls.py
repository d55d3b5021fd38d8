"""A request that was authenticated and validated, and the hashes that identify it."""

import hashlib
from dataclasses import dataclass

from shallotspindle_bundles.records import Route
from shallotspindle_core import hashing
from shallotspindle_core.identifiers import TeamName
from shallotspindle_entry.bodies import Body


@dataclass(frozen=True, slots=True)
class Call:
    """A request that was authenticated and validated.

    :param team: team of the API key; empty on an open route without a team.
    :param idempotency_key: empty if the request has none.
    :param is_idempotent: whether the request may run twice.
    :param deadline: boot-time in seconds.
    """

    request_id: str
    route: Route
    team: TeamName
    method: str
    target: str
    idempotency_key: str
    is_idempotent: bool
    deadline: float
    body: Body

    @property
    def is_at_most_once(self) -> bool:
        """Whether the request runs at most once under its idempotency key."""
        return bool(self.idempotency_key) and not self.is_idempotent


def digest_request(call: Call) -> bytes:
    """Return the 32-byte digest that tells requests with one idempotency key apart."""
    digest = hashlib.sha256()
    for part in (call.method, call.target):
        digest.update(part.encode() + b"\0")
    digest.update(call.body.digest())
    return digest.digest()


def fingerprint_request(call: Call) -> int:
    """Return the hash that stays the same when a request is sent again."""
    body = call.body.digest().hex()
    return hashing.hash_text(call.team, call.method, call.target, body)
