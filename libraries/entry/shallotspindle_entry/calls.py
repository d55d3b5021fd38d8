"""What is known of a request after the decisions about its caller."""

import hashlib
from dataclasses import dataclass

from shallotspindle_bundles.records import Route
from shallotspindle_core import hashing
from shallotspindle_core.identifiers import TeamName
from shallotspindle_entry.bodies import Body


@dataclass(frozen=True, slots=True)
class Call:
    """A request that passed the checks.

    :param team: team of the key; empty on an open route without a team.
    :param key: idempotency key; empty when there is none.
    :param idempotent: whether the request may run twice.
    :param deadline: boot-time in seconds.
    """

    request_id: str
    route: Route
    team: TeamName
    method: str
    target: str
    key: str
    idempotent: bool
    deadline: float
    body: Body

    @property
    def keyed(self) -> bool:
        """Whether the request runs at most once under its key."""
        return bool(self.key) and not self.idempotent


def digest_request(call: Call) -> bytes:
    """Return the digest that tells requests under one key apart, 32 bytes."""
    digest = hashlib.sha256()
    for part in (call.method, call.target):
        digest.update(part.encode() + b"\0")
    digest.update(call.body.digest())
    return digest.digest()


def fingerprint_request(call: Call) -> int:
    """Return the hash by which a request is recognised when it is sent again."""
    body = call.body.digest().hex()
    return hashing.hash_text(call.team, call.method, call.target, body)
