"""Task that asks neighbours what the store said, while the store does not answer here.

What a neighbour knows is confirmed as of its own question to the store. The age in its
answer counts from the sending of the question here, so that delays make it older.
"""

import asyncio
from typing import Any

from absl import logging
from aiomisc import Service

from shallotspindle_core.clock import Clock
from shallotspindle_core.randomness import RandomSource
from shallotspindle_gateway.following import WATCH_SECONDS, Follower
from shallotspindle_gateway.messages import KnowledgeAsked, KnowledgeTold
from shallotspindle_gateway.peers import Peers
from shallotspindle_gateway.records import Member

CHECK_SECONDS = 0.3
ANSWER_SECONDS = 0.15
ASKED_COUNT = 3
# A datagram carries no more.
LARGEST_DOCUMENT_BYTES = 60_000


class Sharing(Service):
    """Asks and answers for confirmations of the configuration."""

    def __init__(
        self,
        own: Member,
        follower: Follower,
        peers: Peers,
        clock: Clock,
        random: RandomSource,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._own = own
        self._follower = follower
        self._peers = peers
        self._clock = clock
        self._random = random
        peers.register(KnowledgeAsked, self._tell)

    async def start(self) -> None:
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if self._follower.find_age(self._clock.boottime()) > WATCH_SECONDS + 0.5:
                await self._ask_neighbours()

    def _tell(self, sender: str, asked: KnowledgeAsked) -> KnowledgeTold:
        version = self._follower.deployment.bundle.version
        document = b""
        if asked.version < version:
            document = self._follower.document
            if len(document) > LARGEST_DOCUMENT_BYTES:
                version, document = asked.version, b""
        age = self._follower.find_age(self._clock.boottime())
        return KnowledgeTold(version, min(age, 9999.0), document)

    async def _ask_neighbours(self) -> None:
        members = sorted(
            {member.address for member in self._follower.members.values()}
            - {self._own.address}
        )
        for _ in range(min(ASKED_COUNT, len(members))):
            address = members.pop(self._random.randrange(len(members)))
            sent_at = self._clock.boottime()
            asked = KnowledgeAsked(self._follower.deployment.bundle.version)
            answer = await self._peers.request(address, asked, ANSWER_SECONDS)
            if isinstance(answer, KnowledgeTold) and self._take(answer, sent_at):
                return

    def _take(self, told: KnowledgeTold, sent_at: float) -> bool:
        """Take an answer and return whether it is fresh."""
        if told.document:
            self._follower.take_document(told.document)
        if told.version != self._follower.deployment.bundle.version:
            return False
        if told.age_seconds > WATCH_SECONDS + 1.0:
            return False
        self._follower.confirm(sent_at - told.age_seconds)
        logging.info("version %d was confirmed by a neighbour", told.version)
        return True
